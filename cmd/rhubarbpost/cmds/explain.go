package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/explainer"
)

// addExplain adds the command that traces a request through the logs of hosts.
func (t *commandTree) addExplain() {
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "Trace a request through the logs of all hosts, read from standard input or files."
	sub.AdditionalHelpAppend = "\nExample: rhubarbpost explain 9c41d07be2a35f68 --log sapporo-1.log --log sapporo-2.log"
	var request string
	var files []string
	window := ""
	sub.AddPositionalValue(&request, "request", 1, false, "Request id that the caller sent")
	sub.String(&window, "s", "summary", "Instead of tracing a request, count the requests not served in full by cause, in time windows of this width, such as 2s")
	sub.StringSlice(&files, "l", "log", "Log file; may be given several times (default: standard input)")
	t.attach(nil, sub, func() error {
		if (request == "") == (window == "") {
			return &exitError{code: exiter.Usage, cause: errors.New("either a request id or --summary is required")}
		}
		return t.explain(request, window, files)
	})
}

func (t *commandTree) explain(request, window string, files []string) error {
	readers := []io.Reader{os.Stdin}
	if len(files) > 0 {
		readers = nil
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return &exitError{code: exiter.Invalid, cause: err}
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	if window != "" {
		return t.summarize(window, readers)
	}
	trace, err := explainer.Read(request, readers...)
	if err != nil {
		return &exitError{code: exiter.Failed, cause: err}
	}
	if trace.Skipped > 0 {
		_, _ = fmt.Fprintf(t.stderr, "%d lines skipped that are not in the log format\n", trace.Skipped)
	}
	if len(trace.Lines) == 0 {
		return &exitError{code: exiter.NotFound, cause: errors.New("no log line names the request; only a sample of the complete answers is logged")}
	}
	trace.Write(t.stdout)
	return nil
}

// summarize prints counts of the requests not served in full, by cause and time window.
func (t *commandTree) summarize(window string, logs []io.Reader) error {
	width, err := time.ParseDuration(window)
	if err != nil || width <= 0 {
		return &exitError{code: exiter.Usage, cause: errors.New("--summary " + window + ": not a positive duration such as 2s")}
	}
	summary, err := explainer.Summarize(width, logs...)
	if err != nil {
		return &exitError{code: exiter.Failed, cause: err}
	}
	if summary.Skipped > 0 {
		_, _ = fmt.Fprintf(t.stderr, "%d lines skipped that are not in the log format\n", summary.Skipped)
	}
	summary.Write(t.stdout)
	return nil
}
