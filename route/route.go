package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table is one revision of the configuration; it is never changed once it is in force.
type Table struct {
	Revision      int64
	Pipelines     []Pipeline
	Pools         map[string]Pool
	Organisations map[string]Organisation
	Limits        Limits

	byHost map[string][]*Pipeline
}

// Limits bound what a caller may send and how long it may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is the holder of a key; HasRank says that its rank goes before the pipeline's.
type Organisation struct {
	Name    string
	Rank    int
	HasRank bool
}

// RetryPolicy says how often a request may run.
type RetryPolicy int

// The ways in which a request may be repeated.
const (
	// AtMostOnce is a request that may run at most once.
	AtMostOnce RetryPolicy = iota
	// Idempotent is a request that may run any number of times.
	Idempotent
	// Resumable is a stream that may be continued by another run after its last event.
	Resumable
)

// Pipeline is a route with its stages; Timeout is 0 for no limit beside the caller's deadline.
type Pipeline struct {
	Name           string
	Host           string
	Prefix         string
	RetryPolicy    RetryPolicy
	Streaming      bool
	Public         bool
	Rank           int
	Timeout        time.Duration
	TargetLatency  time.Duration
	TargetEventGap time.Duration
	// AbandonAfter is after how long without an event callers leave a stream, or 0 if they wait to their deadline.
	AbandonAfter time.Duration
	MaxUpstreams int
	Pools        []WeightedPool
	Stages       []Stage
}

// WeightedPool is a pool that takes a share of a pipeline's requests.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Stage is work that is done before the request runs; After lists the stages whose results it reads.
type Stage struct {
	Pool        string
	DependsOn   []int
	ResultBytes int64
}

// Pool is a set of equal upstreams; Engine and Items are nil for a plain service.
type Pool struct {
	Name string
	// MaxConnections is how many connections an upstream takes from all instances together, or 0 if that is not known.
	MaxConnections int
	Engine         *Engine
	Batching       *Batching
}

// Engine describes the model engines of a pool.
type Engine struct {
	Slots            int
	KVCapacityTokens int64
}

// Batching describes the upstreams of a pool that works on batches of items.
type Batching struct {
	Slots          int
	QueueCapacity  int
	MaxBatch       int
	CallTime       time.Duration
	ItemTime       time.Duration
	ResultCapacity int64
	ResultTTL      time.Duration
}

// New completes a table; the table belongs to the route package from then on.
func New(tb Table) *Table {
	tb.byHost = map[string][]*Pipeline{}
	for at := range tb.Pipelines {
		pipeline := &tb.Pipelines[at]
		tb.byHost[pipeline.Host] = append(tb.byHost[pipeline.Host], pipeline)
	}
	for _, list := range tb.byHost {
		slices.SortStableFunc(list, func(left, right *Pipeline) int {
			return cmp.Compare(len(right.Prefix), len(left.Prefix))
		})
	}
	return &tb
}

// Match returns the pipeline of the host whose prefix is the longest that begins the path, or nil.
func (tb *Table) Match(host, path string) *Pipeline {
	for _, pipeline := range tb.byHost[host] {
		if strings.HasPrefix(path, pipeline.Prefix) {
			return pipeline
		}
	}
	return nil
}

// SelectPool returns the pool that runs a request: one request always goes to the same pool of a split pipeline.
func (tb *Table) SelectPool(pipeline *Pipeline, requestID string) (Pool, bool) {
	total := 0
	for _, one := range pipeline.Pools {
		total += one.Weight
	}
	if total <= 0 {
		return Pool{}, false
	}
	drawn := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, one := range pipeline.Pools {
		if drawn -= one.Weight; drawn < 0 {
			pool, known := tb.Pools[one.Pool]
			return pool, known
		}
	}
	return Pool{}, false
}

// RankOf returns the rank of a request, 0 being the most urgent.
func RankOf(pipeline *Pipeline, organisation Organisation) int {
	if organisation.HasRank {
		return organisation.Rank
	}
	return pipeline.Rank
}

// LastStages returns the stages that no other stage follows; the request itself reads their results.
func (pl *Pipeline) LastStages() []int {
	read := map[int]bool{}
	for _, stage := range pl.Stages {
		for _, before := range stage.DependsOn {
			read[before] = true
		}
	}
	last := []int{}
	for at := range pl.Stages {
		if !read[at] {
			last = append(last, at)
		}
	}
	return last
}
