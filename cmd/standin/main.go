// Command standin runs the emulated upstreams and platform that an INI file describes, for tests and the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/turmericdoor/turmericdoor/emulator"
	"github.com/turmericdoor/turmericdoor/inifile"
	"github.com/turmericdoor/turmericdoor/schema/plan"
)

func main() {
	// A signal that comes during the start stops the stand-ins once they have started.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer cancel()
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: standin FILE.ini, with one section [Standin NAME] for each stand-in")
		os.Exit(2)
	}
	list, err := load(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, standin := range list {
		if err := standin.Start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	<-ctx.Done()
	for _, standin := range list {
		standin.Stop()
	}
}

// load creates the stand-ins that a file describes.
func load(path string) ([]*emulator.Standin, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	sections, faults := inifile.Parse(path, string(text))
	list := []*emulator.Standin{}
	for _, sc := range sections {
		config := &plan.Standin{}
		faults = append(faults, sc.Bind(path, config)...)
		list = append(list, emulator.New(sc.Name, config))
	}
	if len(faults) > 0 {
		return nil, fmt.Errorf("%s, and %d more faults in %q", faults[0], len(faults)-1, path)
	}
	return list, nil
}
