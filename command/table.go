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
)

// Version is the version that the command line prints.
const Version = "0.1.0"

// The exit codes.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitBadInput    = 2
	ExitRefused     = 3
	ExitUndecided   = 4
	ExitUnreachable = 5
)

// CLI is the commands and what they work with.
type CLI struct {
	out     io.Writer
	options options
}

// options are the flags of all commands; each command states those it has.
type options struct {
	settings string
	// platformSettings and deployFile are the paths of the platform's settings file and of its deploy file.
	platformSettings string
	deployFile       string
	metricsPort      int
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

// commandSpec is one command.
type commandSpec struct {
	name     string
	alias    string
	help     string
	flags    func(*options, *flaggy.Subcommand)
	run      func(*CLI) error
	children []commandSpec
}

// New returns the table; output goes to out.
func New(out io.Writer) *CLI {
	return &CLI{out: out, options: options{
		address: envOr("TURMERICDOOR_ADDRESS", "127.0.0.1:7101"), key: envOr("TURMERICDOOR_KEY", ""),
		platformSettings: envOr(platform.SettingsPathVariable, ""), deployFile: "deploy/system.toml", settings: "turmericdoor.ini", limit: defaultEvents, timeoutMs: defaultTimeoutMs,
	}}
}

const (
	defaultEvents    = 200
	defaultTimeoutMs = 10000
)

func envOr(name, otherwise string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return otherwise
}

// commands is the table. The help of a command is one line; flags explain themselves.
func commands() []commandSpec {
	return []commandSpec{
		{name: "serve", help: "Run an entry instance until it is told to stop", flags: settingsFlag, run: (*CLI).serve},
		{name: "front", help: "Run an entry instance on the users' platform until it is told to stop", flags: frontFlags, run: (*CLI).serveOnPlatform},
		{name: "explain", help: "Print the log lines of a request in their order", flags: explainFlags, run: (*CLI).explain},
		{name: "settings", help: "Work on the settings file", children: []commandSpec{
			{name: "check", help: "Check a settings file and list everything that is wrong with it", flags: settingsFlag, run: (*CLI).checkSettings},
			{name: "check-deploy", help: "Check a deploy file of the users' platform", flags: deployFlag, run: (*CLI).checkDeployFile},
			{name: "check-platform", help: "Check a settings file of the users' platform", flags: platformSettingsFlag, run: (*CLI).checkPlatformSettings},
			{name: "reference", help: "Print the reference of all settings and document sections", run: (*CLI).reference},
		}},
		{name: "document", alias: "doc", help: "Work on the shared document", children: documentCommands()},
		{name: "ask", help: "Send a request as a caller and print its answer; --address is a caller address", flags: askFlags, run: (*CLI).ask},
		{name: "leave", help: "Take an upstream out of use on all instances", flags: leaveFlags, run: (*CLI).leave},
		{name: "stop", help: "Stop an instance gracefully", flags: remoteFlags, run: (*CLI).stop},
		{name: "status", alias: "st", help: "Show an instance, its members and its pools", flags: remoteFlags, run: (*CLI).status},
		{name: "timeline", alias: "tl", help: "Show the events of all instances in their order of cause", flags: timelineFlags, run: (*CLI).timeline},
		{name: "digest", help: "Print the SHA-256 digest of the key given by --key, as settings and documents hold it", flags: keyFlag, run: (*CLI).digest},
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

func frontFlags(op *options, sub *flaggy.Subcommand) {
	platformSettingsFlag(op, sub)
	sub.Int(&op.metricsPort, "m", "metrics-port", "Port of the metrics on the instance's own address; 0 takes one of the platform's free ports")
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
	sub.String(&op.team, "m", "team", "Name of the team; empty means all")
}

func putFlags(op *options, sub *flaggy.Subcommand) {
	getFlags(op, sub)
	sub.String(&op.file, "f", "file", "File with the team's new text")
	sub.Int64(&op.expected, "e", "expected", "Revision of the team's text that the change starts from; 0 for a new team")
	sub.String(&op.editID, "i", "edit-id", "Name of the edit, which makes a repeated put count once; drawn at random if empty")
	sub.String(&op.author, "o", "author", "Who makes the edit, for the history")
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
	sub.Int64(&op.limit, "l", "limit", "Most events of each instance, the newest")
}

// Run carries out the command that the arguments name and returns the exit code.
func (tb *CLI) Run(arguments []string) int {
	parser := flaggy.NewParser("turmericdoor")
	parser.Description = "serves multi-stage model pipelines over borrowed instances"
	parser.Version = Version
	parser.AdditionalHelpAppend = "Exit codes: 0 done, 1 failed, 2 bad input, 3 refused, 4 undecided, 5 unreachable."
	chosen := attach(tb, parser, commands())
	if err := parser.ParseArgs(arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitBadInput
	}
	run := chosen()
	if run == nil {
		parser.ShowHelp()
		return ExitBadInput
	}
	return exitCode(run(tb))
}

// attach makes flaggy's subcommands from the table and returns a function that finds the one which was used.
func attach(tb *CLI, parser *flaggy.Parser, list []commandSpec) func() func(*CLI) error {
	finders := []func() func(*CLI) error{}
	for _, command := range list {
		sub := subcommand(tb, command)
		parser.AttachSubcommand(sub, 1)
		finders = append(finders, finder(tb, sub, command))
	}
	return firstOf(finders)
}

func subcommand(tb *CLI, command commandSpec) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(command.name)
	sub.ShortName = command.alias
	sub.Description = command.help
	if command.flags != nil {
		command.flags(&tb.options, sub)
	}
	return sub
}

func finder(tb *CLI, sub *flaggy.Subcommand, command commandSpec) func() func(*CLI) error {
	finders := []func() func(*CLI) error{}
	for _, child := range command.children {
		childSub := subcommand(tb, child)
		sub.AttachSubcommand(childSub, 1)
		finders = append(finders, finder(tb, childSub, child))
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

// ExitError is an error with the exit code that it leads to.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the error inside.
func (ce ExitError) Error() string {
	return ce.Err.Error()
}

// Unwrap returns the error inside.
func (ce ExitError) Unwrap() error {
	return ce.Err
}

func exitErrorf(code int, format string, args ...any) error {
	return ExitError{Code: code, Err: oops.Errorf(format, args...)}
}

// exitCode prints an error and turns it into an exit code.
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
