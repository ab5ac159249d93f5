package soak_test

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back, awayTime how long it is away, writeAgainTime how long
	// the operator and the upstreams take to write again.
	copyAge        = 1500 * time.Millisecond
	awayTime       = 300 * time.Millisecond
	writeAgainTime = 500 * time.Millisecond
	// appliedWithin is how long after its acknowledgement a configuration must be in force at instances without a recent fault: two seconds,
	// and longer than other faults of the store's connections last.
	appliedWithin = 4 * time.Second
)

// storeComesBackOlder makes the store go away for a moment in a run and come back from an older copy, after some time. A configuration that is
// written after that must be in force in time.
func (fl *fleet) storeComesBackOlder(ctx context.Context) {
	time.Sleep(time.Second)
	taken := fl.store.Copy()
	for range 3 {
		fl.putConfiguration()
		time.Sleep(copyAge / 3)
	}
	fl.store.SetDown(true)
	time.Sleep(awayTime)
	fl.store.Restore(taken)
	fl.store.SetDown(false)
	time.Sleep(writeAgainTime)
	for _, up := range fl.upstreams {
		up.register()
	}
	fl.writeEvacuationsAgain()
	fl.putConfiguration()
	fl.mu.Lock()
	version := fl.version
	fl.mu.Unlock()
	time.Sleep(appliedWithin)
	if ctx.Err() != nil {
		return
	}
	for at := range instances {
		if revision := fl.revisionOf(at); revision >= 0 && fl.isUndisturbed(at) && revision < float64(version) {
			fl.ledger.violation("instance %d has configuration %v %v after the store came back older, want %d", at, revision, appliedWithin, version)
		}
	}
}

// revisionOf returns the configuration that an instance has, or -1.
func (fl *fleet) revisionOf(at int) float64 {
	return fl.gauge(at, "configuration_revision")
}

// gauge returns the value of a metric of an instance, or -1.
func (fl *fleet) gauge(at int, name string) float64 {
	response, err := http.Get("http://" + fl.metrics[at] + "/metrics")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		text, is := strings.CutPrefix(lines.Text(), "turmericdoor_"+name+" ")
		if !is {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			return value
		}
	}
	return -1
}
