package operator

import (
	"github.com/turmericdoor/turmericdoor/pool"
)

// Edit is the body of PUT /v1/document/teams/NAME, which replaces the text of team NAME. Expected is the revision of the
// team's text that the edit is based on, 0 for a new team: the edit is applied only if it is still the current one
// (compare-and-set), and is otherwise answered with Outcome Conflict. Calls with the same EditID take effect once.
type Edit struct {
	EditID   string `json:"EditId"`
	Expected int64
	Text     string
	Author   string
}

// EditResult is the result of an edit. Outcome is Accepted, Conflict, Invalid, Undecided or Unavailable, or Valid
// if the edit was only checked.
type EditResult struct {
	Outcome        string
	Revision       int64
	Faults         []string
	Theirs         string
	TheirsRevision int64
	Cause          string
}

// MemberStatus is the state of an entry instance as seen by the instance that reports it. Revision is -1 if the
// member did not answer.
type MemberStatus struct {
	ID            string `json:"Id"`
	Address       string
	FailureDomain string
	Incarnation   uint64
	Liveness      string
	Revision      int64
}

// PoolStatus is the state of a pool as seen by the instance that reports it.
type PoolStatus struct {
	Name      string
	Waiting   int
	Upstreams []pool.Status
}

// Status is the state of an instance and its view of the members, pools and leaving upstreams.
type Status struct {
	ID            string `json:"Id"`
	FailureDomain string
	Phase         string
	Revision      int64
	InFlight      int64
	PlatformUp    bool
	ClaimsOwed    int64
	Members       []MemberStatus
	Pools         []PoolStatus
	Leaving       []string
}

// Failure is the body of an HTTP response to an operator whose request failed. Code is a constant word for programs, Message
// a text for people. Edits that fail are answered with an EditResult.
type Failure struct {
	Code    string
	Message string
}
