package experiment

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/schema/plan"
)

// Scenario is one experiment: the load and faults that a scenario file describes.
type Scenario struct {
	Name   string
	Config *plan.Scenario
	Flows  []*plan.Flow
	Faults []*plan.Fault
}

// ReadScenario reads the scenario file at path; name is the name of the scenario in reports.
func ReadScenario(name, path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	sections, faults := inifile.Parse(path, string(text))
	scenario := &Scenario{Name: name, Config: &plan.Scenario{}}
	for _, sc := range sections {
		message := scenario.section(sc.Kind)
		if message == nil {
			return nil, fmt.Errorf("%s:%d: unknown section %q", path, sc.Line, sc.Title())
		}
		faults = append(faults, sc.Bind(path, message)...)
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%s and %d more faults", faults[0], len(faults)-1)
	}
	return scenario, nil
}

// section returns the message to decode a section of this kind into, or nil if the kind is unknown. It adds
// the message to the scenario.
func (sc *Scenario) section(kind string) proto.Message {
	switch kind {
	case "Scenario":
		return sc.Config
	case "Flow":
		flow := &plan.Flow{}
		sc.Flows = append(sc.Flows, flow)
		return flow
	case "Fault":
		fault := &plan.Fault{}
		sc.Faults = append(sc.Faults, fault)
		return fault
	default:
		return nil
	}
}
