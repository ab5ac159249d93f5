package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/charmbracelet/log"

	"github.com/turmericdoor/turmericdoor/configuration"
	"github.com/turmericdoor/turmericdoor/digest"
	"github.com/turmericdoor/turmericdoor/document"
	"github.com/turmericdoor/turmericdoor/instance"
	"github.com/turmericdoor/turmericdoor/signals"
)

// serve runs an entry instance until a signal asks it to stop, then shuts it down gracefully. A second signal is ignored, so that
// the requests in flight are still answered.
func (cl *CLI) serve() error {
	received := signals.New()
	defer received.Close()
	loaded, err := configuration.Load(cl.options.settings)
	if err != nil {
		return badInput(err)
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	level, err := log.ParseLevel(loaded.GetLog().GetLevel())
	if err != nil {
		return err
	}
	logger.SetLevel(level)
	logger = logger.With("instance", loaded.GetInstance().GetId())
	running, stop := context.WithCancel(context.Background())
	following, stopFollowing := context.WithCancel(context.Background())
	followed := make(chan struct{})
	go followSignals(following, received, stop, logger, followed)
	defer func() { stopFollowing(); <-followed }()
	return instance.New(loaded, logger).Run(running)
}

// followSignals calls stop at each signal that asks for the end and logs those that ask for the settings, until ctx ends; then it
// closes done.
func followSignals(ctx context.Context, received *signals.Receiver, stop func(), logger *log.Logger, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case each := <-received.Stop:
			logger.Info("signal received", "signal", each)
			stop()
		case each := <-received.Reload:
			logger.Info("signal ignored: settings are read at the start, certificates when their files change", "signal", each)
		}
	}
}

// badInput wraps the error of a missing or invalid file with its exit code.
func badInput(err error) error {
	return ExitError{Code: ExitBadInput, Err: err}
}

func (cl *CLI) checkSettings() error {
	if _, err := configuration.Load(cl.options.settings); err != nil {
		return badInput(err)
	}
	fmt.Fprintf(cl.out, "%s: the settings are valid\n", cl.options.settings)
	return nil
}

// checkDocument validates the team files of a folder as one document.
func (cl *CLI) checkDocument() error {
	text, err := readDocument(cl.options.directory)
	if err != nil {
		return badInput(err)
	}
	parsed, faults := document.Parse(text)
	if len(faults) > 0 {
		return configuration.FaultsError{Faults: faults}
	}
	fmt.Fprintf(cl.out, "%d teams, %d ranks, %d organisations, %d pools, %d upstreams, %d pipelines: the document is valid\n",
		len(text.Teams), len(parsed.Ranks), len(parsed.Organisations), len(parsed.Pools), len(parsed.Upstreams), len(parsed.Pipelines))
	return nil
}

// readDocument reads a document from a folder with one file NAME.ini for each team.
func readDocument(directory string) (document.Text, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.ini"))
	if err != nil {
		return document.Text{}, err
	}
	if len(paths) == 0 {
		return document.Text{}, fmt.Errorf("no file NAME.ini in folder %q", directory)
	}
	sort.Strings(paths)
	text := document.Text{Revision: 1}
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return document.Text{}, err
		}
		team := strings.TrimSuffix(filepath.Base(path), ".ini")
		text = text.With(document.TeamText{Team: team, Revision: 1, Text: string(content)})
	}
	return text, nil
}

func (cl *CLI) digest() error {
	if cl.options.key == "" {
		return exitErrorf(ExitBadInput, "--key is required")
	}
	fmt.Fprintln(cl.out, digest.OfKey(cl.options.key))
	return nil
}

func (cl *CLI) version() error {
	fmt.Fprintln(cl.out, "turmericdoor "+Version)
	return nil
}
