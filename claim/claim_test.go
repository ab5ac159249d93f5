package claim_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/claim"
	"github.com/turmericdoor/turmericdoor/table"
)

func row(record claim.Record) table.Row {
	return table.Row{Key: "k", Version: 3, Value: claim.Encode(record)}
}

func TestEvaluate(t *testing.T) {
	held := claim.Record{Nonce: "n", Body: "b", State: claim.StateHeld}
	done := claim.Record{Nonce: "n", Body: "b", State: claim.StateDone, Answer: json.RawMessage(`{}`)}
	cases := map[string]struct {
		row         table.Row
		nonce, body string
		want        claim.Status
	}{
		"no row":                              {table.Row{}, "n", "b", claim.Absent{}},
		"this attempt's claim":                {row(held), "n", "b", claim.Owned{Version: 3}},
		"another attempt's claim":             {row(held), "m", "b", claim.HeldByOther{}},
		"another body":                        {row(held), "m", "c", claim.KeyReused{}},
		"a stored answer":                     {row(done), "m", "b", claim.Replay{Answer: json.RawMessage(`{}`)}},
		"a row that can't be decoded":         {table.Row{Version: 1, Value: []byte("?")}, "n", "b", claim.HeldByOther{}},
		"a row without fields":                {table.Row{Version: 1, Value: []byte("{}")}, "n", "b", claim.HeldByOther{}},
		"a row that is null":                  {table.Row{Version: 1, Value: []byte("null")}, "n", "b", claim.HeldByOther{}},
		"this attempt's claim with an answer": {row(done), "n", "b", claim.Replay{Answer: json.RawMessage(`{}`)}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { must.Eq(t, tc.want, claim.Evaluate(tc.row, tc.nonce, tc.body)) })
	}
}

func TestKeyHashesIdempotencyKey(t *testing.T) {
	must.NotEq(t, claim.Key("a", "k"), claim.Key("b", "k"))
	must.StrNotContains(t, claim.Key("a", "secret/../x"), "secret")
}

// FuzzJudge checks that no row value makes Evaluate panic or return Owned for a nonce that is not in the row.
func FuzzJudge(f *testing.F) {
	f.Add(claim.Encode(claim.Record{Nonce: "n", Body: "b", State: claim.StateHeld}))
	f.Fuzz(func(t *testing.T, value []byte) {
		_, owned := claim.Evaluate(table.Row{Version: 1, Value: value}, "a nonce that no seed has", "b").(claim.Owned)
		must.False(t, owned)
	})
}
