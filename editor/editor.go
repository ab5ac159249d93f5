package editor

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Edit is an operator's change of one team's text. ID makes it idempotent: a second edit with the same ID has no
// effect. ExpectedRevision is the team's revision that the change is based on, 0 for a new team.
type Edit struct {
	ID               string
	Team             string
	ExpectedRevision int64
	Text             string
	Author           string
}

// Outcome is the result of an edit. It is sealed: its variants are Accepted, Conflict, Invalid, Undecided and
// Unavailable.
type Outcome interface {
	outcome()
}

// Accepted means that the edit is part of the document from Revision on. Text is the document at that revision; it
// is nil if an edit with the same ID had been accepted before.
type Accepted struct {
	Revision int64
	Text     *document.Text
}

func (Accepted) outcome() {}

// Conflict means that the team's text is not at the expected revision; Current is its present text and revision.
type Conflict struct {
	Current document.TeamText
}

func (Conflict) outcome() {}

// Invalid means that the edit was not accepted, because the document would be invalid with it; Faults lists all faults of
// that document.
type Invalid struct {
	Faults []inifile.Fault
}

func (Invalid) outcome() {}

// Undecided means that it is unknown whether the edit was accepted; History or a retry with the same ID shows it.
type Undecided struct {
	Cause string
}

func (Undecided) outcome() {}

// Unavailable means that the edit had no effect, since the table service could not be reached or other edits kept
// committing first.
type Unavailable struct {
	Cause string
}

func (Unavailable) outcome() {}

// Entry is the history entry of one revision, stored as JSON; EditID identifies the edit that made it.
type Entry struct {
	Revision  int64
	Team      string
	EditID    string
	Author    string
	UnixMilli int64
}

// head is the value of the head row, stored as JSON. Every edit changes it, so that concurrent edits conflict.
type head struct {
	Revision int64
	Teams    []teamRevision
}

type teamRevision struct {
	Team     string
	Revision int64
}

const (
	headKey       = "document/head"
	teamPrefix    = "document/team/"
	editPrefix    = "document/edit/"
	historyPrefix = "document/history/"
)

// Editor edits the document.
type Editor struct {
	store  table.Store
	timers *timer.Service
	random *entropy.Source
}

// New returns an editor of the document in store; random draws the delays between tries.
func New(store table.Store, timers *timer.Service, random *entropy.Source) *Editor {
	return &Editor{store: store, timers: timers, random: random}
}

// snapshot is the document as read, with the versions of its rows. Its rows may come from different revisions.
type snapshot struct {
	head     head
	text     document.Text
	versions []table.Condition
}

// version returns the version of a row, or 0 if the row does not exist.
func (sn snapshot) version(key string) int64 {
	for _, row := range sn.versions {
		if row.Key == key {
			return row.Version
		}
	}
	return 0
}

// HeadRevision returns the revision of the stored document, or 0 if there is no document.
func (ed *Editor) HeadRevision(ctx context.Context) (int64, error) {
	rows, err := rowsOf(ed.store.Read(ctx, headKey))
	if err != nil {
		return 0, err
	}
	row := table.Find(rows, headKey)
	if row.Version == 0 {
		return 0, nil
	}
	current := head{}
	err = unmarshalInto(row, &current)
	return current.Revision, err
}

// UnavailableError means that the document could not be read from the table service.
type UnavailableError struct {
	Cause string
}

// Error returns the cause in one line.
func (ue UnavailableError) Error() string {
	return "table service unavailable: " + ue.Cause
}

// rowsOf returns the rows that the table service answered, or an UnavailableError.
func rowsOf(outcome table.Outcome) ([]table.Row, error) {
	switch answered := outcome.(type) {
	case table.Rows:
		return answered.Rows, nil
	case table.Unavailable:
		return nil, UnavailableError{Cause: answered.Cause}
	}
	return nil, UnavailableError{Cause: fmt.Sprintf("a read was answered with %T", outcome)}
}

