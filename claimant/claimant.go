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

// Claimant makes, completes and releases claims for one instance. Run must be running for claims to be made.
type Claimant struct {
	store          table.Store
	timers         *timer.Service
	random         *entropy.Source
	instance       string
	callTimeout    time.Duration
	requests       chan *pending
	background     inflight.Group
	pendingUpdates atomic.Int64
	ctx            context.Context
}

// pending is a claim that waits for a transaction; outcome receives the transaction's result.
type pending struct {
	key     string
	record  claim.Record
	outcome chan table.Outcome
}

// Outcome is the result of Claim; its variants are *Granted, Replay, KeyReused, HeldByOther and Unavailable.
type Outcome interface {
	outcome()
}

// Granted allows the request to be dispatched once. The caller must then call Complete, or Release if the request
// did not run, or neither if it may have run without a known result.
type Granted struct {
	claimant *Claimant
	key      string
	record   claim.Record
}

func (*Granted) outcome() {}

// Replay means that the request was answered before; Answer is the stored answer.
type Replay struct {
	Answer json.RawMessage
}

func (Replay) outcome() {}

// KeyReused means that the idempotency key was used before with another request body.
type KeyReused struct{}

func (KeyReused) outcome() {}

// HeldByOther means that another attempt holds the claim, so that the request may have run.
type HeldByOther struct{}

func (HeldByOther) outcome() {}

// Unavailable means that no claim could be made; the request must not be dispatched.
type Unavailable struct {
	Cause string
}

func (Unavailable) outcome() {}

const (
	// maxBatch is the maximum number of claims in one transaction.
	maxBatch = 64
	// queueSize is the maximum number of claims that wait for a transaction.
	queueSize = 1024
	// writers is the number of goroutines that commit transactions.
	writers = 4
)

// New returns a claimant for an instance. Each call to the table service is limited to callTimeout. Background
// updates that outlast their request end with ctx.
func New(ctx context.Context, store table.Store, timers *timer.Service, random *entropy.Source, instance string, callTimeout time.Duration) *Claimant {
	return &Claimant{
		ctx: ctx, store: store, timers: timers, random: random, instance: instance, callTimeout: callTimeout,
		requests: make(chan *pending, queueSize),
	}
}

// Claim tries to claim a request; body is the digest of the request body. It returns at the latest when ctx
// ends.
func (ct *Claimant) Claim(ctx context.Context, organisation, idempotencyKey, body, nonce string) Outcome {
	waiting := &pending{
		key: claim.Key(organisation, idempotencyKey), outcome: make(chan table.Outcome, 1),
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
	case outcome := <-waiting.outcome:
		return ct.resolve(ctx, waiting, outcome)
	case <-ctx.Done():
		// The transaction may still commit, so the row is released in the background.
		ct.release(waiting)
		return Unavailable{Cause: "the deadline passed before the claim was made"}
	}
}

// resolve converts a transaction's outcome into the claim's outcome. After a conflict or an unknown outcome it
// reads the row.
func (ct *Claimant) resolve(ctx context.Context, waiting *pending, outcome table.Outcome) Outcome {
	switch ended := outcome.(type) {
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

// readBack reads the row and compares its nonce with this attempt's. If the transaction's outcome is unknown and
// the row is absent, the transaction may still commit: the request is refused and the row is released in the
// background.
func (ct *Claimant) readBack(ctx context.Context, waiting *pending, unknown bool) Outcome {
	row, read := ct.readRow(ctx, waiting.key)
	if !read {
		if unknown {
			ct.release(waiting)
		}
		return Unavailable{Cause: "the claim could not be read back"}
	}
	switch status := claim.Evaluate(row, waiting.record.Nonce, waiting.record.Body).(type) {
	case claim.Owned:
		return &Granted{claimant: ct, key: waiting.key, record: waiting.record}
	case claim.Replay:
		return Replay{Answer: status.Answer}
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

// readRow reads the row of key and reports whether the read succeeded; an absent row has version 0.
func (ct *Claimant) readRow(ctx context.Context, key string) (table.Row, bool) {
	ctx, cancel := context.WithTimeout(ctx, ct.callTimeout)
	defer cancel()
	rows, isRows := ct.store.Read(ctx, key).(table.Rows)
	if !isRows {
		return table.Row{}, false
	}
	return table.Find(rows.Rows, key), true
}

// Run commits queued claims until ctx ends, then waits for the background updates to end and closes done.
func (ct *Claimant) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ended := sync.WaitGroup{}
	for range writers {
		ended.Go(func() { ct.commitQueued(ctx) })
	}
	ended.Wait()
	ct.background.Wait()
}

// commitQueued commits queued claims in batches until ctx ends.
func (ct *Claimant) commitQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-ct.requests:
			ct.commitBatch(ctx, ct.collectBatch(first))
		}
	}
}

