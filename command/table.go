package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
	"github.com/samber/oops"

	"github.com/turmericdoor/turmericdoor/configuration"
	"github.com/turmericdoor/turmericdoor/platform"
	"github.com/turmericdoor/turmericdoor/timer"
)

// Version is the version of turmericdoor.
const Version = "0.1.0"

// Exit codes of the process.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitBadInput    = 2
	ExitRefused     = 3
	ExitUndecided   = 4
	ExitUnreachable = 5
)

// CLI holds the output and the flag values of a command line.
type CLI struct {
	// Timers measures the timeouts of commands.
	Timers  *timer.Service
	out     io.Writer
	options options
}

// options holds the flag values of all commands; each command registers the flags that it has.
type options struct {
	settings string
	// platformSettings and deployFile are paths of files of the users' platform.
	platformSettings string
	deployFile       string
	metricsPort      int
	maxConnections   int
	bodyMemoryMB     int
	address          string
	key              string
	team             string
	file             string
	editID           string
	author           string
	upstream         string
	request          string
	organisation     string
	kind             string
	expected         int64
	revision         int64
	limit            int64
	timeoutMs        int64
	wait             bool
	json             bool
	directory        string
	pipeline         string
	rank             string
	input            string
	raw              bool
	idempotencyKey   string
	stream           bool
}

// commandSpec describes a command or a group of commands.
type commandSpec struct {
	name     string
	alias    string
	help     string
	flags    func(*options, *flaggy.Subcommand)
	run      func(*CLI) error
	children []commandSpec
}

// New returns a CLI that prints results to out; errors go to standard error.
func New(out io.Writer) *CLI {
	return &CLI{Timers: timer.New(), out: out, options: options{
		address: envOr("TURMERICDOOR_ADDRESS", "127.0.0.1:7101"), key: envOr("TURMERICDOOR_KEY", ""),
		platformSettings: envOr(platform.SettingsPathVariable, ""), deployFile: "deploy/system.toml", settings: "turmericdoor.ini", limit: defaultEvents, timeoutMs: defaultTimeoutMs,
	}}
}

const (
	defaultEvents    = 200
	defaultTimeoutMs = 10000
)

// envOr returns an environment variable, or a fallback if it is empty.
func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

// commands returns all commands.
func commands() []commandSpec {
	return []commandSpec{
		{name: "serve", help: "Run an entry instance until a signal or a stop request", flags: settingsFlag, run: (*CLI).serve},
		{name: "front", help: "Run an entry instance on the users' platform until it is asked to stop", flags: frontFlags, run: (*CLI).serveOnPlatform},
		{name: "explain", help: "Print the log lines of a request in order of time", flags: explainFlags, run: (*CLI).explain},
		{name: "settings", help: "Check settings files and print their reference", children: []commandSpec{
			{name: "check", help: "Check a settings file and list all errors", flags: settingsFlag, run: (*CLI).checkSettings},
			{name: "check-deploy", help: "Check a deploy file of the users' platform", flags: deployFlag, run: (*CLI).checkDeployFile},
			{name: "check-platform", help: "Check a settings file of the users' platform", flags: platformSettingsFlag, run: (*CLI).checkPlatformSettings},
			{name: "reference", help: "Print the reference of all settings and document sections", run: (*CLI).reference},
		}},
		{name: "document", alias: "doc", help: "Check, read and edit the shared document", children: documentCommands()},
		{name: "ask", help: "Send a request as a caller and print its answer; --address is a caller address", flags: askFlags, run: (*CLI).ask},
		{name: "leave", help: "Take an upstream out of use on all instances", flags: leaveFlags, run: (*CLI).leave},
		{name: "stop", help: "Stop an instance gracefully", flags: remoteFlags, run: (*CLI).stop},
		{name: "status", alias: "st", help: "Show the state of an instance, of the members that it knows and of its pools", flags: remoteFlags, run: (*CLI).status},
		{name: "timeline", alias: "tl", help: "Show the events of all instances in causal order", flags: timelineFlags, run: (*CLI).timeline},
		{name: "digest", help: "Print the SHA-256 digest of the key given by --key, in the form that settings and documents use", flags: keyFlag, run: (*CLI).digest},
		{name: "version", help: "Print the version", run: (*CLI).version},
	}
}

