package soak_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/platform/standin"
)

// calmFleet is a fleet without random faults, whose store and upstreams a test brings along.
type calmFleet struct {
	*fleet
	// stores are the proxies before the store, by instance.
	stores []*proxy
}

// buildProgram builds the program of the working tree.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "turmericdoor")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/turmericdoor").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return binary
}

// newCalmFleet starts instances of the programs, one each, before upstreams at addresses by their ids.
func newCalmFleet(t *testing.T, programs []string, upstreams map[string]string) *calmFleet {
	t.Helper()
	return newLimitedFleet(t, programs, upstreams, defaultResources, configuredLimits)
}

// newLimitedFleet is newCalmFleet with other limits in the settings and in the configuration.
func newLimitedFleet(t *testing.T, programs []string, upstreams map[string]string, resources resourceLimits, configured string) *calmFleet {
	t.Helper()
	cf := &calmFleet{fleet: &fleet{t: t, folder: t.TempDir(), store: standin.New(), resources: resources, configured: configured}}
	server := httptest.NewServer(cf.store)
	t.Cleanup(server.Close)
	for id, address := range upstreams {
		cf.store.Put("servers", id, registration(id, address, 0, time.Now().UnixMilli()))
	}
	cf.putConfiguration()
	free := freeAddresses(t, 4*len(programs))
	control := free[3*len(programs):]
	for at, program := range programs {
		px := newProxy(t, strings.TrimPrefix(server.URL, "http://"))
		cf.stores = append(cf.stores, px)
		ports := free[3*at : 3*at+3]
		cf.addresses = append(cf.addresses, ports[0])
		cf.writeSettings(at, ports, control, px.address())
		cf.processes = append(cf.processes, nil)
		cf.run(at, program)
	}
	t.Cleanup(cf.killAll)
	for at := range programs {
		cf.awaitServing(at)
	}
	return cf
}

// run starts an instance with a program.
func (cf *calmFleet) run(at int, program string) {
	cf.mu.Lock()
	cf.binary = program
	cf.mu.Unlock()
	cf.start(at)
}

// replace stops an instance as planned and starts it again with a program.
func (cf *calmFleet) replace(at int, program string) {
	command := cf.process(at)
	must.NoError(cf.t, command.Process.Signal(syscall.SIGTERM))
	_ = command.Wait()
	cf.run(at, program)
	cf.awaitServing(at)
}

// serveTimeout is how long an instance has to start.
const serveTimeout = 10 * time.Second

// awaitServing waits until an instance has a configuration.
func (cf *calmFleet) awaitServing(at int) {
	cf.t.Helper()
	cf.eventually("an instance serves", serveTimeout, func() bool {
		status, err := cf.get(at, "/none/")
		return err == nil && status == http.StatusNotFound
	})
}

// eventually waits until a condition holds.
func (cf *calmFleet) eventually(what string, within time.Duration, holds func() bool) {
	cf.t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(20 * time.Millisecond) {
		must.True(cf.t, time.Now().Before(end), must.Sprintf("%s: not within %v", what, within))
	}
}

// get sends a request to an instance and returns the status.
func (cf *calmFleet) get(at int, path string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cf.addresses[at]+path, nil)
	if err != nil {
		return 0, err
	}
	request.Host, request.Close = "h", true
	for name, value := range map[string]string{
		"Turmericdoor-Attempt-Id": fmt.Sprint("g", time.Now().UnixNano()), "Turmericdoor-Deadline-Ms": "3000", "Authorization": "Token k",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, errors.Join(response.Body.Close())
}
