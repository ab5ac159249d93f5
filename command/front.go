package command

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/charmbracelet/log"

	"github.com/turmericdoor/turmericdoor/entrypoint"
	"github.com/turmericdoor/turmericdoor/memorybudget"
	"github.com/turmericdoor/turmericdoor/platform"
	"github.com/turmericdoor/turmericdoor/signals"
)

// serveOnPlatform runs an entry instance on the users' platform until it is asked to stop. A second signal is
// ignored.
func (cl *CLI) serveOnPlatform() error {
	received := signals.New()
	defer received.Close()
	adapter := platform.NewAdapter(cl.options.platformSettings)
	settings, err := adapter.LoadSettings()
	if err != nil {
		return badInput(err)
	}
	if port := cl.options.metricsPort; port > 0 {
		host, _, _ := net.SplitHostPort(settings.MetricsAddress)
		settings.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(port))
	}
	settings.Callers = cl.callerLimits(settings.Callers)
	logger := log.NewWithOptions(os.Stdout, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	}).With("instance", settings.Instance)
	return entrypoint.New(adapter, settings, logger).Run(received)
}

// callerLimits returns the limits of the settings file, overridden by flags.
func (cl *CLI) callerLimits(limits memorybudget.Limits) memorybudget.Limits {
	if count := cl.options.maxConnections; count > 0 {
		limits.Connections = count
	}
	if size := cl.options.bodyMemoryMB; size > 0 {
		limits = limits.WithBodies(int64(size) << 20)
	}
	return limits
}

func (cl *CLI) checkDeployFile() error {
	if err := platform.CheckDeployFile(cl.options.deployFile); err != nil {
		return badInput(err)
	}
	fmt.Fprintf(cl.out, "%s: the deploy file is valid\n", cl.options.deployFile)
	return nil
}

func (cl *CLI) checkPlatformSettings() error {
	if _, err := platform.LoadSettings(cl.options.platformSettings); err != nil {
		return badInput(err)
	}
	fmt.Fprintf(cl.out, "%s: the settings are valid\n", cl.options.platformSettings)
	return nil
}
