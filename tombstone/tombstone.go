package tombstone

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericdoor/turmericdoor/roster"
)

// Set holds the ended incarnations; it is not safe for concurrent use.
type Set struct {
	ended map[roster.Incarnation]*stone
}

// stone is when the end of an incarnation became known, and how many messages still carry it.
type stone struct {
	at            time.Time
	transmitsLeft int
}

const (
	// retention is how long an end is kept; by then the registration of the incarnation is gone.
	retention = time.Minute
	// maxStones bounds the kept ends, transmitLimit is how many messages carry each, and maxNews bounds those in one message.
	maxStones     = 1024
	transmitLimit = 16
	maxNews       = 64
)

// New returns an empty set.
func New() *Set {
	return &Set{ended: map[roster.Incarnation]*stone{}}
}

// Add adds an incarnation and reports whether it is new. The oldest one makes room.
func (st *Set) Add(now time.Time, incarnation roster.Incarnation) bool {
	if st.ended[incarnation] != nil {
		return false
	}
	if len(st.ended) >= maxStones {
		st.dropOldest()
	}
	st.ended[incarnation] = &stone{at: now, transmitsLeft: transmitLimit}
	return true
}

func (st *Set) dropOldest() {
	oldest, found := roster.Incarnation{}, false
	for incarnation, each := range st.ended {
		if !found || each.at.Before(st.ended[oldest].at) {
			oldest, found = incarnation, true
		}
	}
	delete(st.ended, oldest)
}

// Expire drops the ends that are older than their retention.
func (st *Set) Expire(now time.Time) {
	for incarnation, each := range st.ended {
		if now.Sub(each.at) > retention {
			delete(st.ended, incarnation)
		}
	}
}

// All returns the ended incarnations, in the order of their ids.
func (st *Set) All() []roster.Incarnation {
	list := []roster.Incarnation{}
	for incarnation := range st.ended {
		list = append(list, incarnation)
	}
	slices.SortFunc(list, func(left, right roster.Incarnation) int {
		return cmp.Or(cmp.Compare(left.ID, right.ID), cmp.Compare(left.StartUnixMs, right.StartUnixMs))
	})
	return list
}

// TakeNews returns the incarnations for the next message and uses up one transmission of each.
func (st *Set) TakeNews() []roster.Incarnation {
	list := []roster.Incarnation{}
	for _, incarnation := range st.All() {
		if each := st.ended[incarnation]; each.transmitsLeft > 0 && len(list) < maxNews {
			each.transmitsLeft--
			list = append(list, incarnation)
		}
	}
	return list
}
