package caller_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/caller"
)

// FuzzParseBody checks that ParseBody never panics and returns either a body or a refusal.
func FuzzParseBody(f *testing.F) {
	f.Add([]byte(`{"Rank":"Urgent","Input":"a"}`))
	f.Add([]byte(`{"Input":{"a":[1,2,{"b":null}]},"DeadlineMs":-1}`))
	f.Add([]byte("{}{}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, refusal := caller.ParseBody(raw)
		must.True(t, (body == nil) == (refusal.Code != ""))
	})
}
