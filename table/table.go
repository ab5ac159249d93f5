package table

import "context"

// Row is one row. Version increases with each write; it is 0 for a row that does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version int64
}

// Condition requires that a row has the given version; version 0 requires that the row does not exist.
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

// Transaction applies all its writes atomically if all conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Outcome is the result of a call; its variants are Rows, Committed, Conflict, Unknown and Unavailable.
type Outcome interface {
	outcome()
}

// Rows holds the rows that a read returned, sorted by key.
type Rows struct {
	Rows []Row
}

func (Rows) outcome() {}

// Committed means that the transaction was applied.
type Committed struct{}

func (Committed) outcome() {}

// Conflict means that the transaction had no effect; Keys are the rows whose conditions failed.
type Conflict struct {
	Keys []string
}

func (Conflict) outcome() {}

// Unknown means that the transaction may have been applied or may still be applied.
type Unknown struct {
	Cause string
}

func (Unknown) outcome() {}

// Unavailable means that the call had no effect, since the service could not be reached or refused the call.
type Unavailable struct {
	Cause string
}

func (Unavailable) outcome() {}

// Store is a client of the table service; each call returns by the deadline of its context.
type Store interface {
	// Read returns Rows with the rows of keys that exist, or Unavailable.
	Read(ctx context.Context, keys ...string) Outcome
	// List returns Rows with all rows whose keys begin with prefix, or Unavailable.
	List(ctx context.Context, prefix string) Outcome
	// Commit applies the transaction if its conditions hold. It returns Committed, Conflict, Unknown or Unavailable.
	Commit(ctx context.Context, transaction Transaction) Outcome
}

// Find returns the row with the key from rows, or a row with version 0 if there is none.
func Find(rows []Row, key string) Row {
	for _, row := range rows {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}
