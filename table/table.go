package table

import "context"

// Row is one row; Version is 0 for a row that does not exist and rises with each write.
type Row struct {
	Key     string
	Value   []byte
	Version int64
}

// Condition demands a row's version; 0 demands that there is no such row.
type Condition struct {
	Key     string
	Version int64
}

// Write replaces a row's value, or deletes the row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is carried out whole if all conditions hold, and else not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Outcome is how a call ended; Rows, Committed, Conflict, Unknown and Unavailable are its variants.
type Outcome interface {
	outcome()
}

// Rows are the rows that a read found, in the order of their keys.
type Rows struct {
	Rows []Row
}

func (Rows) outcome() {}

// Committed says that the transaction took effect.
type Committed struct{}

func (Committed) outcome() {}

// Conflict says that the transaction had no effect; Keys are the rows whose conditions failed.
type Conflict struct {
	Keys []string
}

func (Conflict) outcome() {}

// Unknown says that the transaction may have taken effect, or may yet.
type Unknown struct {
	Cause string
}

func (Unknown) outcome() {}

// Unavailable says that the call had no effect since the service could not be reached.
type Unavailable struct {
	Cause string
}

func (Unavailable) outcome() {}

// Store is the service; each call ends by the deadline of its context.
type Store interface {
	// Read returns Rows for the keys that exist, or Unavailable.
	Read(ctx context.Context, keys ...string) Outcome
	// List returns Rows whose keys begin with prefix, or Unavailable.
	List(ctx context.Context, prefix string) Outcome
	// Commit returns Committed, Conflict, Unknown or Unavailable.
	Commit(ctx context.Context, transaction Transaction) Outcome
}

// Find returns the row of a key among those that were read; one that isn't there has version 0.
func Find(rows []Row, key string) Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}
