package soak_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// noKeys are organisations without keys.
const noKeys = `"tenants":[{"name":"guild","api_keys":[]}],`

// TestRequestsRunOnceNoKeyIsLeft guards against instances that run requests with dropped keys once no organisation has a key any more: with
// the configuration from the store, from another instance, and after a restart (ROUTE).
func TestRequestsRunOnceNoKeyIsLeft(t *testing.T) {
	program := buildProgram(t)
	su := &slowUpstream{arrived: map[string]bool{}}
	server := httptest.NewServer(su)
	t.Cleanup(server.Close)
	cf := newCalmFleet(t, []string{program, program}, map[string]string{"plain-0": strings.TrimPrefix(server.URL, "http://")})
	status := func(at int) int {
		got, err := cf.get(at, "/post/1")
		must.NoError(t, err)
		return got
	}
	must.Eq(t, http.StatusOK, status(0))
	must.Eq(t, http.StatusOK, status(1))
	// From now on the second instance gets its configuration from the first one only.
	cf.stores[1].refuse.Store(true)
	cf.stores[1].reset()
	cf.mu.Lock()
	cf.tenants = noKeys
	cf.mu.Unlock()
	cf.putConfiguration()
	refuses := func(what string, at int) {
		t.Helper()
		cf.eventually(what, newsBound, func() bool { return status(at) == http.StatusUnauthorized })
		su.mu.Lock()
		before := len(su.arrived)
		su.mu.Unlock()
		for range 20 {
			must.Eq(t, http.StatusUnauthorized, status(at), must.Sprint(what))
		}
		su.mu.Lock()
		defer su.mu.Unlock()
		must.Eq(t, before, len(su.arrived), must.Sprintf("%s: requests with a dropped key ran", what))
	}
	refuses("from the store", 0)
	refuses("from another instance", 1)
	for at := range 2 {
		must.NoError(t, cf.process(at).Process.Signal(syscall.SIGKILL))
		_ = cf.process(at).Wait()
		cf.run(at, program)
		cf.awaitServing(at)
		refuses("after a restart", at)
	}
}
