package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Key is one key of a section with the line it stands on.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one INI section; its header reads "Kind" or "Kind Name".
type Section struct {
	Kind string
	Name string
	Line int
	Keys []Key
}

// Fault is one thing wrong with a text and what was expected in its place.
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

// Title returns the header of the section without its brackets.
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

// convert turns a section of the library into ours.
func convert(raw *ini.Section, lines map[place]int) Section {
	kind, name, _ := strings.Cut(raw.Name(), " ")
	converted := Section{Kind: kind, Name: strings.TrimSpace(name), Line: lines[place{raw.Name(), ""}]}
	for _, key := range raw.Keys() {
		line := lines[place{raw.Name(), key.Name()}]
		converted.Keys = append(converted.Keys, Key{Name: key.Name(), Value: key.String(), Line: line})
	}
	return converted
}

// strayKeys reports keys that stand before the first section.
func strayKeys(source string, raw *ini.Section) []Fault {
	faults := []Fault{}
	for _, key := range raw.Keys() {
		faults = append(faults, Fault{Source: source, Line: 1, Key: key.Name(), Expected: "a section header before the first key"})
	}
	return faults
}

// place is a section's header, or a key inside it.
type place struct {
	section string
	key     string
}

// locate finds the line of each section and key, which the INI library does not tell, and reports repeats.
func locate(source, text string) (map[place]int, []Fault) {
	lines := map[place]int{}
	faults := []Fault{}
	current := ""
	for at, line := range strings.Split(text, "\n") {
		found, isPlace := placeOf(current, strings.TrimSpace(line))
		if !isPlace {
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

// placeOf tells which header or key a line holds, if any.
func placeOf(current, line string) (place, bool) {
	if line == "" || line[0] == ';' || line[0] == '#' {
		return place{}, false
	}
	if line[0] == '[' {
		title, _, _ := strings.Cut(line[1:], "]")
		return place{section: title}, true
	}
	key, _, isKey := strings.Cut(line, "=")
	if !isKey {
		return place{}, false
	}
	return place{section: current, key: strings.TrimSpace(key)}, true
}