func documentCommands() []commandSpec {
	return []commandSpec{
		{name: "check", help: "Check a folder of team files (NAME.ini) as one document, without an instance", flags: directoryFlag, run: (*CLI).checkDocument},
		{name: "get", help: "Print a team's text, or the whole document", flags: getFlags, run: (*CLI).getDocument},
		{name: "put", help: "Replace a team's text", flags: putFlags, run: (*CLI).putDocument},
		{name: "history", help: "List the revisions, newest first", flags: remoteFlags, run: (*CLI).history},
		{name: "wait", help: "Wait until every live instance has a revision in force", flags: waitFlags, run: (*CLI).waitDocument},
	}
}

func settingsFlag(op *options, sub *flaggy.Subcommand) {
	sub.String(&op.settings, "s", "settings", "Path of the settings file")
}

func deployFlag(op *options, sub *flaggy.Subcommand) {
	sub.String(&op.deployFile, "f", "file", "Path of the deploy file")
}

func platformSettingsFlag(op *options, sub *flaggy.Subcommand) {
	sub.String(&op.platformSettings, "s", "settings", "Path of the platform's settings file; "+platform.SettingsPathVariable+" is used if it is not given")
}

// frontFlags adds the flags of the command front, which runs an entry instance on the users' platform. Without a port for
// the metrics, the instance uses the second port of the range that the platform's settings file sets aside for internal use.
func frontFlags(op *options, sub *flaggy.Subcommand) {
	platformSettingsFlag(op, sub)
	sub.Int(&op.metricsPort, "m", "metrics-port", "Port of the metrics on the instance's own address; 0 selects the second internal port of the platform's settings file")
	sub.Int(&op.maxConnections, "c", "max-connections", "Maximum number of callers' connections; 0 derives it from the memory and the descriptors of the platform's settings file")
	sub.Int(&op.bodyMemoryMB, "b", "body-memory-mb", "Memory for callers' request bodies in MB; 0 derives it from the memory of the platform's settings file")
}

func explainFlags(op *options, sub *flaggy.Subcommand) {
	sub.String(&op.request, "r", "request", "Id of the request")
	sub.String(&op.file, "f", "file", "File with the log lines of all instances")
}

func directoryFlag(op *options, sub *flaggy.Subcommand) {
	sub.String(&op.directory, "d", "directory", "Folder with one file NAME.ini for each team")
}

func keyFlag(op *options, sub *flaggy.Subcommand) {
	sub.String(&op.key, "k", "key", "The key; TURMERICDOOR_KEY is used if it is not given")
}

func remoteFlags(op *options, sub *flaggy.Subcommand) {
	keyFlag(op, sub)
	sub.String(&op.address, "a", "address", "Operator address of an instance; TURMERICDOOR_ADDRESS is used if it is not given")
	sub.Bool(&op.json, "j", "json", "Print JSON")
	sub.Int64(&op.timeoutMs, "t", "timeout", "Longest time to wait, in milliseconds")
}

func leaveFlags(op *options, sub *flaggy.Subcommand) {
	remoteFlags(op, sub)
	sub.String(&op.upstream, "u", "upstream", "Name of the upstream")
}

func getFlags(op *options, sub *flaggy.Subcommand) {
	remoteFlags(op, sub)
	sub.String(&op.team, "m", "team", "Name of the team; all teams if empty")
}

func putFlags(op *options, sub *flaggy.Subcommand) {
	getFlags(op, sub)
	sub.String(&op.file, "f", "file", "File with the team's new text")
	sub.Int64(&op.expected, "e", "expected", "Revision of the team's text that the edit is based on; 0 for a new team")
	sub.String(&op.editID, "i", "edit-id", "Id of the edit; puts with the same id take effect once; a random id if empty")
	sub.String(&op.author, "o", "author", "Author of the edit, shown in the history")
	sub.Bool(&op.wait, "w", "wait", "Return once every live instance has the revision in force")
}

