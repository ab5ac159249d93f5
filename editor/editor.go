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

// Edit is an operator's change of one team's text. ID makes it count once; Expected is the team's revision
// that the operator started from, 0 for a new team.
type Edit struct {
	ID               string
	Team             string
	ExpectedRevision int64
	Text             string
	Author           string
}

// Outcome is what became of an edit; Accepted, Conflict, Invalid, Undecided and Unavailable are its variants.
type Outcome interface {
	outcome()
}

// Accepted says that the edit is part of the document from the revision on. Text is the document of that
// revision, unless the edit was found to have been accepted before.
type Accepted struct {
	Revision int64
	Text     *document.Text
}

func (Accepted) outcome() {}

// Conflict says that the team's text was changed by someone else; Theirs is what it is now.
type Conflict struct {
	Current document.TeamText
}

func (Conflict) outcome() {}

// Invalid lists all that is wrong with the document as it would be.
type Invalid struct {
	Faults []inifile.Fault
}

func (Invalid) outcome() {}

// Undecided says that the service did not tell in time whether the edit was accepted; its history will.
type Undecided struct {
	Cause string
}

func (Undecided) outcome() {}

// Unavailable says that the edit had no effect since the service could not be reached.
type Unavailable struct {
	Cause string
}

func (Unavailable) outcome() {}

// Entry is one revision in the history.
type Entry struct {
	Revision  int64
	Team      string
	EditID    string
	Author    string
	UnixMilli int64
}

// head is the row that every edit changes.
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
	chance *entropy.Source
}

// New returns an editor of the document in store.
func New(store table.Store, timers *timer.Service, chance *entropy.Source) *Editor {
	return &Editor{store: store, timers: timers, chance: chance}
}

// snapshot is the document as read, with the versions of its rows.
type snapshot struct {
	head     head
	text     document.Text
	versions []table.Condition
}

func (sn snapshot) version(key string) int64 {
	for _, known := range sn.versions {
		if known.Key == key {
			return known.Version
		}
	}
	return 0
}

// HeadRevision returns the revision that the service holds, or the cause why it can't be told.
func (ed *Editor) HeadRevision(ctx context.Context) (int64, error) {
	rows, isRows := ed.store.Read(ctx, headKey).(table.Rows)
	if !isRows {
		return 0, UnavailableError{}
	}
	row := table.Find(rows.Rows, headKey)
	if row.Version == 0 {
		return 0, nil
	}
	current := head{}
	return current.Revision, unmarshalInto(row, &current)
}

// UnavailableError says that the table service could not be read.
type UnavailableError struct {
	Cause string
}

// Error names the cause.
func (ue UnavailableError) Error() string {
	return "table service unavailable: " + ue.Cause
}

func unmarshalInto(row table.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return fmt.Errorf("row %s: %w", row.Key, err)
	}
	return nil
}

// Fetch returns the whole document as the service holds it.
func (ed *Editor) Fetch(ctx context.Context) (document.Text, error) {
	for range maxTries {
		sn, err := ed.read(ctx)
		if err != nil {
			return document.Text{}, err
		}
		if sn.whole() {
			return sn.text, nil
		}
	}
	return document.Text{}, UnavailableError{Cause: "the document kept changing while it was read"}
}

// maxTries bounds how often a race with other edits is tried again.
const maxTries = 8