func unmarshalInto(row table.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	return nil
}

// Fetch returns the stored document, with all teams' texts at the revisions that its head names.
func (ed *Editor) Fetch(ctx context.Context) (document.Text, error) {
	for range maxTries {
		sn, err := ed.read(ctx)
		if err != nil {
			return document.Text{}, err
		}
		if sn.isConsistent() {
			return sn.text, nil
		}
	}
	return document.Text{}, UnavailableError{Cause: "the document kept changing while it was read"}
}

// maxTries is the maximum number of tries of a read or an edit that races with other edits.
const maxTries = 8

// isConsistent reports whether the teams' rows are at the revisions that the head names.
func (sn snapshot) isConsistent() bool {
	if len(sn.head.Teams) != len(sn.text.Teams) {
		return false
	}
	for at, team := range sn.head.Teams {
		if sn.text.Teams[at].Team != team.Team || sn.text.Teams[at].Revision != team.Revision {
			return false
		}
	}
	return true
}

// read reads the head and the teams' texts in two calls.
func (ed *Editor) read(ctx context.Context) (snapshot, error) {
	sn := snapshot{}
	rows, err := rowsOf(ed.store.List(ctx, headKey))
	if err != nil {
		return sn, err
	}
	row := table.Find(rows, headKey)
	sn.versions = append(sn.versions, table.Condition{Key: headKey, Version: row.Version})
	if row.Version > 0 {
		if err := unmarshalInto(row, &sn.head); err != nil {
			return sn, err
		}
	}
	err = ed.readTeams(ctx, &sn)
	return sn, err
}

func (ed *Editor) readTeams(ctx context.Context, sn *snapshot) error {
	sn.text.Revision = sn.head.Revision
	rows, err := rowsOf(ed.store.List(ctx, teamPrefix))
	if err != nil {
		return err
	}
	for _, row := range rows {
		team := document.TeamText{}
		if err := unmarshalInto(row, &team); err != nil {
			return err
		}
		sn.text = sn.text.With(team)
		sn.versions = append(sn.versions, table.Condition{Key: row.Key, Version: row.Version})
	}
	return nil
}

// Put tries an edit until its outcome is known, maxTries is reached or ctx ends.
func (ed *Editor) Put(ctx context.Context, edit Edit) Outcome {
	unknownCause := ""
	for try := range maxTries {
		outcome, retry := ed.try(ctx, edit)
		if !retry {
			return undecidedAfter(unknownCause, outcome)
		}
		if undecided, isUndecided := outcome.(Undecided); isUndecided {
			unknownCause = undecided.Cause
		}
		if ed.timers.Sleep(ctx, ed.random.DurationUpTo(firstBackoff<<try)) != nil {
			break
		}
	}
	if unknownCause != "" {
		return Undecided{Cause: unknownCause}
	}
	return Unavailable{Cause: "other edits kept coming first"}
}

// firstBackoff is the maximum delay after the first try; the maximum doubles with each further try.
const firstBackoff = 5 * time.Millisecond

// undecidedAfter replaces an Unavailable outcome of the last try by Undecided if an earlier try had an unknown
// outcome, since that try may have taken effect.
func undecidedAfter(unknownCause string, outcome Outcome) Outcome {
	if _, unavailable := outcome.(Unavailable); unavailable && unknownCause != "" {
		return Undecided{Cause: unknownCause}
	}
	return outcome
}

// try tries the edit once; retry reports whether the caller should try again with a fresh read.
func (ed *Editor) try(ctx context.Context, edit Edit) (outcome Outcome, retry bool) {
	// The document is read before the edit id. If an earlier transaction of this edit had an unknown outcome and
	// commits before the edit id is read, FindEdit finds it; if it commits later, it changes the head row and the
	// commit below fails.
	sn, err := ed.read(ctx)
	if err != nil {
		return Unavailable{Cause: err.Error()}, false
	}
	entry, found, err := ed.FindEdit(ctx, edit.ID)
	if err != nil {
		return Unavailable{Cause: err.Error()}, false
	}
	if found {
		return Accepted{Revision: entry.Revision}, false
	}
	if !sn.isConsistent() {
		return Unavailable{}, true
	}
	return ed.commit(ctx, edit, sn)
}

