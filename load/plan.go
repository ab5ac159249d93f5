package load

import (
	"os"

	"github.com/turmericdoor/turmericdoor/configuration"
	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/schema/plan"
)

// stream is one section [Stream NAME] of a load file: requests of one kind at one rate.
type stream struct {
	name   string
	config *plan.Stream
}

// readLoadFile reads a load file; the error lists all faults of the file.
func readLoadFile(path string) (*plan.Load, []stream, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	sections, faults := inifile.Parse(path, string(text))
	config, streams := &plan.Load{}, []stream{}
	for _, sc := range sections {
		switch sc.Kind {
		case "Load":
			faults = append(faults, sc.Bind(path, config)...)
		case "Stream":
			st := stream{name: sc.Name, config: &plan.Stream{}}
			faults = append(faults, sc.Bind(path, st.config)...)
			streams = append(streams, st)
		default:
			faults = append(faults, inifile.Fault{Source: path, Line: sc.Line, Section: sc.Title(), Expected: "Load or Stream NAME"})
		}
	}
	if len(streams) == 0 {
		faults = append(faults, inifile.Fault{Source: path, Line: 1, Expected: "at least one section [Stream NAME]"})
	}
	if len(faults) > 0 {
		return nil, nil, configuration.FaultsError{Faults: faults}
	}
	return config, streams, nil
}
