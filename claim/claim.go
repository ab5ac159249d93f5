package claim

import (
	"encoding/json"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/table"
)

// State says whether a claimed request is still in progress or has been answered.
type State string

// The states of a claim.
const (
	StateHeld State = "Held"
	StateDone State = "Done"
)

// Record is the value of a claim's row, stored as JSON. Nonce identifies the attempt that made the claim, Body
// is the digest of the request body, and Answer is the stored answer once State is StateDone.
type Record struct {
	Nonce     string
	Instance  string
	Body      string
	State     State
	UnixMilli int64
	Answer    json.RawMessage
}

// keyPrefix is the prefix of all claim rows in the table.
const keyPrefix = "claim/"

// Key returns the row key for an organisation's idempotency key. The idempotency key is hashed, so that callers
// can't choose row keys.
func Key(organisation, idempotencyKey string) string {
	return keyPrefix + organisation + "/" + digest.OfKey(idempotencyKey).String()
}

// Status is the state of a claim's row as seen by one attempt. It is sealed: its variants are Owned, Absent, Replay,
// KeyReused and HeldByOther.
type Status interface {
	status()
}

// Owned means that this attempt holds the claim and may dispatch the request.
type Owned struct {
	Version int64
}

func (Owned) status() {}

// Absent means that the row does not exist: no attempt has claimed the request.
type Absent struct{}

func (Absent) status() {}

// Replay means that the request was answered before and must not be dispatched again: Answer, which is stored in the row,
// is returned to the caller instead.
type Replay struct {
	Answer json.RawMessage
}

func (Replay) status() {}

// KeyReused means that the row belongs to another request: the organisation used the same idempotency key before with
// another request body.
type KeyReused struct{}

func (KeyReused) status() {}

// HeldByOther means that another attempt holds the claim and has stored no answer, or that the row can't be
// decoded or names no request; the request may have run.
type HeldByOther struct{}

func (HeldByOther) status() {}

// Evaluate returns the status of a claim's row for the attempt with the given nonce and body digest.
func Evaluate(row table.Row, nonce, body string) Status {
	if row.Version == 0 {
		return Absent{}
	}
	record := Record{}
	if json.Unmarshal(row.Value, &record) != nil || record.Body == "" {
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

// Encode returns the row value that stores record.
func Encode(record Record) []byte {
	// Marshal can't fail: Record has only strings, a number and valid JSON.
	encoded, _ := json.Marshal(record)
	return encoded
}