// commit checks the edit against a consistent snapshot and commits it; retry is as for try.
func (ed *Editor) commit(ctx context.Context, edit Edit, sn snapshot) (outcome Outcome, retry bool) {
	current, _ := sn.text.Team(edit.Team)
	if current.Revision != edit.ExpectedRevision {
		return Conflict{Current: current}, false
	}
	next := sn.text
	next.Revision++
	next = next.With(document.TeamText{Team: edit.Team, Revision: next.Revision, Text: edit.Text})
	if _, faults := document.Parse(next); len(faults) > 0 {
		return Invalid{Faults: faults}, false
	}
	switch ended := ed.store.Commit(ctx, ed.transaction(edit, sn, next)).(type) {
	case table.Committed:
		return Accepted{Revision: next.Revision, Text: &next}, false
	case table.Conflict:
		return Unavailable{}, true
	case table.Unknown:
		return Undecided{Cause: ended.Cause}, true
	case table.Unavailable:
		return Unavailable{Cause: ended.Cause}, false
	}
	return Unavailable{}, false
}

// transaction returns the transaction that writes the head, team, edit id and history rows, on condition that the
// head and team rows are unchanged and the edit id is new.
func (ed *Editor) transaction(edit Edit, sn snapshot, next document.Text) table.Transaction {
	changed, _ := next.Team(edit.Team)
	entry := Entry{
		Revision: next.Revision, Team: edit.Team, EditID: edit.ID, Author: edit.Author,
		UnixMilli: ed.timers.Now().UnixMilli(),
	}
	teamKey := teamPrefix + edit.Team
	return table.Transaction{
		Conditions: []table.Condition{
			{Key: headKey, Version: sn.version(headKey)},
			{Key: teamKey, Version: sn.version(teamKey)},
			{Key: editPrefix + edit.ID},
		},
		Writes: []table.Write{
			{Key: headKey, Value: marshal(headOf(next))},
			{Key: teamKey, Value: marshal(changed)},
			{Key: editPrefix + edit.ID, Value: marshal(entry)},
			{Key: fmt.Sprintf("%s%012d", historyPrefix, next.Revision), Value: marshal(entry)},
		},
	}
}

func headOf(text document.Text) head {
	result := head{Revision: text.Revision}
	for _, team := range text.Teams {
		result.Teams = append(result.Teams, teamRevision{Team: team.Team, Revision: team.Revision})
	}
	return result
}

func marshal(value any) []byte {
	// Marshal can't fail: the values have only strings and numbers.
	encoded, _ := json.Marshal(value)
	return encoded
}

// FindEdit returns the history entry of an edit id and whether the edit was accepted.
func (ed *Editor) FindEdit(ctx context.Context, editID string) (Entry, bool, error) {
	key := editPrefix + editID
	rows, err := rowsOf(ed.store.Read(ctx, key))
	if err != nil {
		return Entry{}, false, err
	}
	row := table.Find(rows, key)
	if row.Version == 0 {
		return Entry{}, false, nil
	}
	entry := Entry{}
	err = unmarshalInto(row, &entry)
	return entry, true, err
}

// History returns the entries of all revisions, newest first.
func (ed *Editor) History(ctx context.Context) ([]Entry, error) {
	rows, err := rowsOf(ed.store.List(ctx, historyPrefix))
	if err != nil {
		return nil, err
	}
	list := []Entry{}
	for _, row := range rows {
		entry := Entry{}
		if err := unmarshalInto(row, &entry); err != nil {
			return nil, err
		}
		list = append(list, entry)
	}
	sort.Slice(list, func(left, right int) bool { return list[left].Revision > list[right].Revision })
	return list, nil
}
