package invariant

import "fmt"

// Violation is the value that the process panics with; Promise names the broken rule and Facts the case.
type Violation struct {
	Rule   string
	Detail string
}

// Error returns the promise and the facts in one line.
func (br Violation) Error() string {
	return fmt.Sprintf("invariant broken: %s: %s", br.Rule, br.Detail)
}

// Check panics with a Breach unless holds is true; format is only evaluated on a breach.
func Check(holds bool, promise, format string, args ...any) {
	if holds {
		return
	}
	panic(Violation{Rule: promise, Detail: fmt.Sprintf(format, args...)})
}
