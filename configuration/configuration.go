package configuration

import (
	"os"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/schema/settings"
)

// FaultsError is the error for a settings file with faults; it lists all of them.
type FaultsError struct {
	Faults []inifile.Fault
}

// Error returns one line per fault.
func (fe FaultsError) Error() string {
	lines := []string{}
	for _, fault := range fe.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. The error is a FaultsError, or the error from reading the file.
func Load(path string) (*settings.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	loaded, faults := Parse(path, string(text))
	if len(faults) > 0 {
		return nil, FaultsError{Faults: faults}
	}
	return loaded, nil
}

// Parse parses and checks settings and returns all faults; source names the text in them.
func Parse(source, text string) (*settings.Settings, []inifile.Fault) {
	loaded := &settings.Settings{}
	sections, faults := inifile.Parse(source, text)
	reflected := loaded.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	for _, found := range sections {
		if fields.ByName(protoreflect.Name(found.Title())) == nil {
			faults = append(faults, inifile.Fault{
				Source: source, Line: found.Line, Section: found.Title(), Expected: "one of the sections " + names(fields),
			})
		}
	}
	for at := range fields.Len() {
		faults = append(faults, bind(source, sections, reflected, fields.Get(at))...)
	}
	return loaded, append(faults, conflicts(source, loaded)...)
}

// bind fills one section of the settings from the text, or from defaults if the text lacks the section.
func bind(source string, sections []inifile.Section, message protoreflect.Message, field protoreflect.FieldDescriptor) []inifile.Fault {
	section := inifile.Section{Kind: string(field.Name()), Line: 1}
	for _, found := range sections {
		if found.Title() == section.Kind {
			section = found
		}
	}
	return section.Bind(source, message.Mutable(field).Message().Interface())
}

// names returns the names of fields, separated by commas.
func names(fields protoreflect.FieldDescriptors) string {
	list := []string{}
	for at := range fields.Len() {
		list = append(list, string(fields.Get(at).Name()))
	}
	return strings.Join(list, ", ")
}

// conflicts reports values that are valid alone but not together.
func conflicts(source string, loaded *settings.Settings) []inifile.Fault {
	faults := []inifile.Fault{}
	tls := loaded.GetTls()
	peer := []string{tls.GetPeerCertificateFile(), tls.GetPeerKeyFile(), tls.GetPeerAuthorityFile()}
	if !allOrNone(peer) {
		faults = append(faults, inifile.Fault{
			Source: source, Section: "Tls", Expected: "all three of PeerCertificateFile, PeerKeyFile, PeerAuthorityFile, or none",
		})
	}
	if !allOrNone([]string{tls.GetCallerCertificateFile(), tls.GetCallerKeyFile()}) {
		faults = append(faults, inifile.Fault{
			Source: source, Section: "Tls", Expected: "both of CallerCertificateFile and CallerKeyFile, or none",
		})
	}
	if loaded.GetPeers().GetSuspectAfterMs() < 2*loaded.GetPeers().GetHeartbeatMs() {
		faults = append(faults, inifile.Fault{
			Source: source, Section: "Peers", Key: "SuspectAfterMs", Expected: "at least twice HeartbeatMs",
		})
	}
	return faults
}

func allOrNone(values []string) bool {
	set := 0
	for _, value := range values {
		if value != "" {
			set++
		}
	}
	return set == 0 || set == len(values)
}
