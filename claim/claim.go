package claim

import (
	"encoding/json"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/table"
)

// State is how far a claimed request has come.
type State string

// The states of a claim.
const (
	Held State = "Held"
	Done State = "Done"
)

// Record is the content of a claim's row. Nonce tells the attempts to make the claim apart; Answer is the
// kept answer of a request that is done.
type Record struct {
	Nonce     string
	Instance  string
	Body      string
	State     State
	UnixMilli int64
	Answer    json.RawMessage
}

// prefix is where claims lie in the table.
const prefix = "claim/"

// Key returns the row's key for an organisation's idempotency key. The key is hashed, so that callers can't
// choose rows.
func Key(organisation, idempotencyKey string) string {
	return prefix + organisation + "/" + digest.OfKey(idempotencyKey).String()
}

// Verdict is what follows from a claim's row; Mine, Absent, Replay, Reused and Taken are its variants.
type Verdict interface {
	verdict()
}

// Mine says that the row is this attempt's claim: the request may be dispatched.
type Mine struct {
	Version int64
}

func (Mine) verdict() {}

// Absent says that there is no row.
type Absent struct{}

func (Absent) verdict() {}

// Replay says that the request was answered before.
type Replay struct {
	Answer json.RawMessage
}

func (Replay) verdict() {}

// Reused says that the key was used for another body.
type Reused struct{}

func (Reused) verdict() {}

// Taken says that another attempt holds the claim and has no result: the request may have run.
type Taken struct{}

func (Taken) verdict() {}

// Judge says what a row means for an attempt.
func Judge(row table.Row, nonce, body string) Verdict {
	if row.Version == 0 {
		return Absent{}
	}
	record := Record{}
	if json.Unmarshal(row.Value, &record) != nil {
		return Taken{}
	}
	switch {
	case record.Nonce == nonce && record.State == Held:
		return Mine{Version: row.Version}
	case record.Body != body:
		return Reused{}
	case record.State == Done:
		return Replay{Answer: record.Answer}
	default:
		return Taken{}
	}
}

// Encode returns the content of a row.
func Encode(record Record) []byte {
	// A plain struct of strings, a number and valid JSON always encodes.
	encoded, _ := json.Marshal(record)
	return encoded
}
