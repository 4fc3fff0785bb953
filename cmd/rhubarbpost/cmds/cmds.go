package cmds

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/integrii/flaggy"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

const (
	programName        = "rhubarbpost"
	programDescription = "A query tier over many shards: queries, orders that run at most once, and configuration."
)

// command is one leaf of the command tree.
type command struct {
	sub *flaggy.Subcommand
	run func() error
}

// commandTree is the command-line parser with all commands and their outputs.
type commandTree struct {
	parser   *flaggy.Parser
	commands []command
	stdout   io.Writer
	stderr   io.Writer
}

// Run parses the arguments, runs the command and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	t := newCommandTree(stdout, stderr)
	err := t.parser.ParseArgs(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return int(exiter.Usage)
	}
	for _, c := range t.commands {
		if c.sub.Used {
			return t.finish(c.run())
		}
	}
	t.parser.ShowHelp()
	return int(exiter.Usage)
}

// newCommandTree builds the command tree, which also serves to generate the command-line docs.
func newCommandTree(stdout, stderr io.Writer) *commandTree {
	t := &commandTree{parser: flaggy.NewParser(programName), stdout: stdout, stderr: stderr}
	t.parser.Description = programDescription
	t.parser.ShowHelpOnUnexpected = true
	t.parser.DisableShowVersionWithVersion()
	t.addProcess("entry", "Serve callers: queries and orders.", runEntry)
	t.addProcess("agent", "Watch the platform and distribute configuration among hosts.", runAgent)
	t.addProcess("console", "Serve the operators' console.", runConsole)
	t.addHost()
	t.addExplain()
	t.addVerdicts()
	t.addConfig()
	t.addVersion()
	return t
}

func (t *commandTree) addVersion() {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "Print the version."
	sub.AdditionalHelpAppend = "\nExample: rhubarbpost version"
	t.attach(nil, sub, func() error {
		_, err := fmt.Fprintln(t.stdout, programName, version())
		return err
	})
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// attach adds a leaf command under a parent, or at the root if parent is nil.
func (t *commandTree) attach(parent, sub *flaggy.Subcommand, run func() error) {
	if parent == nil {
		t.parser.AttachSubcommand(sub, 1)
	} else {
		parent.AttachSubcommand(sub, 1)
	}
	t.commands = append(t.commands, command{sub: sub, run: run})
}

// exitError is an error with the exit code of the process; without a cause
// nothing is printed.
type exitError struct {
	code  exiter.Code
	cause error
}

// Error returns the text of the cause.
func (e *exitError) Error() string {
	if e.cause == nil {
		return ""
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error {
	return e.cause
}

// finish prints an error, if any, and returns the exit code.
func (t *commandTree) finish(err error) int {
	if err == nil {
		return int(exiter.OK)
	}
	if err.Error() != "" {
		_, _ = fmt.Fprintln(t.stderr, programName+":", err)
	}
	return int(exitCode(err))
}

func exitCode(err error) exiter.Code {
	var exitErr *exitError
	var positionErr *decoder.PositionError
	var configErrs configurer.Errors
	switch {
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &positionErr), errors.As(err, &configErrs):
		return exiter.Invalid
	}
	code, ok := exitCodes[classifier.CodeOf(err, classifier.OK)]
	if !ok {
		return exiter.Failed
	}
	return code
}

// exitCodes maps the result codes of configuration changes to exit codes.
var exitCodes = map[classifier.Code]exiter.Code{
	classifier.ConfigInvalid:     exiter.Invalid,
	classifier.ConfigConflict:    exiter.Conflict,
	classifier.ConfigUnreachable: exiter.Unreachable,
	classifier.ConfigUnsettled:   exiter.Unsettled,
	classifier.ConfigNotFound:    exiter.NotFound,
}
