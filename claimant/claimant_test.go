package claimant_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericdoor/turmericdoor/claimant"
	"github.com/turmericdoor/turmericdoor/entropy"
	"github.com/turmericdoor/turmericdoor/table"
	"github.com/turmericdoor/turmericdoor/timer"
)

// slowStore is a table service whose commits take two milliseconds, as over a network.
type slowStore struct {
	commits atomic.Int64
}

func (ss *slowStore) Read(context.Context, ...string) table.Outcome { return table.Rows{} }

func (ss *slowStore) List(context.Context, string) table.Outcome { return table.Rows{} }

func (ss *slowStore) Commit(context.Context, table.Transaction) table.Outcome {
	ss.commits.Add(1)
	time.Sleep(2 * time.Millisecond)
	return table.Committed{}
}

// BenchmarkClaim makes claims from several concurrent callers and reports the rates of claims and of table writes.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 8, 32, 128} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			store := &slowStore{}
			ct := claimant.New(ctx, store, timer.New(), entropy.New(1), "i", time.Second)
			go ct.Run(ctx, done)
			number, group := atomic.Int64{}, sync.WaitGroup{}
			took := make([][]time.Duration, callers)
			began := time.Now()
			for caller := range callers {
				group.Go(func() {
					for at := number.Add(1); at <= int64(b.N); at = number.Add(1) {
						start := time.Now()
						ct.Claim(ctx, "o", fmt.Sprint(at), "body", fmt.Sprint(at))
						took[caller] = append(took[caller], time.Since(start))
					}
				})
			}
			group.Wait()
			seconds := time.Since(began).Seconds()
			cancel()
			<-done
			all := slices.Concat(took...)
			slices.Sort(all)
			b.ReportMetric(float64(b.N)/seconds, "claims/s")
			b.ReportMetric(float64(store.commits.Load())/seconds, "writes/s")
			b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
		})
	}
}
