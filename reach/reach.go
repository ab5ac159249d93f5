package reach

import "time"

const (
	// minAddresses is the number of upstreams that others must have reached, but this instance not, for it to be cut off.
	minAddresses = 2
	// minConnections is the number of connections in a row after which an instance is no longer cut off.
	minConnections = 2
	// evidenceTTL is how long it counts that another instance reached an upstream, and how long that upstream is connected to
	// through others.
	evidenceTTL = 2 * time.Second
	// trialTime is how long the others wait for the one that tries to connect to such an upstream again.
	trialTime = 500 * time.Millisecond
	// freshness is how long a connection shows that the instance is not cut off.
	freshness = time.Second
)

// Tracker tracks which upstreams an instance reaches itself; it is not safe for concurrent use.
type Tracker struct {
	// reachedByOthers holds until when each upstream is connected to through others, by its address.
	reachedByOthers map[string]time.Time
	isCutOff        bool
	connections     int
	connectedAt     time.Time
}

// New returns a tracker of an instance that is not cut off.
func New() *Tracker {
	return &Tracker{reachedByOthers: map[string]time.Time{}}
}

// IsCutOff reports whether the instance reaches no upstream itself.
func (tr *Tracker) IsCutOff() bool {
	return tr.isCutOff
}

// HasConnected reports whether the instance has connected to an upstream itself just now.
func (tr *Tracker) HasConnected(now time.Time) bool {
	return !tr.isCutOff && now.Sub(tr.connectedAt) < freshness
}

// PrefersOthers reports whether to connect to an upstream through another instance first. From time to time one caller is told to
// try it itself.
func (tr *Tracker) PrefersOthers(now time.Time, address string) bool {
	if tr.isCutOff {
		return true
	}
	until, known := tr.reachedByOthers[address]
	if known && !now.Before(until) {
		tr.reachedByOthers[address] = now.Add(trialTime)
		return false
	}
	return known
}

// Connected records that the instance has connected to an upstream itself.
func (tr *Tracker) Connected(now time.Time, address string) {
	tr.connectedAt = now
	delete(tr.reachedByOthers, address)
	if !tr.isCutOff {
		return
	}
	if tr.connections++; tr.connections >= minConnections {
		tr.isCutOff = false
		clear(tr.reachedByOthers)
	}
}

// Failed records that the instance could not connect to an upstream.
func (tr *Tracker) Failed() {
	tr.connections = 0
}

// ReachedByOther records that another instance has connected to an upstream to which this one could not.
func (tr *Tracker) ReachedByOther(now time.Time, address string) {
	tr.reachedByOthers[address] = now.Add(evidenceTTL)
	for each, until := range tr.reachedByOthers {
		if !now.Before(until.Add(evidenceTTL)) {
			delete(tr.reachedByOthers, each)
		}
	}
	if len(tr.reachedByOthers) >= minAddresses && !tr.HasConnected(now) {
		tr.isCutOff, tr.connections = true, 0
	}
}
