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

// CrashReports is where crashes are told and known.
type CrashReports interface {
	Status(fingerprint digest.Sum) quarantine.Status
	ReportCrash(crash quarantine.Crash)
	ReportSuccess(fingerprint digest.Sum)
	Leaving() []gossip.LeavingUpstream
}

// Guard decides about contents; it is safe for concurrent use.
type Guard struct {
	CrashReports CrashReports
	Store        table.Store
	Timers       *timer.Service
	Events       *timeline.Ring
	Random       *entropy.Source
	Instance     string
	CallTimeout  time.Duration
	// RunInBackground runs work that an answer does not wait for; done is closed at its end.
	RunInBackground func(run func(ctx context.Context, done chan<- struct{}))
}

// record is the row of a suspect content: who tries it, and whether it is condemned.
type record struct {
	Instance  string
	UnixMilli int64
	Condemned bool
}

const (
	// prefix is where suspects lie in the table.
	prefix = "suspect/"
	// busyRetry is when to come back while a suspect can't be tried.
	busyRetry = 2 * time.Second
	// trialLife is how long a trial whose end was not written keeps others from trying.
	trialLife = 10 * time.Minute
)

// Permit decides whether a content may run now.
func (gd *Guard) Permit(ctx context.Context, fingerprint digest.Sum) runner.Permit {
	switch gd.CrashReports.Status(fingerprint) {
	case quarantine.Clear:
		return runner.Unrestricted{}
	case quarantine.Blocked:
		return runner.Denied{Condemned: true}
	case quarantine.Suspect:
		return gd.trial(ctx, fingerprint)
	}
	return runner.Denied{Condemned: true}
}

// trial lets a suspect run if no other instance tries it: two trials at once could cost two upstreams.
func (gd *Guard) trial(ctx context.Context, fingerprint digest.Sum) runner.Permit {
	ctx, cancel := context.WithTimeout(ctx, gd.CallTimeout)
	defer cancel()
	key := prefix + fingerprint.String()
	rows, read := gd.Store.Read(ctx, key).(table.Rows)
	if !read {
		return runner.Denied{RetryAfter: busyRetry}
	}
	row := table.Find(rows.Rows, key)
	known := record{}
	if row.Version > 0 {
		_ = json.Unmarshal(row.Value, &known)
	}
	if known.Condemned {
		return runner.Denied{Condemned: true}
	}
	if row.Version > 0 && gd.Timers.Now().Sub(time.UnixMilli(known.UnixMilli)) < trialLife {
		return runner.Denied{RetryAfter: busyRetry}
	}
	if !gd.write(ctx, row, record{Instance: gd.Instance, UnixMilli: gd.Timers.Now().UnixMilli()}) {
		return runner.Denied{RetryAfter: busyRetry}
	}
	return runner.Exclusive{Release: func(passed bool) { gd.end(fingerprint, passed) }}
}

func (gd *Guard) write(ctx context.Context, row table.Row, content record) bool {
	encoded, _ := json.Marshal(content)
	outcome := gd.Store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []table.Write{{Key: row.Key, Value: encoded}},
	})
	_, committed := outcome.(table.Committed)
	return committed
}

// end notes how a trial ended, here at once and for the others in the background.
func (gd *Guard) end(fingerprint digest.Sum, passed bool) {
	if passed {
		gd.CrashReports.ReportSuccess(fingerprint)
	}
	gd.RunInBackground(func(ctx context.Context, done chan<- struct{}) {
		defer close(done)
		gd.writeEnd(ctx, fingerprint)
	})
}

// writeEnd writes how a trial ended. If that fails, others wait until the trial's row is old.
func (gd *Guard) writeEnd(ctx context.Context, fingerprint digest.Sum) {
	ctx, cancel := context.WithTimeout(ctx, gd.CallTimeout)
	defer cancel()
	key := prefix + fingerprint.String()
	rows, read := gd.Store.Read(ctx, key).(table.Rows)
	if !read {
		return
	}
	row := table.Find(rows.Rows, key)
	if gd.CrashReports.Status(fingerprint) == quarantine.Blocked {
		gd.write(ctx, row, record{Instance: gd.Instance, UnixMilli: gd.Timers.Now().UnixMilli(), Condemned: true})
		return
	}
	gd.Store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: row.Version}},
		Writes:     []table.Write{{Key: key, Delete: true}},
	})
}

// ReportCrash reports an upstream that died while it ran a content. One that was leaving anyway says nothing
// about the content.
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