func waitFlags(op *options, sub *flaggy.Subcommand) {
	remoteFlags(op, sub)
	sub.Int64(&op.revision, "r", "revision", "Revision to wait for")
}

func timelineFlags(op *options, sub *flaggy.Subcommand) {
	remoteFlags(op, sub)
	sub.String(&op.request, "r", "request", "Only events of this request")
	sub.String(&op.upstream, "u", "upstream", "Only events of this upstream")
	sub.String(&op.organisation, "o", "organisation", "Only events of this organisation")
	sub.String(&op.kind, "n", "kind", "Only events of this kind, such as AttemptEnded")
	sub.Int64(&op.limit, "l", "limit", "Largest number of events of each instance; the newest are shown")
}

// Run executes the command that the arguments name and returns the exit code.
func (cl *CLI) Run(arguments []string) int {
	parser := flaggy.NewParser("turmericdoor")
	parser.Description = "serves multi-stage model pipelines over borrowed instances"
	parser.Version = Version
	parser.AdditionalHelpAppend = "Exit codes: 0 done, 1 failed, 2 bad input, 3 refused, 4 undecided, 5 unreachable."
	chosen := attach(cl, parser, commands())
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitBadInput
	}
	run := chosen()
	if run == nil {
		parser.ShowHelp()
		return ExitBadInput
	}
	return exitCode(run(cl))
}

// attach adds the commands to the parser. The returned function returns the function of the command that was
// used, or nil, once the arguments are parsed.
func attach(cl *CLI, parser *flaggy.Parser, list []commandSpec) func() func(*CLI) error {
	finders := []func() func(*CLI) error{}
	for _, command := range list {
		sub := subcommand(cl, command)
		parser.AttachSubcommand(sub, 1)
		finders = append(finders, attachChildren(cl, sub, command))
	}
	return firstOf(finders)
}

// subcommand converts a command to a flaggy subcommand and registers its flags.
func subcommand(cl *CLI, command commandSpec) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(command.name)
	sub.ShortName = command.alias
	sub.Description = command.help
	if command.flags != nil {
		command.flags(&cl.options, sub)
	}
	return sub
}

// attachChildren adds the child commands to sub and returns a function as attach does.
func attachChildren(cl *CLI, sub *flaggy.Subcommand, command commandSpec) func() func(*CLI) error {
	finders := []func() func(*CLI) error{}
	for _, child := range command.children {
		childSub := subcommand(cl, child)
		sub.AttachSubcommand(childSub, 1)
		finders = append(finders, attachChildren(cl, childSub, child))
	}
	return func() func(*CLI) error {
		if !sub.Used {
			return nil
		}
		if run := firstOf(finders)(); run != nil {
			return run
		}
		return command.run
	}
}

// firstOf returns a function that calls the finders in order and returns the first result that is not nil.
func firstOf(finders []func() func(*CLI) error) func() func(*CLI) error {
	return func() func(*CLI) error {
		for _, find := range finders {
			if run := find(); run != nil {
				return run
			}
		}
		return nil
	}
}

// ExitError is an error with the exit code of the process.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the wrapped error.
func (ee ExitError) Error() string {
	return ee.Err.Error()
}

// Unwrap returns the wrapped error.
func (ee ExitError) Unwrap() error {
	return ee.Err
}

// exitErrorf returns a formatted error with an exit code.
func exitErrorf(code int, format string, args ...any) error {
	return ExitError{Code: code, Err: oops.Errorf(format, args...)}
}

// exitCode prints an error to standard error and returns the exit code for it.
func exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(os.Stderr, err.Error())
	withCode := ExitError{}
	if errors.As(err, &withCode) {
		return withCode.Code
	}
	faults := configuration.FaultsError{}
	if errors.As(err, &faults) {
		return ExitBadInput
	}
	return ExitFailed
}
