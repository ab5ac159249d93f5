package command

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
)

// maxLogLine bounds a line of a log file, in bytes.
const maxLogLine = 1 << 20

// explain prints the lines of a request from a log file in the order of their time.
func (tb *CLI) explain() error {
	if tb.options.request == "" {
		return exitErrorf(ExitBadInput, "--request is missing")
	}
	file, err := os.Open(tb.options.file)
	if err != nil {
		return badInput(err)
	}
	defer file.Close()
	lines := []string{}
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if hasField(scanner.Text(), "request="+tb.options.request) {
			lines = append(lines, scanner.Text())
		}
	}
	if err := scanner.Err(); err != nil {
		return badInput(err)
	}
	if len(lines) == 0 {
		return exitErrorf(ExitFailed, "no line of request %s in %s", tb.options.request, tb.options.file)
	}
	sort.SliceStable(lines, func(left, right int) bool { return timestampOf(lines[left]) < timestampOf(lines[right]) })
	for _, line := range lines {
		fmt.Fprintln(tb.out, line)
	}
	return nil
}

func hasField(line, field string) bool {
	for word := range strings.FieldsSeq(line) {
		if word == field {
			return true
		}
	}
	return false
}

// timestampOf returns the time of a line, whose text sorts as the time does.
func timestampOf(line string) string {
	_, after, _ := strings.Cut(line, "time=")
	stamp, _, _ := strings.Cut(after, " ")
	return stamp
}
