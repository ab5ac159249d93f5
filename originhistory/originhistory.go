package originhistory

import (
	"time"

	"github.com/turmericdoor/turmericdoor/origin"
)

// History holds the origins that were registered for each pipeline lately; it is not safe for concurrent use.
type History struct {
	// isFirst is set if there were no streams before the history. since is when the first origins were added, or zero.
	isFirst bool
	since   time.Time
	// retention is how long callers may take up a stream.
	retention time.Duration
	pipelines map[string]map[origin.Origin]*sighting
}

// sighting is whether an origin is registered, or until when it was.
type sighting struct {
	isPresent bool
	until     time.Time
}

// New returns a history without origins; isFirst says that there were no streams before it.
func New(isFirst bool) *History {
	return &History{isFirst: isFirst, pipelines: map[string]map[origin.Origin]*sighting{}}
}

// Update sets the origins that are registered for each pipeline from now on, and how long callers may take up a stream.
func (hs *History) Update(now time.Time, retention time.Duration, present map[string][]origin.Origin) {
	hs.retention = retention
	if hs.since.IsZero() {
		hs.since = now
	}
	for _, origins := range hs.pipelines {
		for _, seen := range origins {
			if seen.isPresent {
				seen.isPresent, seen.until = false, now
			}
		}
	}
	for pipeline, list := range present {
		if hs.pipelines[pipeline] == nil {
			hs.pipelines[pipeline] = map[origin.Origin]*sighting{}
		}
		for _, one := range list {
			hs.pipelines[pipeline][one] = &sighting{isPresent: true}
		}
	}
	hs.prune(now)
}

// prune drops the origins that no stream to be taken up can have.
func (hs *History) prune(now time.Time) {
	for pipeline, origins := range hs.pipelines {
		for one, seen := range origins {
			if !seen.isPresent && now.Sub(seen.until) > hs.retention {
				delete(origins, one)
			}
		}
		if len(origins) == 0 {
			delete(hs.pipelines, pipeline)
		}
	}
}

// Recent returns the origins that a pipeline's streams can have.
func (hs *History) Recent(now time.Time, pipeline string) []origin.Origin {
	list := []origin.Origin{}
	for one, seen := range hs.pipelines[pipeline] {
		if seen.isPresent || now.Sub(seen.until) <= hs.retention {
			list = append(list, one)
		}
	}
	return list
}

// IsComplete reports whether the history reaches back to the beginning of every stream that callers may still take up.
func (hs *History) IsComplete(now time.Time) bool {
	return !hs.since.IsZero() && (hs.isFirst || now.Sub(hs.since) >= hs.retention)
}
