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

func TestJudge(t *testing.T) {
	held := claim.Record{Nonce: "n", Body: "b", State: claim.StateHeld}
	done := claim.Record{Nonce: "n", Body: "b", State: claim.StateDone, Answer: json.RawMessage(`{}`)}
	cases := map[string]struct {
		row         table.Row
		nonce, body string
		want        claim.Status
	}{
		"no row":                                      {table.Row{}, "n", "b", claim.Absent{}},
		"this attempt's claim":                        {row(held), "n", "b", claim.Owned{Version: 3}},
		"another attempt's claim":                     {row(held), "m", "b", claim.HeldByOther{}},
		"another body":                                {row(held), "m", "c", claim.KeyReused{}},
		"an answer that is kept":                      {row(done), "m", "b", claim.Replay{Answer: json.RawMessage(`{}`)}},
		"a row that can't be read":                    {table.Row{Version: 1, Value: []byte("?")}, "n", "b", claim.HeldByOther{}},
		"a done claim is not run again by its holder": {row(done), "n", "b", claim.Replay{Answer: json.RawMessage(`{}`)}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) { must.Eq(t, one.want, claim.Evaluate(one.row, one.nonce, one.body)) })
	}
}

func TestKeyHidesTheCallersText(t *testing.T) {
	must.NotEq(t, claim.Key("a", "k"), claim.Key("b", "k"))
	must.StrNotContains(t, claim.Key("a", "secret/../x"), "secret")
}

// FuzzJudge looks for a row that stops the reader or lets a stranger dispatch.
func FuzzJudge(f *testing.F) {
	f.Add(claim.Encode(claim.Record{Nonce: "n", Body: "b", State: claim.StateHeld}))
	f.Fuzz(func(t *testing.T, value []byte) {
		_, mine := claim.Evaluate(table.Row{Version: 1, Value: value}, "a nonce that no seed has", "b").(claim.Owned)
		must.False(t, mine)
	})
}
