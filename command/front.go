package command

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/charmbracelet/log"

	"github.com/turmericdoor/turmericdoor/entrypoint"
	"github.com/turmericdoor/turmericdoor/platform"
)

// serveOnPlatform runs an entry instance on the users' platform. A second signal changes nothing.
func (tb *CLI) serveOnPlatform() error {
	adapter := platform.NewAdapter(tb.options.platformSettings)
	settings, err := adapter.LoadSettings()
	if err != nil {
		return badInput(err)
	}
	if port := tb.options.metricsPort; port > 0 {
		host, _, _ := net.SplitHostPort(settings.MetricsAddress)
		settings.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(port))
	}
	logger := log.NewWithOptions(os.Stdout, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	}).With("instance", settings.Instance)
	return entrypoint.New(adapter, settings, logger).Run()
}

func (tb *CLI) checkDeployFile() error {
	if err := platform.CheckDeployFile(tb.options.deployFile); err != nil {
		return badInput(err)
	}
	fmt.Fprintf(tb.out, "%s: deploy file is right\n", tb.options.deployFile)
	return nil
}

func (tb *CLI) checkPlatformSettings() error {
	if _, err := platform.LoadSettings(tb.options.platformSettings); err != nil {
		return badInput(err)
	}
	fmt.Fprintf(tb.out, "%s: settings are right\n", tb.options.platformSettings)
	return nil
}
