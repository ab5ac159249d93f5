package document

import (
	"sort"
	"time"

	"github.com/turmericdoor/turmericdoor/digest"
)

// Document is a checked document in linked form; it is never changed once made.
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

// Rank is one class of work; Index is its place in the order of service, from 0.
type Rank struct {
	Name         string
	Index        int
	Precedence   int64
	Deadline     time.Duration
	FloorPercent int64
}

// Organisation is a customer.
type Organisation struct {
	Name       string
	Weight     int64
	KeyDigests []digest.Sum
	Pipelines  map[string]bool
}

// Kind says what the upstreams of a pool do.
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

// Slots returns how many calls all upstreams of the pool work on at once.
func (pl *Pool) Slots() int64 {
	total := int64(0)
	for _, up := range pl.Upstreams {
		total += up.Slots
	}
	return total
}

// Upstream is one back end.
type Upstream struct {
	Name          string
	Pool          *Pool
	Address       string
	FailureDomain string
	Slots         int64
	Incarnation   int64
	ChecksFence   bool
	ChecksOrders  bool
	Model         string
	Adapters      []string
}

// Brownout says what a stage drops when time is short.
type Brownout string

// The choices of Brownout.
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

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	Name       string
	Idempotent bool
	Stages     []*Stage
}

// OrganisationByKey finds the organisation that a caller's key belongs to, comparing in constant time.
func (dc *Document) OrganisationByKey(key string) (*Organisation, bool) {
	sum := digest.OfKey(key)
	found, listed := dc.byKey[sum]
	if !listed {
		return nil, false
	}
	for _, known := range found.KeyDigests {
		if known.Equal(sum) {
			return found, true
		}
	}
	return nil, false
}

// Allows reports whether the organisation may call the pipeline.
func (og *Organisation) Allows(pipeline string) bool {
	return len(og.Pipelines) == 0 || og.Pipelines[pipeline]
}

// HasKey reports whether key opens the team's sections.
func (tm *Team) HasKey(key string) bool {
	sum := digest.OfKey(key)
	for _, known := range tm.KeyDigests {
		if known.Equal(sum) {
			return true
		}
	}
	return false
}

// sortRanks numbers the ranks in their order of service.
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

// sortUpstreams gives each pool its upstreams in the order of their names.
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
