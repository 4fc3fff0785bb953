package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/explainer"
)

// addExplain adds the command that tells the story of a request from logs.
func (t *tree) addExplain() {
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "Tell what became of a request from the logs of all hosts, on standard input or in files."
	sub.AdditionalHelpAppend = "\nExample: rhubarbpost explain 9c41d07be2a35f68 --log sapporo-1.log --log sapporo-2.log"
	var request string
	var files []string
	sub.AddPositionalValue(&request, "request", 1, true, "Request id as the caller sent it")
	sub.StringSlice(&files, "l", "log", "Log file; may be given several times (default: standard input)")
	t.attach(nil, sub, func() error { return t.explain(request, files) })
}

func (t *tree) explain(request string, files []string) error {
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
	story, err := explainer.Read(request, readers...)
	if err != nil {
		return &exitError{code: exiter.Failed, cause: err}
	}
	if story.Skipped > 0 {
		_, _ = fmt.Fprintf(t.errs, "%d lines are not log lines\n", story.Skipped)
	}
	if len(story.Lines) == 0 {
		return &exitError{code: exiter.NotFound, cause: errors.New("no line names the request; whole answers are logged only now and then")}
	}
	story.Write(t.out)
	return nil
}
