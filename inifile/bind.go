package inifile

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/schema/rule"
)

// namePattern matches the names of instances, pools and other named sections.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// IsValidName reports whether text is a valid name: 1 to 63 letters, digits, dots, underscores and hyphens, of which
// the first is a letter or digit.
func IsValidName(text string) bool {
	return namePattern.MatchString(text)
}

// RuleOf returns the rule option of a field, or an empty rule if the field has none.
func RuleOf(field protoreflect.FieldDescriptor) *rule.Rule {
	options, isField := field.Options().(*descriptorpb.FieldOptions)
	if !isField || !proto.HasExtension(options, rule.E_Key) {
		return &rule.Rule{}
	}
	found, _ := proto.GetExtension(options, rule.E_Key).(*rule.Rule)
	return found
}

// Bind fills message from the section's keys and the defaults of the fields' rules, and returns all faults; source
// names the text in them.
func (sc Section) Bind(source string, message proto.Message) []Fault {
	bd := binder{source: source, section: sc, message: message.ProtoReflect()}
	bd.checkUnknownKeys()
	fields := bd.message.Descriptor().Fields()
	for at := range fields.Len() {
		bd.setField(fields.Get(at))
	}
	return bd.faults
}

// binder fills one message from one section.
type binder struct {
	source  string
	section Section
	message protoreflect.Message
	faults  []Fault
}

// fault adds a fault of a key; its line is the header's line if the section lacks the key.
func (bd *binder) fault(key Key, expected string) {
	line := key.Line
	if line == 0 {
		line = bd.section.Line
	}
	bd.faults = append(bd.faults, Fault{
		Source: bd.source, Line: line, Section: bd.section.Title(), Key: key.Name, Value: key.Value, Expected: expected,
	})
}

// checkUnknownKeys reports keys for which the message has no field.
func (bd *binder) checkUnknownKeys() {
	fields := bd.message.Descriptor().Fields()
	for _, key := range bd.section.Keys {
		if fields.ByName(protoreflect.Name(key.Name)) == nil {
			bd.fault(key, "one of "+strings.Join(fieldNames(fields), ", "))
		}
	}
}

func fieldNames(fields protoreflect.FieldDescriptors) []string {
	names := []string{}
	for at := range fields.Len() {
		names = append(names, string(fields.Get(at).Name()))
	}
	return names
}

// setField sets one field from its key, or from its default if the key is absent or empty.
func (bd *binder) setField(field protoreflect.FieldDescriptor) {
	constraint := RuleOf(field)
	key, found := bd.findKey(string(field.Name()))
	if !found || key.Value == "" {
		if constraint.GetRequired() {
			bd.fault(key, "a value: "+constraint.GetHelp())
			return
		}
		key.Value = constraint.GetDefault()
	}
	if key.Value == "" {
		return
	}
	if field.IsList() {
		bd.setList(field, constraint, key)
		return
	}
	if value, ok := bd.parseScalar(field, constraint, key); ok {
		bd.message.Set(field, value)
	}
}

func (bd *binder) findKey(name string) (Key, bool) {
	for _, key := range bd.section.Keys {
		if key.Name == name {
			return key, true
		}
	}
	return Key{Name: name}, false
}

// setList sets a repeated field from comma-separated values.
func (bd *binder) setList(field protoreflect.FieldDescriptor, constraint *rule.Rule, key Key) {
	values := bd.message.Mutable(field).List()
	for _, part := range strings.Split(key.Value, ",") {
		item := Key{Name: key.Name, Value: strings.TrimSpace(part), Line: key.Line}
		if value, ok := bd.parseScalar(field, constraint, item); ok {
			values.Append(value)
		}
	}
}

// parseScalar parses one value and checks it against the rule.
func (bd *binder) parseScalar(field protoreflect.FieldDescriptor, constraint *rule.Rule, key Key) (protoreflect.Value, bool) {
	switch field.Kind() {
	case protoreflect.Int64Kind:
		return bd.parseNumber(constraint, key)
	case protoreflect.BoolKind:
		value, err := strconv.ParseBool(key.Value)
		if err != nil {
			bd.fault(key, "true or false")
			return protoreflect.Value{}, false
		}
		return protoreflect.ValueOfBool(value), true
	default:
		return bd.parseText(constraint, key)
	}
}

func (bd *binder) parseNumber(constraint *rule.Rule, key Key) (protoreflect.Value, bool) {
	value, err := strconv.ParseInt(key.Value, 10, 64)
	tooLow := constraint.Minimum != nil && value < constraint.GetMinimum()
	tooHigh := constraint.Maximum != nil && value > constraint.GetMaximum()
	if err != nil || tooLow || tooHigh {
		bd.fault(key, "a whole number"+rangeText(constraint)+", without a unit; "+constraint.GetHelp())
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfInt64(value), true
}

// rangeText describes the range that a rule allows, for a fault's text.
func rangeText(constraint *rule.Rule) string {
	switch {
	case constraint.Minimum != nil && constraint.Maximum != nil:
		return fmt.Sprintf(" from %d to %d", constraint.GetMinimum(), constraint.GetMaximum())
	case constraint.Minimum != nil:
		return fmt.Sprintf(" of at least %d", constraint.GetMinimum())
	default:
		return ""
	}
}

func (bd *binder) parseText(constraint *rule.Rule, key Key) (protoreflect.Value, bool) {
	if expected := checkText(constraint, key.Value); expected != "" {
		bd.fault(key, expected)
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfString(key.Value), true
}

// checkText returns a description of the texts that the rule allows if text is not one of them, and else "".
func checkText(constraint *rule.Rule, text string) string {
	if len(constraint.GetOneOf()) > 0 && !contains(constraint.GetOneOf(), text) {
		return "one of " + strings.Join(constraint.GetOneOf(), ", ")
	}
	switch constraint.GetForm() {
	case rule.Form_FormAddress:
		if _, err := netip.ParseAddrPort(text); err != nil {
			return "an IP number and a port, such as 127.0.0.1:7001"
		}
	case rule.Form_FormName:
		if !IsValidName(text) {
			return "a name of letters, digits, dots, underscores and hyphens, at most 63 long"
		}
	case rule.Form_FormDigest:
		if _, ok := digest.Parse(text); !ok {
			return "a SHA-256 digest in 64 hexadecimal digits"
		}
	case rule.Form_FormText:
	}
	return ""
}

func contains(values []string, wanted string) bool {
	for _, value := range values {
		if value == wanted {
			return true
		}
	}
	return false
}
