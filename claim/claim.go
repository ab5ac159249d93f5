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
	StateHeld State = "Held"
	StateDone State = "Done"
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

// Status is what follows from a claim's row; Mine, Absent, Replay, Reused and Taken are its variants.
type Status interface {
	verdict()
}

// Owned says that the row is this attempt's claim: the request may be dispatched.
type Owned struct {
	Version int64
}

func (Owned) verdict() {}

// Absent says that there is no row.
type Absent struct{}

func (Absent) verdict() {}

// Replay says that the request was answered before.
type Replay struct {
	Answer json.RawMessage
}

func (Replay) verdict() {}

// KeyReused says that the key was used for another body.
type KeyReused struct{}

func (KeyReused) verdict() {}

// HeldByOther says that another attempt holds the claim and has no result: the request may have run.
type HeldByOther struct{}

func (HeldByOther) verdict() {}

// Evaluate says what a row means for an attempt.
func Evaluate(row table.Row, nonce, body string) Status {
	if row.Version == 0 {
		return Absent{}
	}
	record := Record{}
	if json.Unmarshal(row.Value, &record) != nil {
		return HeldByOther{}
	}
	switch {
	case record.Nonce == nonce && record.State == StateHeld:
		return Owned{Version: row.Version}
	case record.Body != body:
		return KeyReused{}
	case record.State == StateDone:
		return Replay{Answer: record.Answer}
	default:
		return HeldByOther{}
	}
}

// Encode returns the content of a row.
func Encode(record Record) []byte {
	// A plain struct of strings, a number and valid JSON always encodes.
	encoded, _ := json.Marshal(record)
	return encoded
}