// whole reports whether the teams' rows are those that the head names.
func (sn snapshot) whole() bool {
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

func (ed *Editor) read(ctx context.Context) (snapshot, error) {
	sn := snapshot{}
	switch rows := ed.store.List(ctx, "document/head").(type) {
	case table.Rows:
		row := table.Find(rows.Rows, headKey)
		sn.versions = append(sn.versions, table.Condition{Key: headKey, Version: row.Version})
		if row.Version > 0 {
			if err := unmarshalInto(row, &sn.head); err != nil {
				return sn, err
			}
		}
	case table.Unavailable:
		return sn, UnavailableError{Cause: rows.Cause}
	}
	return sn, ed.readTeams(ctx, &sn)
}

func (ed *Editor) readTeams(ctx context.Context, sn *snapshot) error {
	sn.text.Revision = sn.head.Revision
	rows, isRows := ed.store.List(ctx, teamPrefix).(table.Rows)
	if !isRows {
		return UnavailableError{}
	}
	for _, row := range rows.Rows {
		team := document.TeamText{}
		if err := unmarshalInto(row, &team); err != nil {
			return err
		}
		sn.text = sn.text.With(team)
		sn.versions = append(sn.versions, table.Condition{Key: row.Key, Version: row.Version})
	}
	return nil
}

// Put tries an edit until it is decided or ctx ends.
func (ed *Editor) Put(ctx context.Context, edit Edit) Outcome {
	unknown := ""
	for try := range maxTries {
		outcome, again := ed.try(ctx, edit)
		if !again {
			return undecidedAfter(unknown, outcome)
		}
		if lost, isLost := outcome.(Undecided); isLost {
			unknown = lost.Cause
		}
		if ed.timers.Sleep(ctx, ed.chance.DurationUpTo(raceDelay<<try)) != nil {
			break
		}
	}
	if unknown != "" {
		return Undecided{Cause: unknown}
	}
	return Unavailable{Cause: "other edits kept coming first"}
}

// raceDelay is the bound of the wait after a first lost race; it doubles with each.
const raceDelay = 5 * time.Millisecond

// undecidedAfter corrects an outcome that only speaks of the last try: an earlier one whose answer was lost
// may have taken effect.
func undecidedAfter(unknown string, outcome Outcome) Outcome {
	if _, unavailable := outcome.(Unavailable); unavailable && unknown != "" {
		return Undecided{Cause: unknown}
	}
	return outcome
}

// try makes one transaction; again asks for another look at the document.
func (ed *Editor) try(ctx context.Context, edit Edit) (outcome Outcome, again bool) {
	// The document is read before the edit id: an earlier transaction of this edit whose answer was lost is
	// then either found, or changes the head and so fails the commit below.
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
	if !sn.whole() {
		return Unavailable{}, true
	}
	return ed.commit(ctx, edit, sn)
}

func (ed *Editor) commit(ctx context.Context, edit Edit, sn snapshot) (outcome Outcome, again bool) {
	theirs, _ := sn.text.Team(edit.Team)
	if theirs.Revision != edit.ExpectedRevision {
		return Conflict{Current: theirs}, false
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

// transaction writes the new head, the team's text, the edit id and the history, if none of them changed.
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
	made := head{Revision: text.Revision}
	for _, team := range text.Teams {
		made.Teams = append(made.Teams, teamRevision{Team: team.Team, Revision: team.Revision})
	}
	return made
}

func marshal(value any) []byte {
	// The values are plain structs of strings and numbers, which always encode.
	encoded, _ := json.Marshal(value)
	return encoded
}

// FindEdit returns the history entry of an edit id and whether there is one.
func (ed *Editor) FindEdit(ctx context.Context, editID string) (Entry, bool, error) {
	key := editPrefix + editID
	rows, isRows := ed.store.Read(ctx, key).(table.Rows)
	if !isRows {
		return Entry{}, false, UnavailableError{}
	}
	row := table.Find(rows.Rows, key)
	if row.Version == 0 {
		return Entry{}, false, nil
	}
	entry := Entry{}
	return entry, true, unmarshalInto(row, &entry)
}

// History returns the revisions, newest first.
func (ed *Editor) History(ctx context.Context) ([]Entry, error) {
	rows, isRows := ed.store.List(ctx, historyPrefix).(table.Rows)
	if !isRows {
		return nil, UnavailableError{}
	}
	list := []Entry{}
	for _, row := range rows.Rows {
		entry := Entry{}
		if err := unmarshalInto(row, &entry); err != nil {
			return nil, err
		}
		list = append(list, entry)
	}
	sort.Slice(list, func(left, right int) bool { return list[left].Revision > list[right].Revision })
	return list, nil
}
