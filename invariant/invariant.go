package invariant

import "fmt"

// Violation is the value of the panic for a violated invariant; Rule is the invariant and Detail the values that
// violate it.
type Violation struct {
	Rule   string
	Detail string
}

// Error returns the rule and the detail in one line.
func (vl Violation) Error() string {
	return fmt.Sprintf("invariant broken: %s: %s", vl.Rule, vl.Detail)
}

// Check panics with a Violation of rule unless holds is true. The detail is formatted only then.
func Check(holds bool, rule, format string, args ...any) {
	if holds {
		return
	}
	panic(Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}
