package command

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
)

// maxLogLine is the longest line of a log file that can be read, in bytes.
const maxLogLine = 1 << 20

// explain prints the log lines of a request from a file, sorted by time.
func (cl *CLI) explain() error {
	if cl.options.request == "" {
		return exitErrorf(ExitBadInput, "--request is required")
	}
	file, err := os.Open(cl.options.file)
	if err != nil {
		return badInput(err)
	}
	defer file.Close()
	lines := []string{}
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if hasField(scanner.Text(), "request="+cl.options.request) {
			lines = append(lines, scanner.Text())
		}
	}
	if err := scanner.Err(); err != nil {
		return badInput(err)
	}
	if len(lines) == 0 {
		return exitErrorf(ExitFailed, "no log line of request %q in file %q", cl.options.request, cl.options.file)
	}
	sort.SliceStable(lines, func(left, right int) bool { return timestampOf(lines[left]) < timestampOf(lines[right]) })
	for _, line := range lines {
		fmt.Fprintln(cl.out, line)
	}
	return nil
}

// hasField reports whether a log line has the given key=value pair.
func hasField(line, field string) bool {
	for word := range strings.FieldsSeq(line) {
		if word == field {
			return true
		}
	}
	return false
}

// timestampOf returns the timestamp of a log line; timestamps sort as text in the order of time.
func timestampOf(line string) string {
	_, after, _ := strings.Cut(line, "time=")
	timestamp, _, _ := strings.Cut(after, " ")
	return timestamp
}
