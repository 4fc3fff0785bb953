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
	programName = "rhubarbpost"
	programText = "A query tier over many shards: queries, orders that run at most once, and configuration."
)

// command is one leaf of the command tree.
type command struct {
	sub *flaggy.Subcommand
	run func() error
}

// tree is the whole command tree with the values of its flags.
type tree struct {
	parser   *flaggy.Parser
	commands []command
	out      io.Writer
	errs     io.Writer
}

// Run parses the arguments, runs the command and returns its exit code.
func Run(args []string, out, errs io.Writer) int {
	t := newTree(out, errs)
	err := t.parser.ParseArgs(args)
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
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

// newTree builds the command tree, from which the docs are generated too.
func newTree(out, errs io.Writer) *tree {
	t := &tree{parser: flaggy.NewParser(programName), out: out, errs: errs}
	t.parser.Description = programText
	t.parser.ShowHelpOnUnexpected = true
	t.parser.DisableShowVersionWithVersion()
	t.addProcess("entry", "Serve callers: queries and orders.", runEntry)
	t.addProcess("agent", "Watch the platform and spread configuration between hosts.", runAgent)
	t.addProcess("console", "Serve the operators' console.", runConsole)
	t.addHost()
	t.addExplain()
	t.addConfig()
	t.addVersion()
	return t
}

func (t *tree) addVersion() {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "Print the version."
	sub.AdditionalHelpAppend = "\nExample: rhubarbpost version"
	t.attach(nil, sub, func() error {
		_, err := fmt.Fprintln(t.out, programName, version())
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

// attach adds a leaf under a parent, or at the root if it is nil.
func (t *tree) attach(parent, sub *flaggy.Subcommand, run func() error) {
	if parent == nil {
		t.parser.AttachSubcommand(sub, 1)
	} else {
		parent.AttachSubcommand(sub, 1)
	}
	t.commands = append(t.commands, command{sub: sub, run: run})
}

// exitError is an error with the exit code that it asks for; without a cause
// it is silent.
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

// finish prints an error and returns the exit code that goes with it.
func (t *tree) finish(err error) int {
	if err == nil {
		return int(exiter.OK)
	}
	if err.Error() != "" {
		_, _ = fmt.Fprintln(t.errs, programName+":", err)
	}
	return int(exitCode(err))
}

func exitCode(err error) exiter.Code {
	var exit *exitError
	var place *decoder.PlaceError
	var places configurer.Errors
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &place), errors.As(err, &places):
		return exiter.Invalid
	}
	code, ok := exitCodes[classifier.CodeOf(err, classifier.OK)]
	if !ok {
		return exiter.Failed
	}
	return code
}

// exitCodes are the exit codes of the result codes of configuration.
var exitCodes = map[classifier.Code]exiter.Code{
	classifier.ConfigInvalid:     exiter.Invalid,
	classifier.ConfigConflict:    exiter.Conflict,
	classifier.ConfigUnreachable: exiter.Unreachable,
	classifier.ConfigUnsettled:   exiter.Unsettled,
	classifier.ConfigNotFound:    exiter.NotFound,
}
