// Command experiment runs every scenario of a folder on the documents of both users and writes a report, or runs
// the scale experiment.
package main

import (
	"fmt"
	"os"
	"strconv"

	"github.com/turmericdoor/turmericdoor/experiment"
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == "scale" {
		experiment.WriteScaleTable(os.Stdout)
		return
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: experiment SCENARIOS-FOLDER SEEDS REPORT.md, or experiment scale")
		os.Exit(2)
	}
	seeds, err := strconv.Atoi(os.Args[2])
	if err != nil || seeds < 1 {
		fmt.Fprintf(os.Stderr, "SEEDS is %q; it must be a whole number of at least 1\n", os.Args[2])
		os.Exit(2)
	}
	if err := experiment.WriteReport(os.Args[1], "examples", seeds, os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
