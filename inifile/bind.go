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

// namePattern is the shape of names of instances, pools and the like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// IsValidName reports whether text may be used as a name.
func IsValidName(text string) bool {
	return namePattern.MatchString(text)
}

// RuleOf returns the rule of a field; it is empty for a field that states none.
func RuleOf(field protoreflect.FieldDescriptor) *rule.Rule {
	options, isField := field.Options().(*descriptorpb.FieldOptions)
	if !isField || !proto.HasExtension(options, rule.E_Key) {
		return &rule.Rule{}
	}
	found, _ := proto.GetExtension(options, rule.E_Key).(*rule.Rule)
	return found
}

// Bind fills message from the section's keys and the rules' defaults, and reports every fault.
func (sc Section) Bind(source string, message proto.Message) []Fault {
	bd := binder{source: source, section: sc, message: message.ProtoReflect()}
	bd.unknownKeys()
	fields := bd.message.Descriptor().Fields()
	for at := range fields.Len() {
		bd.field(fields.Get(at))
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

func (bd *binder) fault(key Key, expected string) {
	line := key.Line
	if line == 0 {
		line = bd.section.Line
	}
	bd.faults = append(bd.faults, Fault{
		Source: bd.source, Line: line, Section: bd.section.Title(), Key: key.Name, Value: key.Value, Expected: expected,
	})
}

// unknownKeys reports keys that the message has no field for.
func (bd *binder) unknownKeys() {
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

// field sets one field from its key or from its default.
func (bd *binder) field(field protoreflect.FieldDescriptor) {
	limits := RuleOf(field)
	key, found := bd.key(string(field.Name()))
	if !found || key.Value == "" {
		if limits.GetRequired() {
			bd.fault(key, "a value: "+limits.GetHelp())
			return
		}
		key.Value = limits.GetDefault()
	}
	if key.Value == "" {
		return
	}
	if field.IsList() {
		bd.list(field, limits, key)
		return
	}
	if value, ok := bd.scalar(field, limits, key); ok {
		bd.message.Set(field, value)
	}
}

func (bd *binder) key(name string) (Key, bool) {
	for _, key := range bd.section.Keys {
		if key.Name == name {
			return key, true
		}
	}
	return Key{Name: name}, false
}

// list sets a repeated field from values that are separated by commas.
func (bd *binder) list(field protoreflect.FieldDescriptor, limits *rule.Rule, key Key) {
	values := bd.message.Mutable(field).List()
	for _, part := range strings.Split(key.Value, ",") {
		item := Key{Name: key.Name, Value: strings.TrimSpace(part), Line: key.Line}
		if value, ok := bd.scalar(field, limits, item); ok {
			values.Append(value)
		}
	}
}

// scalar converts one value and checks it against the rule.
func (bd *binder) scalar(field protoreflect.FieldDescriptor, limits *rule.Rule, key Key) (protoreflect.Value, bool) {
	switch field.Kind() {
	case protoreflect.Int64Kind:
		return bd.number(limits, key)
	case protoreflect.BoolKind:
		value, err := strconv.ParseBool(key.Value)
		if err != nil {
			bd.fault(key, "true or false")
			return protoreflect.Value{}, false
		}
		return protoreflect.ValueOfBool(value), true
	default:
		return bd.text(limits, key)
	}
}

func (bd *binder) number(limits *rule.Rule, key Key) (protoreflect.Value, bool) {
	value, err := strconv.ParseInt(key.Value, 10, 64)
	tooLow := limits.Minimum != nil && value < limits.GetMinimum()
	tooHigh := limits.Maximum != nil && value > limits.GetMaximum()
	if err != nil || tooLow || tooHigh {
		bd.fault(key, "a whole number"+rangeText(limits)+", without a unit; "+limits.GetHelp())
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfInt64(value), true
}

func rangeText(limits *rule.Rule) string {
	switch {
	case limits.Minimum != nil && limits.Maximum != nil:
		return fmt.Sprintf(" from %d to %d", limits.GetMinimum(), limits.GetMaximum())
	case limits.Minimum != nil:
		return fmt.Sprintf(" of at least %d", limits.GetMinimum())
	default:
		return ""
	}
}

func (bd *binder) text(limits *rule.Rule, key Key) (protoreflect.Value, bool) {
	if expected := textFault(limits, key.Value); expected != "" {
		bd.fault(key, expected)
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfString(key.Value), true
}

// textFault returns what was expected, or nothing when the text satisfies the rule.
func textFault(limits *rule.Rule, text string) string {
	if len(limits.GetOneOf()) > 0 && !contains(limits.GetOneOf(), text) {
		return "one of " + strings.Join(limits.GetOneOf(), ", ")
	}
	switch limits.GetForm() {
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
