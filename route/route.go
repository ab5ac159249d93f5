package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table is one revision of the configuration; it is immutable once returned by New.
type Table struct {
	Revision  int64
	Pipelines []Pipeline
	Pools     map[string]Pool
	// Organisations holds the organisations by API key.
	Organisations map[string]Organisation
	// RequiresKey is set if callers need an API key, which holds also while no organisation has one.
	RequiresKey bool
	Limits      Limits

	byHost map[string][]*Pipeline
}

// Limits bounds the size of callers' requests and the idle time of their connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is the owner of an API key. If HasRank is set, its rank overrides the pipeline's.
type Organisation struct {
	Name    string
	Rank    int
	HasRank bool
}

// RetryPolicy says whether a request may be executed more than once.
type RetryPolicy int

// The retry policies.
const (
	// AtMostOnce requests must not be executed more than once.
	AtMostOnce RetryPolicy = iota
	// Idempotent requests may be executed any number of times.
	Idempotent
	// Resumable streams may be continued by another execution after their last event.
	Resumable
)

// Pipeline is a route with its stages. Timeout is 0 if only the caller's deadline applies. TargetLatency is the target
// for the first byte of a response, TargetEventGap the target for the time between events of a stream. A public pipeline
// needs no API key.
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
	// AbandonAfter is the time without an event after which callers abandon a stream, or 0 if they wait until the deadline.
	AbandonAfter time.Duration
	MaxUpstreams int
	Pools        []WeightedPool
	Stages       []Stage
}

// WeightedPool is a pool with its share of a pipeline's requests.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Stage is work done before the request is sent; DependsOn lists the indexes of the stages whose results it reads.
type Stage struct {
	Pool      string
	DependsOn []int
	// ResultBytes is the size of one item's result.
	ResultBytes int64
}

// Pool is a set of interchangeable upstreams. Engine is set for model engines, Batching for upstreams of stages.
type Pool struct {
	Name string
	// MaxConnections is the total number of connections that an upstream accepts from all instances, or 0 if unknown.
	MaxConnections int
	Engine         *Engine
	Batching       *Batching
	// ColdPerSecond is the rate in requests per second that an upstream accepts from all instances while it is cold, or 0 for no
	// limit. ColdTime is how long an upstream is cold that has started during traffic.
	ColdPerSecond float64
	ColdTime      time.Duration
}

// Engine describes the model engines of a pool.
type Engine struct {
	Slots            int
	KVCapacityTokens int64
}

// Batching describes the upstreams of a pool that executes items in batches: a call takes CallTime plus ItemTime for
// each item. An upstream stores results of up to ResultCapacity bytes for ResultTTL.
type Batching struct {
	Slots          int
	QueueCapacity  int
	MaxBatch       int
	CallTime       time.Duration
	ItemTime       time.Duration
	ResultCapacity int64
	ResultTTL      time.Duration
}

// New indexes a table and returns it; the caller must not modify its contents afterwards.
func New(tb Table) *Table {
	tb.byHost = map[string][]*Pipeline{}
	tb.RequiresKey = tb.RequiresKey || len(tb.Organisations) > 0
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

// Match returns the host's pipeline with the longest prefix of the path, or nil.
func (tb *Table) Match(host, path string) *Pipeline {
	for _, pipeline := range tb.byHost[host] {
		if strings.HasPrefix(path, pipeline.Prefix) {
			return pipeline
		}
	}
	return nil
}

// Authorise returns the organisation that an API key belongs to, and whether a request with that key, or with none if it is empty, may use
// a pipeline. A key that is unknown is refused even where none is required, unless the pipeline is public.
func (tb *Table) Authorise(pipeline *Pipeline, apiKey string) (Organisation, bool) {
	if apiKey == "" {
		return Organisation{}, pipeline.Public || !tb.RequiresKey
	}
	organisation, known := tb.Organisations[apiKey]
	return organisation, known || pipeline.Public
}

// SelectPool returns the pool for a request. Traffic is split by weight; the same request id always gets the same pool.
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

// RankOf returns the rank of a request; 0 is the most urgent.
func RankOf(pipeline *Pipeline, organisation Organisation) int {
	if organisation.HasRank {
		return organisation.Rank
	}
	return pipeline.Rank
}

// LastStages returns the stages on which no other stage depends; the request itself reads their results.
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
