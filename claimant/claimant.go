package claimant

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericdoor/turmericdoor/claim"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/inflight"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Claimant makes claims; Run must be running.
type Claimant struct {
	store       table.Store
	timers      *timer.Service
	chance      *entropy.Source
	instance    string
	callTimeout time.Duration
	requests    chan *pending
	background  inflight.Group
	owed        atomic.Int64
	ctx         context.Context
}

// pending is one claim that waits for the next transaction.
type pending struct {
	key     string
	record  claim.Record
	decided chan table.Outcome
}

// Outcome is whether a request may be dispatched; Granted, Replay, Reused, Taken and Unavailable are its
// variants.
type Outcome interface {
	outcome()
}

// Granted lets the request be dispatched once. Complete or Release must follow.
type Granted struct {
	claimant *Claimant
	key      string
	record   claim.Record
}

func (*Granted) outcome() {}

// Replay carries the answer that was kept.
type Replay struct {
	Answer json.RawMessage
}

func (Replay) outcome() {}

// KeyReused says that the key was used for another body.
type KeyReused struct{}

func (KeyReused) outcome() {}

// HeldByOther says that the request may have run by another attempt.
type HeldByOther struct{}

func (HeldByOther) outcome() {}

// Unavailable says that no claim could be made; the request must not be dispatched.
type Unavailable struct {
	Cause string
}

func (Unavailable) outcome() {}

const (
	// maxBatch is how many claims one transaction makes.
	maxBatch = 64
	// queueSize is how many claims may wait for a transaction.
	queueSize = 1024
	// writers is how many transactions may be under way at once.
	writers = 4
)

// New returns a claimant of an instance; each call to the service is given callTimeout, and work that
// outlasts its request ends with ctx.
func New(ctx context.Context, store table.Store, timers *timer.Service, chance *entropy.Source, instance string, callTimeout time.Duration) *Claimant {
	return &Claimant{
		ctx: ctx, store: store, timers: timers, chance: chance, instance: instance, callTimeout: callTimeout,
		requests: make(chan *pending, queueSize),
	}
}

// Claim makes the claim of a request; body is the digest of its content. It returns by the end of ctx.
func (ct *Claimant) Claim(ctx context.Context, organisation, idempotencyKey, body, nonce string) Outcome {
	waiting := &pending{
		key: claim.Key(organisation, idempotencyKey), decided: make(chan table.Outcome, 1),
		record: claim.Record{
			Nonce: nonce, Instance: ct.instance, Body: body, State: claim.StateHeld, UnixMilli: ct.timers.Now().UnixMilli(),
		},
	}
	select {
	case ct.requests <- waiting:
	default:
		return Unavailable{Cause: "too many claims wait"}
	}
	select {
	case decided := <-waiting.decided:
		return ct.settle(ctx, waiting, decided)
	case <-ctx.Done():
		// The transaction may still be made: whatever it writes is taken back.
		ct.release(waiting)
		return Unavailable{Cause: "the deadline passed before the claim was made"}
	}
}

// settle turns the transaction's outcome into the claim's, reading the row where that is needed.
func (ct *Claimant) settle(ctx context.Context, waiting *pending, decided table.Outcome) Outcome {
	switch ended := decided.(type) {
	case table.Committed:
		return &Granted{claimant: ct, key: waiting.key, record: waiting.record}
	case table.Conflict:
		return ct.readBack(ctx, waiting, false)
	case table.Unknown:
		return ct.readBack(ctx, waiting, true)
	case table.Unavailable:
		return Unavailable{Cause: ended.Cause}
	}
	return Unavailable{Cause: "no outcome"}
}

// readBack finds out by the nonce whose claim the row is. An unknown transaction whose row is absent may
// still take effect: the request is refused and the row released in the background.
func (ct *Claimant) readBack(ctx context.Context, waiting *pending, unknown bool) Outcome {
	row, read := ct.row(ctx, waiting.key)
	if !read {
		if unknown {
			ct.release(waiting)
		}
		return Unavailable{Cause: "the claim could not be read back"}
	}
	switch verdict := claim.Evaluate(row, waiting.record.Nonce, waiting.record.Body).(type) {
	case claim.Owned:
		return &Granted{claimant: ct, key: waiting.key, record: waiting.record}
	case claim.Replay:
		return Replay{Answer: verdict.Answer}
	case claim.KeyReused:
		return KeyReused{}
	case claim.HeldByOther:
		return HeldByOther{}
	case claim.Absent:
		if unknown {
			ct.release(waiting)
		}
		return Unavailable{Cause: "the claim was not made"}
	}
	return Unavailable{Cause: "no verdict"}
}

func (ct *Claimant) row(ctx context.Context, key string) (table.Row, bool) {
	ctx, cancel := context.WithTimeout(ctx, ct.callTimeout)
	defer cancel()
	rows, isRows := ct.store.Read(ctx, key).(table.Rows)
	if !isRows {
		return table.Row{}, false
	}
	return table.Find(rows.Rows, key), true
}

// Run makes the claims' transactions until ctx ends and the background work with them; done is closed then.
func (ct *Claimant) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ended := sync.WaitGroup{}
	for range writers {
		ended.Go(func() { ct.write(ctx) })
	}
	ended.Wait()
	ct.background.Wait()
}

