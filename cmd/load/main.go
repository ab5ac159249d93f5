// Command load sends the requests that an INI file describes and reports their latencies and outcomes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/turmericdoor/turmericdoor/load"
)

func main() {
	// The requests so far are reported at the first signal, also at that of a terminal that is closed; further ones are ignored.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer cancel()
	path, csv, image := "", "", ""
	parser := flaggy.NewParser("load")
	parser.Description = "sends requests at the configured rates, independent of the answers, and reports deadline attainment by rank and organisation"
	parser.AddPositionalValue(&path, "FILE", 1, true, "Load file in INI form")
	parser.String(&csv, "c", "csv", "Also write the table to this CSV file")
	parser.String(&image, "p", "plot", "Also plot the answers in time per second to this PNG file")
	if err := parser.Parse(); err != nil {
		os.Exit(2)
	}
	run, err := load.New(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	run.Do(ctx, os.Stderr)
	run.Print(os.Stdout)
	if err := write(run, csv, image); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(run *load.Run, csv, image string) error {
	if csv != "" {
		if err := run.WriteCSV(csv); err != nil {
			return err
		}
	}
	if image != "" {
		return run.WritePlot(image)
	}
	return nil
}
