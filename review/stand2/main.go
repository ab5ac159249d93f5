// Command review2 plays one case of the review against processes of the project, with sound stand-ins for the store, the
// engines and the clients on loopback addresses. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(trouble bool) bool{}

// world holds what has to be ended, and the record.
var world struct {
	mu        sync.Mutex
	record    *os.File
	began     time.Time
	processes []*exec.Cmd
	folder    string
}

// maxRun bounds a case.
const maxRun = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(2)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	world.record, world.began = record, time.Now()
	if world.folder, err = os.MkdirTemp("", "review2-"); err != nil {
		cannotRun("temporary folder: %v", err)
	}
	time.AfterFunc(maxRun, func() { cannotRun("the case took longer than %v", maxRun) })
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %t", os.Args[1], trouble)
	broken := cases[os.Args[1]](trouble)
	end(map[bool]int{true: 1, false: 0}[broken])
}

// note writes a line to the record.
func note(format string, args ...any) {
	world.mu.Lock()
	defer world.mu.Unlock()
	fmt.Fprintf(world.record, "%8.3f s  %s\n", time.Since(world.began).Seconds(), fmt.Sprintf(format, args...))
}

func cannotRun(format string, args ...any) {
	note("the case can't run: "+format, args...)
	end(2)
}

// end kills all processes that were started and exits.
func end(code int) {
	world.mu.Lock()
	for _, each := range world.processes {
		_ = each.Process.Kill()
	}
	world.mu.Unlock()
	note("exit %d: %s", code, map[int]string{0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
	_ = os.RemoveAll(world.folder)
	os.Exit(code)
}

// sortRows orders rows by key or, for changes, by version.
func sortRows(list []row, byVersion bool) {
	slices.SortFunc(list, func(left, right row) int {
		if byVersion {
			return cmp.Compare(left.Version, right.Version)
		}
		return cmp.Compare(left.Key, right.Key)
	})
}
