package soak_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// productionCommit is the version that runs while it is replaced by that of the working tree.
	productionCommit = "a918b5a"
	// upgradeFleet is the number of instances, half of them of each version.
	upgradeFleet = 8
	// inForceWithin is how long after its acknowledgement a configuration must be in force.
	inForceWithin = 2 * time.Second
)

// buildProduction builds the program of productionCommit from the repository's history.
func buildProduction(t *testing.T) string {
	t.Helper()
	source, binary := t.TempDir(), filepath.Join(t.TempDir(), "turmericdoor")
	script := fmt.Sprintf("git -C .. archive %s | tar -x -C %q && cd %q && go build -o %q ./cmd/turmericdoor", productionCommit, source, source, binary)
	out, err := exec.Command("bash", "-o", "pipefail", "-c", script).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return binary
}

// assertApplied writes a configuration and checks that it is in force in time at the instances.
func (cf *calmFleet) assertApplied(what string, at ...int) {
	cf.t.Helper()
	cf.putConfiguration()
	cf.mu.Lock()
	version := float64(cf.version)
	cf.mu.Unlock()
	cf.eventually(what, inForceWithin, func() bool {
		for _, each := range at {
			if cf.revisionOf(each) < version {
				return false
			}
		}
		return true
	})
}

// cutFromStore cuts instances off from the store, silently, or connects them again.
func (cf *calmFleet) cutFromStore(isCut bool, at ...int) {
	for _, each := range at {
		cf.stores[each].dropRequests.Store(isCut)
		cf.stores[each].dropResponses.Store(isCut)
		if !isCut {
			// What was sent meanwhile is lost.
			cf.stores[each].reset()
		}
	}
}

// TestUpgradeOneAfterTheOther guards against instances of the version before that no longer understand those of this one, or the other
// way round, while they are replaced one after the other.
func TestUpgradeOneAfterTheOther(t *testing.T) {
	before, after := buildProduction(t), buildProgram(t)
	arrived := atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		arrived.Add(1)
		writer.Header().Set("Turmericdoor-Attempt-Id", request.Header.Get("Turmericdoor-Attempt-Id"))
		writer.Header().Set("Turmericdoor-Response-Seal", "s")
	}))
	t.Cleanup(server.Close)
	programs, all, olds, news := []string{}, []int{}, []int{}, []int{}
	for at := range upgradeFleet {
		all = append(all, at)
		if at%2 == 0 {
			olds, programs = append(olds, at), append(programs, before)
			continue
		}
		news, programs = append(news, at), append(programs, after)
	}
	cf := newCalmFleet(t, programs, map[string]string{"plain-0": strings.TrimPrefix(server.URL, "http://")})
	cf.eventually("all instances know each other", serveTimeout, func() bool {
		for _, at := range all {
			if cf.gauge(at, "members_live") != upgradeFleet {
				return false
			}
		}
		return true
	})
	cf.assertApplied("in calm", all...)
	cf.cutFromStore(true, olds...)
	cf.assertApplied("instances of the version before get a configuration from those of this one", all...)
	cf.cutFromStore(false, olds...)
	cf.cutFromStore(true, news...)
	cf.assertApplied("instances of this version get a configuration from those of the one before", all...)
	cf.cutFromStore(false, news...)
	cf.assertApplied("connected again", all...)

	ctx, cancel := context.WithCancel(context.Background())
	failed, callers := atomic.Int64{}, sync.WaitGroup{}
	for _, at := range news {
		callers.Go(func() {
			for ctx.Err() == nil {
				if status, err := cf.get(at, "/look/1"); err != nil || status != http.StatusOK {
					failed.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for _, at := range olds {
		cf.replace(at, after)
		cf.assertApplied(fmt.Sprintf("instance %d has been replaced", at), all...)
	}
	cancel()
	callers.Wait()
	cf.replace(0, before)
	cf.assertApplied("an instance of the version before has come back", all...)
	must.Positive(t, arrived.Load())
	must.Eq(t, int64(0), failed.Load(), must.Sprint("requests failed at instances that were not replaced"))
}
