package originhistory

import (
	"time"

	"github.com/turmericdoor/turmericdoor/origin"
)

// History holds the origins that were registered for each pipeline lately; it is not safe for concurrent use.
type History struct {
	// since is when the first origins were added, or zero.
	since     time.Time
	pipelines map[string]map[origin.Origin]*sighting
}

// sighting is whether an origin is registered, or until when it was.
type sighting struct {
	isPresent bool
	until     time.Time
}

// New returns a history without origins.
func New() *History {
	return &History{pipelines: map[string]map[origin.Origin]*sighting{}}
}

// Update sets the origins that are registered for each pipeline from now on.
func (hs *History) Update(now time.Time, present map[string][]origin.Origin) {
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
			if !seen.isPresent && now.Sub(seen.until) > origin.Retention {
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
		if seen.isPresent || now.Sub(seen.until) <= origin.Retention {
			list = append(list, one)
		}
	}
	return list
}

// IsComplete reports whether the history reaches back to the beginning of every stream that callers may still take up.
func (hs *History) IsComplete(now time.Time) bool {
	return !hs.since.IsZero() && now.Sub(hs.since) >= origin.Retention
}
