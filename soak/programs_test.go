package soak_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// program is a program of the project whose only file is written by a test.
type program struct {
	name string
	// content is the content of the file, arguments are what comes before its path on the command line.
	content   string
	arguments []string
	// isDaemon programs aren't ended by SIGHUP.
	isDaemon bool
}

// programs returns the programs that have signals to receive.
func programs(t *testing.T) []program {
	t.Helper()
	free := freeAddresses(t, 8)
	front := fmt.Sprintf(`{"node_name":"i0","zone":"z0","ip":"127.0.0.1","listen":{"front":%q,"ready":%q,"control":%q},"inner_ports":[%s,65535],
"limits":{"memory_mb":200,"max_fds":4100},"bounds":{"grace_s":4,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_extra":50},
"platform":{"address":%q}}`, free[0], free[1], free[2], innerPort(t, free[3]), free[4])
	serve := fmt.Sprintf("[Instance]\nId = entry-1\nFailureDomain = a\nCallerAddress = %s\nOperatorAddress = %s\nPeerAddress = %s\nNoticeMs = 300\n[Platform]\nTableAddress = %s\n[Operators]\nKeyDigest = %064d\n",
		free[0], free[1], free[2], free[4], 0)
	load := fmt.Sprintf("[Load]\nDurationMs = 600000\nTargets = %s\n[Stream one]\nPipeline = p\nOrganisation = o\nKey = k\nRank = Urgent\nRatePerMinute = 1\n", free[5])
	standin := fmt.Sprintf("[Standin encoder]\nKind = Encoder\nAddress = %s\nSlots = 1\n", free[6])
	return []program{
		{name: "turmericdoor", content: front, arguments: []string{"front", "--settings"}, isDaemon: true},
		{name: "turmericdoor", content: serve, arguments: []string{"serve", "--settings"}, isDaemon: true},
		{name: "load", content: load},
		{name: "standin", content: standin},
	}
}

// innerPort returns the port before that of an address.
func innerPort(t *testing.T, address string) string {
	t.Helper()
	parsed, err := net.ResolveTCPAddr("tcp", address)
	must.NoError(t, err)
	return fmt.Sprint(parsed.Port - 1)
}

// start starts a program with the file at a path.
func (pr program) start(t *testing.T, folder, path string) *exec.Cmd {
	t.Helper()
	command := exec.Command(filepath.Join(folder, pr.name), append(pr.arguments, path)...)
	must.NoError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	return command
}

// TestProgramEndsAtOnceBySignal guards against programs that are ended by a signal during their start or by SIGHUP, and against ones that
// lose a signal or don't act on it.
func TestProgramEndsAtOnceBySignal(t *testing.T) {
	folder := t.TempDir()
	out, err := exec.Command("go", "build", "-o", folder, "../cmd/...").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	for _, pr := range programs(t) {
		name := strings.Join(append([]string{pr.name}, pr.arguments[:min(len(pr.arguments), 1)]...), " ")
		t.Run(name+", during the start", func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "file")
			file := newPipedFile(t, path)
			command := pr.start(t, folder, path)
			writer := file.awaitReader()
			signalAll(t, command, syscall.SIGHUP, syscall.SIGTERM)
			time.Sleep(100 * time.Millisecond)
			_, err := writer.WriteString(pr.content)
			must.NoError(t, err)
			must.NoError(t, writer.Close())
			assertEnds(t, command, stopGrace+endSlack)
		})
		t.Run(name+", several at once", func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "file")
			must.NoError(t, os.WriteFile(path, []byte(pr.content), 0o600))
			command := pr.start(t, folder, path)
			time.Sleep(time.Second)
			if pr.isDaemon {
				signalAll(t, command, syscall.SIGHUP, syscall.SIGHUP)
				time.Sleep(300 * time.Millisecond)
				must.NoError(t, command.Process.Signal(syscall.Signal(0)), must.Sprint("SIGHUP has ended it"))
			}
			signalAll(t, command, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM)
			assertEnds(t, command, stopGrace+endSlack)
		})
	}
}
