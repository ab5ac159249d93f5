package operator

import (
	"github.com/turmericdoor/turmericdoor/pool"
)

// Edit is the body of PUT /v1/document/teams/NAME. EditID makes a repeated call count once.
type Edit struct {
	EditID   string `json:"EditId"`
	Expected int64
	Text     string
	Author   string
}

// EditResult is what became of an edit: Accepted, Conflict, Invalid, Undecided or Unavailable.
type EditResult struct {
	Outcome        string
	Revision       int64
	Faults         []string
	Theirs         string
	TheirsRevision int64
	Cause          string
}

// MemberStatus is one entry instance as the asked one sees it; Revision is -1 if it did not answer.
type MemberStatus struct {
	ID            string `json:"Id"`
	Address       string
	FailureDomain string
	Incarnation   uint64
	Liveness      string
	Revision      int64
}

// PoolStatus is one pool as the asked instance sees it.
type PoolStatus struct {
	Name      string
	Waiting   int
	Upstreams []pool.Status
}

// Status is what an instance says of itself.
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

// Failure is the body of every refusal.
type Failure struct {
	Code    string
	Message string
}
