package quarantine

import (
	"sort"
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
)

// Status is what is known of a content.
type Status int

// The standings: nothing known, one crash, and at least two crashes on different upstreams.
const (
	Clear Status = iota
	Suspect
	Blocked
)

const (
	// crashesToCondemn is how many upstreams must have crashed.
	crashesToCondemn = 2
	// CrashTTL is how long a crash is remembered.
	CrashTTL = time.Hour
	// maxRecords bounds how many contents are remembered; the oldest are dropped first.
	maxRecords = 4096
)

// Crash is a report that an upstream died while it ran a content; ID makes it count once.
type Crash struct {
	Fingerprint digest.Sum
	Upstream    string
	ID          string
	At          time.Time
}

// Registry holds the reports; it is not safe for concurrent use.
type Registry struct {
	records map[digest.Sum]*record
}

type record struct {
	crashes []Crash
	passed  time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[digest.Sum]*record{}}
}

// ReportCrash enters a crash and reports whether it was new.
func (rg *Registry) ReportCrash(now time.Time, crash Crash) bool {
	if now.Sub(crash.At) > CrashTTL {
		return false
	}
	rc, known := rg.records[crash.Fingerprint]
	if !known {
		rg.makeRoom()
		rc = &record{}
		rg.records[crash.Fingerprint] = rc
	}
	for _, other := range rc.crashes {
		if other.ID == crash.ID {
			return false
		}
	}
	rc.crashes = append(rc.crashes, crash)
	return true
}

// ReportSuccess notes that a suspect content ran alone and was answered: crashes before that were not its doing.
func (rg *Registry) ReportSuccess(now time.Time, fingerprint digest.Sum) {
	if rc, known := rg.records[fingerprint]; known {
		rc.passed = now
	}
}

// Status returns what is known of a content.
func (rg *Registry) Status(now time.Time, fingerprint digest.Sum) Status {
	rc, known := rg.records[fingerprint]
	if !known {
		return Clear
	}
	upstreams := map[string]bool{}
	for _, crash := range rc.crashes {
		if now.Sub(crash.At) <= CrashTTL && crash.At.After(rc.passed) {
			upstreams[crash.Upstream] = true
		}
	}
	switch {
	case len(upstreams) >= crashesToCondemn:
		return Blocked
	case len(upstreams) == 1:
		return Suspect
	default:
		return Clear
	}
}

// Crashes returns every report that still counts, oldest first.
func (rg *Registry) Crashes(now time.Time) []Crash {
	list := []Crash{}
	for _, rc := range rg.records {
		for _, crash := range rc.crashes {
			if now.Sub(crash.At) <= CrashTTL {
				list = append(list, crash)
			}
		}
	}
	sort.Slice(list, func(left, right int) bool {
		if list[left].At.Equal(list[right].At) {
			return list[left].ID < list[right].ID
		}
		return list[left].At.Before(list[right].At)
	})
	return list
}

// Expire drops contents whose reports are all too old.
func (rg *Registry) Expire(now time.Time) {
	for fingerprint, rc := range rg.records {
		if now.Sub(rc.latest()) > CrashTTL {
			delete(rg.records, fingerprint)
		}
	}
}

func (rc *record) latest() time.Time {
	latest := time.Time{}
	for _, crash := range rc.crashes {
		if crash.At.After(latest) {
			latest = crash.At
		}
	}
	return latest
}

func (rg *Registry) makeRoom() {
	if len(rg.records) < maxRecords {
		return
	}
	oldest, found := digest.Sum{}, false
	for fingerprint, rc := range rg.records {
		if !found || rc.latest().Before(rg.records[oldest].latest()) {
			oldest, found = fingerprint, true
		}
	}
	delete(rg.records, oldest)
}
