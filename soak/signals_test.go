package soak_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// frozenFor is longer than the interval in which an instance looks for a changed settings file, so that this is due when it wakes.
	frozenFor = 2500 * time.Millisecond
	// endSlack is how long after its grace period a process may take to end.
	endSlack = time.Second
	// pollSlack is the time within which an instance notices a changed settings file.
	pollSlack = 5 * time.Second
)

// pipedFile is a file whose readers wait until it is filled.
type pipedFile struct {
	t    *testing.T
	path string
}

// newPipedFile puts a named pipe in the place of the file at a path.
func newPipedFile(t *testing.T, path string) pipedFile {
	t.Helper()
	must.NoError(t, syscall.Mkfifo(path+".pipe", 0o600))
	must.NoError(t, os.Rename(path+".pipe", path))
	return pipedFile{t: t, path: path}
}

// awaitReader waits until a process reads the file and returns the end to write to.
func (pf pipedFile) awaitReader() *os.File {
	pf.t.Helper()
	for end := time.Now().Add(pollSlack); ; time.Sleep(10 * time.Millisecond) {
		writer, err := os.OpenFile(pf.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return writer
		}
		must.True(pf.t, time.Now().Before(end), must.Sprint("no process reads the file"))
	}
}

// signalAll sends signals to a process, one right after the other.
func signalAll(t *testing.T, command *exec.Cmd, list ...syscall.Signal) {
	t.Helper()
	for _, each := range list {
		must.NoError(t, command.Process.Signal(each))
	}
}

// assertEnds checks that a process ends by itself, without an error, within a time.
func assertEnds(t *testing.T, command *exec.Cmd, within time.Duration) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	select {
	case err := <-ended:
		must.NoError(t, err, must.Sprint("the process did not end gracefully"))
	case <-time.After(within):
		t.Error("the process has lost the signal to stop")
		_ = command.Process.Kill()
		<-ended
	}
}

// TestInstanceLosesItsStop guards against an instance that gets SIGTERM beside other signals, loses it, serves on and is killed with
// requests in flight (LOST).
func TestInstanceLosesItsStop(t *testing.T) {
	binary := buildProgram(t)
	within := stopGrace + endSlack
	t.Run("while the settings are read again", func(t *testing.T) {
		t.Parallel()
		cf := newCalmFleet(t, []string{binary}, nil)
		file := newPipedFile(t, cf.settings[0])
		writer := file.awaitReader()
		signalAll(t, cf.process(0), syscall.SIGHUP, syscall.SIGTERM)
		time.Sleep(100 * time.Millisecond)
		must.NoError(t, writer.Close())
		assertEnds(t, cf.process(0), within)
	})
	t.Run("while settings are read that never end", func(t *testing.T) {
		t.Parallel()
		cf := newCalmFleet(t, []string{binary}, nil)
		defer newPipedFile(t, cf.settings[0]).awaitReader().Close()
		signalAll(t, cf.process(0), syscall.SIGTERM)
		assertEnds(t, cf.process(0), within)
	})
	t.Run("while frozen", func(t *testing.T) {
		t.Parallel()
		stopFrozenInstances(t, binary)
	})
	t.Run("several at once", func(t *testing.T) {
		t.Parallel()
		cf := newCalmFleet(t, []string{binary}, nil)
		signalAll(t, cf.process(0), syscall.SIGHUP, syscall.SIGHUP, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
		assertEnds(t, cf.process(0), within)
	})
	t.Run("during a shutdown, which goes on", func(t *testing.T) {
		t.Parallel()
		signalStoppingInstance(t, binary)
	})
}

// stopFrozenInstances changes the settings of frozen instances and sends them SIGHUP and SIGTERM; each must end in its grace period.
func stopFrozenInstances(t *testing.T, binary string) {
	t.Helper()
	programs := slices.Repeat([]string{binary}, 8)
	cf := newCalmFleet(t, programs, nil)
	for at := range programs {
		signalAll(t, cf.process(at), syscall.SIGSTOP)
	}
	time.Sleep(frozenFor)
	for at := range programs {
		cf.changeSettings(at)
		signalAll(t, cf.process(at), syscall.SIGHUP, syscall.SIGTERM, syscall.SIGCONT)
	}
	woke := time.Now()
	for at := range programs {
		assertEnds(t, cf.process(at), time.Until(woke.Add(stopGrace+endSlack)))
	}
}

// signalStoppingInstance sends signals to an instance that is stopping; it must go on to answer requests, and end in its grace period.
func signalStoppingInstance(t *testing.T, binary string) {
	t.Helper()
	su := &slowUpstream{arrived: map[string]bool{}}
	server := httptest.NewServer(su)
	t.Cleanup(server.Close)
	cf := newCalmFleet(t, []string{binary}, map[string]string{"plain-0": strings.TrimPrefix(server.URL, "http://")})
	signalAll(t, cf.process(0), syscall.SIGTERM)
	connection, err := net.Dial("tcp", cf.addresses[0])
	must.NoError(t, err)
	defer connection.Close()
	stopped := time.Now()
	go func() {
		for range 10 {
			_ = cf.process(0).Process.Signal(syscall.SIGHUP)
			_ = cf.process(0).Process.Signal(syscall.SIGTERM)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	late := sendLate(connection, "during-the-stop", "/post/1", stopped, 0)
	must.Eq(t, http.StatusOK, late.status, must.Sprintf("%+v", late))
	must.True(t, late.whole)
	assertEnds(t, cf.process(0), stopGrace+endSlack)
}