// write takes all claims that wait and makes them in one transaction.
func (ct *Claimant) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-ct.requests:
			ct.commit(ctx, ct.batch(first))
		}
	}
}

func (ct *Claimant) batch(first *pending) []*pending {
	batch := []*pending{first}
	keys := map[string]bool{first.key: true}
	for len(batch) < maxBatch {
		select {
		case next := <-ct.requests:
			if keys[next.key] {
				// Two requests with one key can't share a transaction: the second is found taken.
				next.decided <- table.Conflict{Keys: []string{next.key}}
				continue
			}
			keys[next.key] = true
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commit makes a batch; after a conflict, the claims that were free are tried again without the others.
func (ct *Claimant) commit(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		outcome := ct.transact(ctx, batch)
		conflict, conflicted := outcome.(table.Conflict)
		if !conflicted || len(conflict.Keys) == 0 {
			decide(batch, outcome)
			return
		}
		batch = withoutTaken(batch, conflict)
	}
}

// withoutTaken decides the claims in conflict and returns the others.
func withoutTaken(batch []*pending, conflict table.Conflict) []*pending {
	taken := map[string]bool{}
	for _, key := range conflict.Keys {
		taken[key] = true
	}
	free := []*pending{}
	for _, waiting := range batch {
		if taken[waiting.key] {
			waiting.decided <- conflict
			continue
		}
		free = append(free, waiting)
	}
	if len(free) == len(batch) {
		// The service named rows that are not in the batch.
		decide(batch, table.Unknown{Cause: "a conflict without a cause"})
		return nil
	}
	return free
}

func decide(batch []*pending, outcome table.Outcome) {
	for _, waiting := range batch {
		waiting.decided <- outcome
	}
}

func (ct *Claimant) transact(ctx context.Context, batch []*pending) table.Outcome {
	transaction := table.Transaction{}
	for _, waiting := range batch {
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: waiting.key})
		transaction.Writes = append(transaction.Writes, table.Write{Key: waiting.key, Value: claim.Encode(waiting.record)})
	}
	ctx, cancel := context.WithTimeout(ctx, ct.callTimeout)
	defer cancel()
	return ct.store.Commit(ctx, transaction)
}

// Complete keeps the answer of a claimed request, so that the same key is answered with it.
func (gr *Granted) Complete(answer json.RawMessage) {
	record := gr.record
	record.State, record.Answer = claim.StateDone, answer
	gr.claimant.later(gr.key, gr.record, func(row table.Row) table.Transaction {
		return table.Transaction{
			Conditions: []table.Condition{{Key: gr.key, Version: row.Version}},
			Writes:     []table.Write{{Key: gr.key, Value: claim.Encode(record)}},
		}
	})
}

// Release takes back the claim of a request that was not dispatched.
func (gr *Granted) Release() {
	gr.claimant.release(&pending{key: gr.key, record: gr.record})
}

// release deletes the row if it is, or becomes, this attempt's.
func (ct *Claimant) release(waiting *pending) {
	ct.later(waiting.key, waiting.record, func(row table.Row) table.Transaction {
		return table.Transaction{
			Conditions: []table.Condition{{Key: waiting.key, Version: row.Version}},
			Writes:     []table.Write{{Key: waiting.key, Delete: true}},
		}
	})
}

const (
	// maxOwed bounds the rows that wait to be completed or released; beyond it their keys stay Unknown.
	maxOwed = 4096
	// firstPause and maxPause bound the wait between tries, drawn at random so that instances spread out
	// when the service comes back.
	firstPause = 50 * time.Millisecond
	maxPause   = 10 * time.Second
	// absentTries is how often a row must be found absent before its transaction is taken to be lost.
	absentTries = 6
)

// later writes to a row of this attempt in the background, until that is done or can't be any more.
func (ct *Claimant) later(key string, record claim.Record, change func(table.Row) table.Transaction) {
	if ct.owed.Add(1) > maxOwed {
		ct.owed.Add(-1)
		return
	}
	ct.background.Go(func() {
		defer ct.owed.Add(-1)
		absent := 0
		for pause := firstPause; absent < absentTries; pause = min(2*pause, maxPause) {
			row, read := ct.row(ct.ctx, key)
			if read && ct.change(row, record, change) {
				return
			}
			if read && row.Version == 0 {
				absent++
			}
			if ct.timers.Sleep(ct.ctx, ct.chance.DurationUpTo(pause)) != nil {
				return
			}
		}
	})
}

// change makes one try and reports whether nothing is left to do.
func (ct *Claimant) change(row table.Row, record claim.Record, change func(table.Row) table.Transaction) bool {
	if row.Version == 0 {
		return false
	}
	if _, mine := claim.Evaluate(row, record.Nonce, record.Body).(claim.Owned); !mine {
		return true
	}
	ctx, cancel := context.WithTimeout(ct.ctx, ct.callTimeout)
	defer cancel()
	_, committed := ct.store.Commit(ctx, change(row)).(table.Committed)
	return committed
}

// PendingUpdates returns how many rows wait to be completed or released.
func (ct *Claimant) PendingUpdates() int64 {
	return ct.owed.Load()
}