// collectBatch returns first and the claims that are queued behind it, at most maxBatch in all.
func (ct *Claimant) collectBatch(first *pending) []*pending {
	batch := []*pending{first}
	keys := map[string]bool{first.key: true}
	for len(batch) < maxBatch {
		select {
		case next := <-ct.requests:
			if keys[next.key] {
				// One transaction can't write a row twice. The second claim gets a conflict, as if it
				// had been committed later.
				next.outcome <- table.Conflict{Keys: []string{next.key}}
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

// commitBatch commits a batch. After a conflict, it retries the claims that were not in conflict without the
// others.
func (ct *Claimant) commitBatch(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		outcome := ct.commitOnce(ctx, batch)
		conflict, conflicted := outcome.(table.Conflict)
		if !conflicted || len(conflict.Keys) == 0 {
			reportOutcome(batch, outcome)
			return
		}
		batch = removeConflicting(batch, conflict)
	}
}

// removeConflicting reports the conflict to the claims that are in conflict and returns the others.
func removeConflicting(batch []*pending, conflict table.Conflict) []*pending {
	taken := map[string]bool{}
	for _, key := range conflict.Keys {
		taken[key] = true
	}
	free := []*pending{}
	for _, waiting := range batch {
		if taken[waiting.key] {
			waiting.outcome <- conflict
			continue
		}
		free = append(free, waiting)
	}
	if len(free) == len(batch) {
		// The service reported a conflict for rows that are not in the batch.
		reportOutcome(batch, table.Unknown{Cause: "the table service reported a conflict for rows outside the transaction"})
		return nil
	}
	return free
}

func reportOutcome(batch []*pending, outcome table.Outcome) {
	for _, waiting := range batch {
		waiting.outcome <- outcome
	}
}

// commitOnce commits the claims of a batch in one transaction, on condition that none of their rows exists.
func (ct *Claimant) commitOnce(ctx context.Context, batch []*pending) table.Outcome {
	transaction := table.Transaction{}
	for _, waiting := range batch {
		transaction.Conditions = append(transaction.Conditions, table.Condition{Key: waiting.key})
		transaction.Writes = append(transaction.Writes, table.Write{Key: waiting.key, Value: claim.Encode(waiting.record)})
	}
	ctx, cancel := context.WithTimeout(ctx, ct.callTimeout)
	defer cancel()
	return ct.store.Commit(ctx, transaction)
}

// Complete stores the answer of a claimed request in the background, so that later requests with the same
// idempotency key get that answer.
func (gr *Granted) Complete(answer json.RawMessage) {
	record := gr.record
	record.State, record.Answer = claim.StateDone, answer
	gr.claimant.updateLater(gr.key, gr.record, func(row table.Row) table.Transaction {
		return table.Transaction{
			Conditions: []table.Condition{{Key: gr.key, Version: row.Version}},
			Writes:     []table.Write{{Key: gr.key, Value: claim.Encode(record)}},
		}
	})
}

// Release deletes the claim of a request that did not run, in the background.
func (gr *Granted) Release() {
	gr.claimant.release(&pending{key: gr.key, record: gr.record})
}

// release deletes this attempt's row in the background, also if the row is written only later.
func (ct *Claimant) release(waiting *pending) {
	ct.updateLater(waiting.key, waiting.record, func(row table.Row) table.Transaction {
		return table.Transaction{
			Conditions: []table.Condition{{Key: waiting.key, Version: row.Version}},
			Writes:     []table.Write{{Key: waiting.key, Delete: true}},
		}
	})
}

const (
	// maxPendingUpdates bounds the background updates. Rows beyond it are not updated, so that requests with
	// their keys keep getting the outcome Unknown.
	maxPendingUpdates = 4096
	// firstBackoff and maxBackoff bound the random delay between tries; it is random so that instances do not
	// retry all at once after an outage of the table service.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 10 * time.Second
	// maxAbsentReads is the number of reads that find no row after which the transaction that would have
	// written the row counts as lost.
	maxAbsentReads = 6
)

// updateLater commits update to a row of this attempt in the background. It retries until the commit succeeds,
// the row is no longer this attempt's, the row stays absent, or ct.ctx ends.
func (ct *Claimant) updateLater(key string, record claim.Record, update func(table.Row) table.Transaction) {
	if ct.pendingUpdates.Add(1) > maxPendingUpdates {
		ct.pendingUpdates.Add(-1)
		return
	}
	ct.background.Go(func() {
		defer ct.pendingUpdates.Add(-1)
		absent := 0
		for backoff := firstBackoff; absent < maxAbsentReads; backoff = min(2*backoff, maxBackoff) {
			row, read := ct.readRow(ct.ctx, key)
			if read && ct.tryUpdate(row, record, update) {
				return
			}
			if read && row.Version == 0 {
				absent++
			}
			if ct.timers.Sleep(ct.ctx, ct.random.DurationUpTo(backoff)) != nil {
				return
			}
		}
	})
}

// tryUpdate tries the update once and reports whether no further try is needed.
func (ct *Claimant) tryUpdate(row table.Row, record claim.Record, update func(table.Row) table.Transaction) bool {
	if row.Version == 0 {
		return false
	}
	if _, owned := claim.Evaluate(row, record.Nonce, record.Body).(claim.Owned); !owned {
		return true
	}
	ctx, cancel := context.WithTimeout(ct.ctx, ct.callTimeout)
	defer cancel()
	_, committed := ct.store.Commit(ctx, update(row)).(table.Committed)
	return committed
}

// PendingUpdates returns the number of rows that wait to be completed or released.
func (ct *Claimant) PendingUpdates() int64 {
	return ct.pendingUpdates.Load()
}
