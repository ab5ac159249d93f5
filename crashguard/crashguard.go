package crashguard

import (
	"context"
	"encoding/json"
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/gossip"
	"github.com/turmericdoor/turmericdoor/quarantine"
	"github.com/turmericdoor/turmericdoor/runner"
	"github.com/turmericdoor/turmericdoor/schema/wire"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timeline"
	"github.com/turmericdoor/turmericdoor/timer"
)

// CrashReports exchanges reports of crashes with the other instances and knows the quarantine status of each content.
type CrashReports interface {
	Status(fingerprint digest.Sum) quarantine.Status
	ReportCrash(crash quarantine.Crash)
	ReportSuccess(fingerprint digest.Sum)
	Leaving() []gossip.LeavingUpstream
}

// Guard decides which contents may run; it is safe for concurrent use.
type Guard struct {
	CrashReports CrashReports
	Store        table.Store
	Timers       *timer.Service
	Events       *timeline.Ring
	Random       *entropy.Source
	Instance     string
	CallTimeout  time.Duration
	// RunInBackground starts a function in the background, so that the answer doesn't wait for it. The function
	// must close done at its end.
	RunInBackground func(run func(ctx context.Context, done chan<- struct{}))
}

// record is the table row of a suspect content. Instance is the instance that wrote the row at the time
// UnixMilli, and Blocked is set if the content must not run again. The table stores the names of the fields,
// and Blocked under the name Condemned.
type record struct {
	Instance  string
	UnixMilli int64
	Blocked   bool `json:"Condemned"`
}

const (
	// keyPrefix is the prefix of the table keys of suspect contents.
	keyPrefix = "suspect/"
	// trialRetryAfter is the RetryAfter of a denial while no trial of a suspect content can begin.
	trialRetryAfter = 2 * time.Second
	// trialTTL is the time for which a trial without a recorded end prevents other trials of the content.
	trialTTL = 10 * time.Minute
)

// Permit decides whether the content with the fingerprint may run now, and whether it may share an upstream.
func (gd *Guard) Permit(ctx context.Context, fingerprint digest.Sum) runner.Permit {
	switch gd.CrashReports.Status(fingerprint) {
	case quarantine.Clear:
		return runner.Unrestricted{}
	case quarantine.Blocked:
		return runner.Denied{Blocked: true}
	case quarantine.Suspect:
		return gd.beginTrial(ctx, fingerprint)
	}
	return runner.Denied{Blocked: true}
}

// beginTrial permits a suspect content to run exclusively if no instance runs a trial of it. Two trials at the same
// time could crash two upstreams.
func (gd *Guard) beginTrial(ctx context.Context, fingerprint digest.Sum) runner.Permit {
	ctx, cancel := context.WithTimeout(ctx, gd.CallTimeout)
	defer cancel()
	key := keyPrefix + fingerprint.String()
	rows, read := gd.Store.Read(ctx, key).(table.Rows)
	if !read {
		return runner.Denied{RetryAfter: trialRetryAfter}
	}
	row := table.Find(rows.Rows, key)
	existing := record{}
	if row.Version > 0 {
		_ = json.Unmarshal(row.Value, &existing)
	}
	if existing.Blocked {
		return runner.Denied{Blocked: true}
	}
	if row.Version > 0 && gd.Timers.Now().Sub(time.UnixMilli(existing.UnixMilli)) < trialTTL {
		return runner.Denied{RetryAfter: trialRetryAfter}
	}
	if !gd.writeRecord(ctx, row, record{Instance: gd.Instance, UnixMilli: gd.Timers.Now().UnixMilli()}) {
		return runner.Denied{RetryAfter: trialRetryAfter}
	}
	return runner.Exclusive{Release: func(passed bool) { gd.endTrial(fingerprint, passed) }}
}

// writeRecord writes the record if the row still has the version that was read, and reports whether it did.
func (gd *Guard) writeRecord(ctx context.Context, row table.Row, rec record) bool {
	encoded, _ := json.Marshal(rec)
	outcome := gd.Store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []table.Write{{Key: row.Key, Value: encoded}},
	})
	_, committed := outcome.(table.Committed)
	return committed
}

// endTrial records how a trial ended: on this instance at once, and in the table in the background.
func (gd *Guard) endTrial(fingerprint digest.Sum, passed bool) {
	if passed {
		gd.CrashReports.ReportSuccess(fingerprint)
	}
	gd.RunInBackground(func(ctx context.Context, done chan<- struct{}) {
		defer close(done)
		gd.recordTrialEnd(ctx, fingerprint)
	})
}

// recordTrialEnd deletes the row of the trial, or marks the content as blocked in it. If that fails, no trial of
// the content can begin until trialTTL has passed.
func (gd *Guard) recordTrialEnd(ctx context.Context, fingerprint digest.Sum) {
	ctx, cancel := context.WithTimeout(ctx, gd.CallTimeout)
	defer cancel()
	key := keyPrefix + fingerprint.String()
	rows, read := gd.Store.Read(ctx, key).(table.Rows)
	if !read {
		return
	}
	row := table.Find(rows.Rows, key)
	if gd.CrashReports.Status(fingerprint) == quarantine.Blocked {
		gd.writeRecord(ctx, row, record{Instance: gd.Instance, UnixMilli: gd.Timers.Now().UnixMilli(), Blocked: true})
		return
	}
	gd.Store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: row.Version}},
		Writes:     []table.Write{{Key: key, Delete: true}},
	})
}

// ReportCrash reports an upstream whose process died while it ran a content. Upstreams that are leaving are
// ignored, because the end of their process is no evidence against the content.
func (gd *Guard) ReportCrash(fingerprint digest.Sum, upstream, requestID string) {
	for _, item := range gd.CrashReports.Leaving() {
		if item.Upstream == upstream {
			return
		}
	}
	gd.CrashReports.ReportCrash(quarantine.Crash{
		Fingerprint: fingerprint, Upstream: upstream, ID: gd.Random.NewID(), At: gd.Timers.Now(),
	})
	gd.Events.Record(&wire.Event{
		Kind: wire.EventKind_EventRequestQuarantined, RequestId: requestID, Upstream: upstream, Detail: fingerprint.String(),
	})
}
