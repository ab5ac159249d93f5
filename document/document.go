package document

import (
	"sort"
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
)

// Document is a checked document whose sections are linked to each other; it is immutable after Parse.
type Document struct {
	Text              Text
	Revision          int64
	Teams             map[string]*Team
	Ranks             map[string]*Rank
	RanksByPrecedence []*Rank
	Organisations     map[string]*Organisation
	Pools             map[string]*Pool
	Pipelines         map[string]*Pipeline
	Upstreams         map[string]*Upstream
	byKey             map[digest.Sum]*Organisation
}

// Team is a group of operators that owns sections.
type Team struct {
	Name       string
	KeyDigests []digest.Sum
}

// Rank is a priority class. Index is its position in RanksByPrecedence, from 0. FloorPercent is the share of each
// pool that the rank keeps when ranks before it have more work than the pool can do.
type Rank struct {
	Name         string
	Index        int
	Precedence   int64
	Deadline     time.Duration
	FloorPercent int64
}

// Organisation is a customer whose callers authenticate with its keys. An empty Pipelines allows all pipelines.
type Organisation struct {
	Name       string
	Weight     int64
	KeyDigests []digest.Sum
	Pipelines  map[string]bool
}

// Kind is the kind of work that the upstreams of a pool do.
type Kind string

// The kinds of pools.
const (
	Engine    Kind = "Engine"
	Encoder   Kind = "Encoder"
	Retriever Kind = "Retriever"
	Reranker  Kind = "Reranker"
	Service   Kind = "Service"
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name           string
	Kind           Kind
	StageTime      time.Duration
	RetryPercent   int64
	HedgeAfter     time.Duration
	AttemptTimeout time.Duration
	Path           string
	Upstreams      []*Upstream
}

// Slots returns the total number of calls that the pool's upstreams can run concurrently.
func (pl *Pool) Slots() int64 {
	total := int64(0)
	for _, up := range pl.Upstreams {
		total += up.Slots
	}
	return total
}

// Upstream is one back end of a pool; Slots is the number of calls that it can run concurrently.
type Upstream struct {
	Name          string
	Pool          *Pool
	Address       string
	FailureDomain string
	Slots         int64
	// Incarnation is raised when an upstream that had left comes back under the same name.
	Incarnation  int64
	ChecksFence  bool
	ChecksOrders bool
	Model        string
	Adapters     []string
	// SoftwareVersion is the version of its software, or "".
	SoftwareVersion string
}

// Brownout is how a stage reduces its work when the remaining time is short.
type Brownout string

// The values of Brownout.
const (
	BrownoutNone    Brownout = "None"
	BrownoutSkip    Brownout = "Skip"
	BrownoutFewer   Brownout = "Fewer"
	BrownoutShorter Brownout = "Shorter"
)

// Stage is one step of a pipeline.
type Stage struct {
	Name       string
	Pool       *Pool
	Candidates int64
	MaxTokens  int64
	Brownout   Brownout
	Adapter    string
}

// Pipeline is a sequence of stages under one deadline.
type Pipeline struct {
	Name       string
	Idempotent bool
	Stages     []*Stage
}

// OrganisationByKey returns the organisation that a caller's key belongs to and whether there is one. Digests are
// compared in constant time.
func (dc *Document) OrganisationByKey(key string) (*Organisation, bool) {
	sum := digest.OfKey(key)
	organisation, found := dc.byKey[sum]
	if !found {
		return nil, false
	}
	for _, known := range organisation.KeyDigests {
		if known.Equal(sum) {
			return organisation, true
		}
	}
	return nil, false
}

// Allows reports whether the organisation may call the pipeline.
func (og *Organisation) Allows(pipeline string) bool {
	return len(og.Pipelines) == 0 || og.Pipelines[pipeline]
}

// HasKey reports whether key is one of the team's keys, with which its sections may be edited.
func (tm *Team) HasKey(key string) bool {
	sum := digest.OfKey(key)
	for _, known := range tm.KeyDigests {
		if known.Equal(sum) {
			return true
		}
	}
	return false
}

// sortRanks fills RanksByPrecedence and sets each rank's index.
func (dc *Document) sortRanks() {
	for _, rank := range dc.Ranks {
		dc.RanksByPrecedence = append(dc.RanksByPrecedence, rank)
	}
	sort.Slice(dc.RanksByPrecedence, func(left, right int) bool {
		return dc.RanksByPrecedence[left].Precedence < dc.RanksByPrecedence[right].Precedence
	})
	for at, rank := range dc.RanksByPrecedence {
		rank.Index = at
	}
}

// sortUpstreams fills each pool's Upstreams, sorted by name.
func (dc *Document) sortUpstreams() {
	names := make([]string, 0, len(dc.Upstreams))
	for name := range dc.Upstreams {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		up := dc.Upstreams[name]
		up.Pool.Upstreams = append(up.Pool.Upstreams, up)
	}
}
