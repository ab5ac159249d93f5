package quarantine

import (
	"sort"
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
)

// Status is the quarantine status of a request content.
type Status int

// The statuses: no crash, a crash on one upstream, and crashes on at least two different upstreams.
const (
	Clear Status = iota
	Suspect
	Blocked
)

const (
	// crashesToBlock is the number of different upstreams that a content must have crashed to be blocked.
	crashesToBlock = 2
	// CrashTTL is how long a crash counts.
	CrashTTL = time.Hour
	// maxRecords bounds the number of recorded contents.
	maxRecords = 4096
)

// Crash reports that an upstream died while executing a content; reports with the same ID count once.
type Crash struct {
	Fingerprint digest.Sum
	Upstream    string
	ID          string
	At          time.Time
}

// Registry holds the crash reports; it is not safe for concurrent use.
type Registry struct {
	records map[digest.Sum]*record
}

// record holds the crash reports of one content. Crashes until succeededAt, its last execution without a crash, no longer
// count.
type record struct {
	crashes     []Crash
	succeededAt time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{records: map[digest.Sum]*record{}}
}

// ReportCrash adds a crash report. It adds nothing and returns false if the crash is older than CrashTTL, or if a report of
// the same content with the same ID was added before.
func (rg *Registry) ReportCrash(now time.Time, crash Crash) bool {
	if now.Sub(crash.At) > CrashTTL {
		return false
	}
	rc, known := rg.records[crash.Fingerprint]
	if !known {
		rg.evictOldest()
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

// ReportSuccess records that a suspect content was executed without a crash; earlier crashes no longer count.
func (rg *Registry) ReportSuccess(now time.Time, fingerprint digest.Sum) {
	if rc, known := rg.records[fingerprint]; known {
		rc.succeededAt = now
	}
}

// Status returns the status of a content.
func (rg *Registry) Status(now time.Time, fingerprint digest.Sum) Status {
	rc, known := rg.records[fingerprint]
	if !known {
		return Clear
	}
	upstreams := map[string]bool{}
	for _, crash := range rc.crashes {
		if now.Sub(crash.At) <= CrashTTL && crash.At.After(rc.succeededAt) {
			upstreams[crash.Upstream] = true
		}
	}
	switch {
	case len(upstreams) >= crashesToBlock:
		return Blocked
	case len(upstreams) == 1:
		return Suspect
	default:
		return Clear
	}
}

// Crashes returns the reports that have not expired, oldest first.
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

// Expire drops the contents whose reports have all expired.
func (rg *Registry) Expire(now time.Time) {
	for fingerprint, rc := range rg.records {
		if now.Sub(rc.latestCrash()) > CrashTTL {
			delete(rg.records, fingerprint)
		}
	}
}

func (rc *record) latestCrash() time.Time {
	latest := time.Time{}
	for _, crash := range rc.crashes {
		if crash.At.After(latest) {
			latest = crash.At
		}
	}
	return latest
}

// evictOldest removes the content whose latest crash is the oldest, if the registry holds maxRecords contents.
func (rg *Registry) evictOldest() {
	if len(rg.records) < maxRecords {
		return
	}
	oldest, found := digest.Sum{}, false
	for fingerprint, rc := range rg.records {
		if !found || rc.latestCrash().Before(rg.records[oldest].latestCrash()) {
			oldest, found = fingerprint, true
		}
	}
	delete(rg.records, oldest)
}
