package command

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/schema/parts"
	"github.com/turmericdoor/turmericdoor/schema/plan"
	"github.com/turmericdoor/turmericdoor/schema/rule"
	"github.com/turmericdoor/turmericdoor/schema/settings"
)

// reference prints the text of docs/reference/settings.md.
func (cl *CLI) reference() error {
	fmt.Fprintln(cl.out, Reference())
	return nil
}

// Reference returns the Markdown reference of settings, document, load and stand-in files, generated from the
// schema.
func Reference() string {
	text := &strings.Builder{}
	text.WriteString("# Settings reference\n\nMade from the schema by `turmericdoor settings reference`; do not edit.\n")
	text.WriteString("\n## Settings of an instance\n")
	fields := (&settings.Settings{}).ProtoReflect().Descriptor().Fields()
	for at := range fields.Len() {
		writeSection(text, string(fields.Get(at).Name()), fields.Get(at).Message())
	}
	text.WriteString("\n## Sections of the document\n")
	messages := parts.File_parts_parts_proto.Messages()
	for at := range messages.Len() {
		writeSection(text, string(messages.Get(at).Name())+" NAME", messages.Get(at))
	}
	text.WriteString("\n## Sections of load and stand-in files\n")
	writeSection(text, "Load", (&plan.Load{}).ProtoReflect().Descriptor())
	writeSection(text, "Stream NAME", (&plan.Stream{}).ProtoReflect().Descriptor())
	writeSection(text, "Standin NAME", (&plan.Standin{}).ProtoReflect().Descriptor())
	return strings.TrimRight(text.String(), "\n")
}

// writeSection writes a table of the keys that a section may have.
func writeSection(text *strings.Builder, title string, message protoreflect.MessageDescriptor) {
	fmt.Fprintf(text, "\n### [%s]\n\n| key | form | default | meaning |\n| --- | --- | --- | --- |\n", title)
	fields := message.Fields()
	for at := range fields.Len() {
		field := fields.Get(at)
		limits := inifile.RuleOf(field)
		fmt.Fprintf(text, "| %s | %s | %s | %s |\n", field.Name(), describeForm(field, limits), defaultText(limits), limits.GetHelp())
	}
}

// describeForm describes the type, form and range of a value.
func describeForm(field protoreflect.FieldDescriptor, limits *rule.Rule) string {
	name := "text"
	switch {
	case field.Kind() == protoreflect.Int64Kind:
		name = "whole number"
	case field.Kind() == protoreflect.BoolKind:
		name = "true or false"
	case len(limits.GetOneOf()) > 0:
		name = strings.Join(limits.GetOneOf(), ", ")
	case limits.GetForm() == rule.Form_FormAddress:
		name = "IP number and port"
	case limits.GetForm() == rule.Form_FormName:
		name = "name"
	case limits.GetForm() == rule.Form_FormDigest:
		name = "SHA-256 digest"
	case limits.GetReference() != "":
		name = "name of a " + limits.GetReference()
	}
	if limits.Minimum != nil && limits.Maximum != nil {
		name += fmt.Sprintf(", %d to %d", limits.GetMinimum(), limits.GetMaximum())
	}
	if field.IsList() {
		name = "list of: " + name
	}
	return name
}

func defaultText(limits *rule.Rule) string {
	if limits.GetRequired() {
		return "required"
	}
	return limits.GetDefault()
}
