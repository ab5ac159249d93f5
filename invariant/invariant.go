package invariant

import "fmt"

// Breach is the value that the process panics with; Promise names the broken rule and Facts the case.
type Breach struct {
	Promise string
	Facts   string
}

// Error returns the promise and the facts in one line.
func (br Breach) Error() string {
	return fmt.Sprintf("invariant broken: %s: %s", br.Promise, br.Facts)
}

// Check panics with a Breach unless holds is true; format is only evaluated on a breach.
func Check(holds bool, promise, format string, args ...any) {
	if holds {
		return
	}
	panic(Breach{Promise: promise, Facts: fmt.Sprintf(format, args...)})
}
