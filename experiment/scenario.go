package experiment

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/schema/plan"
)

// Scenario is one experiment as its file states it.
type Scenario struct {
	Name   string
	Config *plan.Scenario
	Flows  []*plan.Flow
	Faults []*plan.Fault
}

// Load reads a scenario file; name is its name in reports.
func Load(name, path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	sections, faults := inifile.Parse(path, string(text))
	scenario := &Scenario{Name: name, Config: &plan.Scenario{}}
	for _, sc := range sections {
		message := scenario.part(sc.Kind)
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

// part returns the message that a section of the kind fills, or nil.
func (sc *Scenario) part(kind string) proto.Message {
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
