package gateway_test

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestRejectionOfAnotherRequestIsTaken guards against a second execution after a rejection that belongs to another request.
func TestRejectionOfAnotherRequestIsTaken(t *testing.T) {
	fk := &fakes{responses: []response{{status: 503, notExecuted: true, mismatch: true}}}
	outcome, _ := serve(t, fk, "/once/1", nil)
	must.SliceLen(t, 1, fk.sends)
	assertOutcome(t, "Failed", outcome)
}
