package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Key is one key of a section, with its value and its line in the text.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one INI section; its header is [Kind] or [Kind Name].
type Section struct {
	Kind string
	Name string
	Line int
	Keys []Key
}

// Fault is one error in a text; Expected describes what is allowed in its place. Key and Value are empty if the fault
// is not about a key.
type Fault struct {
	Source   string
	Line     int
	Section  string
	Key      string
	Value    string
	Expected string
}

// String returns the fault in one line.
func (ft Fault) String() string {
	text := fmt.Sprintf("%s:%d: [%s]", ft.Source, ft.Line, ft.Section)
	if ft.Key != "" {
		text += " " + ft.Key
	}
	if ft.Value != "" {
		text += fmt.Sprintf(" = %q", ft.Value)
	}
	return text + ": expected " + ft.Expected
}

// Title returns the section's header without its brackets.
func (sc Section) Title() string {
	if sc.Name == "" {
		return sc.Kind
	}
	return sc.Kind + " " + sc.Name
}

// Parse splits INI text into sections, in the order of the text; source names the text in faults.
func Parse(source, text string) ([]Section, []Fault) {
	options := ini.LoadOptions{SkipUnrecognizableLines: false, IgnoreInlineComment: true}
	file, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		return nil, []Fault{{Source: source, Line: 1, Expected: "INI text: " + err.Error()}}
	}
	lines, faults := locate(source, text)
	sections := []Section{}
	for _, raw := range file.Sections() {
		if raw.Name() == ini.DefaultSection {
			faults = append(faults, strayKeys(source, raw)...)
			continue
		}
		sections = append(sections, convert(raw, lines))
	}
	return sections, faults
}

// convert converts a section of the INI library to a Section, and sets the line numbers of its header and keys from lines.
func convert(raw *ini.Section, lines map[element]int) Section {
	kind, name, _ := strings.Cut(raw.Name(), " ")
	converted := Section{Kind: kind, Name: strings.TrimSpace(name), Line: lines[element{raw.Name(), ""}]}
	for _, key := range raw.Keys() {
		line := lines[element{raw.Name(), key.Name()}]
		converted.Keys = append(converted.Keys, Key{Name: key.Name(), Value: key.String(), Line: line})
	}
	return converted
}

// strayKeys reports keys before the first section header.
func strayKeys(source string, raw *ini.Section) []Fault {
	faults := []Fault{}
	for _, key := range raw.Keys() {
		faults = append(faults, Fault{Source: source, Line: 1, Key: key.Name(), Expected: "a section header before the first key"})
	}
	return faults
}

// element identifies a section header, or a key in a section.
type element struct {
	section string
	key     string
}

// locate returns the line number of each section header and key, which the INI library does not record, and a fault for
// each header or key that is repeated.
func locate(source, text string) (map[element]int, []Fault) {
	lines := map[element]int{}
	faults := []Fault{}
	current := ""
	for at, line := range strings.Split(text, "\n") {
		found, isElement := parseLine(current, strings.TrimSpace(line))
		if !isElement {
			continue
		}
		current = found.section
		if _, repeated := lines[found]; repeated {
			faults = append(faults, Fault{Source: source, Line: at + 1, Section: found.section, Key: found.key, Expected: "one occurrence only"})
			continue
		}
		lines[found] = at + 1
	}
	return lines, faults
}

// parseLine returns the header or key on a line and whether there is one; current is the section that the line is in.
func parseLine(current, line string) (element, bool) {
	if line == "" || line[0] == ';' || line[0] == '#' {
		return element{}, false
	}
	if line[0] == '[' {
		title, _, _ := strings.Cut(line[1:], "]")
		return element{section: title}, true
	}
	key, _, isKey := strings.Cut(line, "=")
	if !isKey {
		return element{}, false
	}
	return element{section: current, key: strings.TrimSpace(key)}, true
}
