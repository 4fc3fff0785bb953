package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rhubarbpost/rhubarbpost/internal/applier"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/platform/adapter"
)

const (
	// commandTimeout bounds a command that accesses the platform.
	commandTimeout    = 30 * time.Second
	declarationSuffix = ".jsonc"
)

// configFlags holds the flags of all config commands.
type configFlags struct {
	path     string
	service  string
	platform string
	author   string
	reason   string
	revision uint64
	dryRun   bool
	detailed bool
}

func (t *commandTree) addConfig() {
	parent := flaggy.NewSubcommand("config")
	parent.Description = "Check and change the configuration of services."
	t.parser.AttachSubcommand(parent, 1)
	t.addCheck(parent)
	t.addReview(parent)
	t.addApply(parent)
	t.addShow(parent)
	t.addHistory(parent)
	t.addDiff(parent)
}

func (t *commandTree) addCheck(parent *flaggy.Subcommand) {
	f := &configFlags{}
	sub := configCommand("check", "Check a file or a folder of declarations.", "config check examples/kitanoiri.jsonc")
	sub.AddPositionalValue(&f.path, "path", 1, true, "File or folder (*.jsonc)")
	t.attach(parent, sub, func() error {
		documents, err := readDocuments(f.path)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(t.stdout, "%s: %d services, valid\n", f.path, len(documents))
		return err
	})
}

func (t *commandTree) addApply(parent *flaggy.Subcommand) {
	f := &configFlags{}
	sub := configCommand("apply", "Apply declarations: store each changed one as a new revision.", "config apply examples --platform 127.0.0.1:7000 --reason 'first set-up'")
	sub.AddPositionalValue(&f.path, "path", 1, true, "File or folder (*.jsonc)")
	platformFlag(sub, f)
	sub.String(&f.reason, "r", "reason", "Reason for the audit trail")
	sub.String(&f.author, "a", "author", "Author for the audit trail (default: the user)")
	sub.Bool(&f.dryRun, "n", "dryRun", "Print the changes without writing them")
	sub.Bool(&f.detailed, "", "detailedExit", "Exit with code 10 if a service changed")
	t.attach(parent, sub, func() error { return t.runApply(f) })
}

func (t *commandTree) addShow(parent *flaggy.Subcommand) {
	f := &configFlags{}
	sub := configCommand("show", "Print a revision of a service.", "config show bay-console --platform 127.0.0.1:7000")
	serviceFlags(sub, f)
	sub.UInt64(&f.revision, "", "revision", "Revision (default: the current one)")
	t.attach(parent, sub, func() error { return t.withApplier(f, t.runShow) })
}

func (t *commandTree) addHistory(parent *flaggy.Subcommand) {
	f := &configFlags{}
	sub := configCommand("history", "List the revisions of a service.", "config history bay-console --platform 127.0.0.1:7000")
	serviceFlags(sub, f)
	t.attach(parent, sub, func() error { return t.withApplier(f, t.runHistory) })
}

func (t *commandTree) addDiff(parent *flaggy.Subcommand) {
	f := &configFlags{}
	sub := configCommand("diff", "Show the changes of a revision against the previous one.", "config diff bay-console --revision 2 --platform 127.0.0.1:7000")
	serviceFlags(sub, f)
	sub.UInt64(&f.revision, "", "revision", "Revision (default: the current one)")
	t.attach(parent, sub, func() error { return t.withApplier(f, t.runDiff) })
}

func configCommand(name, text, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = text
	sub.AdditionalHelpAppend = "\nExample: rhubarbpost " + example
	return sub
}

func serviceFlags(sub *flaggy.Subcommand, f *configFlags) {
	sub.AddPositionalValue(&f.service, "service", 1, true, "Name of the service")
	platformFlag(sub, f)
}

func platformFlag(sub *flaggy.Subcommand, f *configFlags) {
	sub.String(&f.platform, "p", "platform", "Address of the platform, IP:port (required)")
}

// withApplier checks the platform's address and runs a command on its store.
func (t *commandTree) withApplier(f *configFlags, run func(context.Context, *applier.Applier, *configFlags) error) error {
	err := listener.CheckAddress(f.platform)
	if err != nil {
		return &exitError{code: exiter.Usage, cause: fmt.Errorf("--platform: %w", err)}
	}
	store := adapter.OpenStore(f.platform, nil)
	defer store.Close()
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return run(ctx, applier.New(store), f)
}

// readDocuments parses a file, or all declarations of a folder. The error joins the
// problems of all files, including services that two files declare.
func readDocuments(path string) ([]configurer.Document, error) {
	files, err := declarationFiles(path)
	if err != nil {
		return nil, err
	}
	var documents []configurer.Document
	var problems []error
	declaredIn := make(map[string]string)
	for _, file := range files {
		parsed, err := readFile(file)
		problems = append(problems, err)
		for _, document := range parsed {
			first, declared := declaredIn[document.Service]
			if declared && err == nil {
				problems = append(problems, classifier.NewFailure(classifier.ConfigInvalid,
					"service %s is declared in %s and %s", document.Service, first, file))
			}
			declaredIn[document.Service] = file
		}
		documents = append(documents, parsed...)
	}
	return documents, errors.Join(problems...)
}

func readFile(file string) ([]configurer.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return configurer.Parse(file, data)
}

func declarationFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*"+declarationSuffix))
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("folder %s contains no *%s file", path, declarationSuffix)
	}
	return files, err
}

func (t *commandTree) runApply(f *configFlags) error {
	documents, err := readDocuments(f.path)
	if err != nil {
		return err
	}
	return t.withApplier(f, func(ctx context.Context, a *applier.Applier, f *configFlags) error {
		return t.applyAll(ctx, a, f, documents)
	})
}

func (t *commandTree) applyAll(ctx context.Context, a *applier.Applier, f *configFlags, documents []configurer.Document) error {
	changed := 0
	for _, document := range documents {
		differs, err := t.applyOne(ctx, a, f, document)
		if err != nil {
			return err
		}
		if differs {
			changed++
		}
	}
	_, _ = fmt.Fprintf(t.stdout, "%d of %d services changed%s\n", changed, len(documents), dryRunNote(f))
	if changed > 0 && f.detailed {
		return &exitError{code: exiter.Changed}
	}
	return nil
}

func dryRunNote(f *configFlags) string {
	if f.dryRun {
		return " (dry run, nothing written)"
	}
	return ""
}

func (t *commandTree) applyOne(ctx context.Context, a *applier.Applier, f *configFlags, document configurer.Document) (bool, error) {
	current, err := a.Current(ctx, document.Service)
	if err != nil && classifier.CodeOf(err, 0) != classifier.ConfigNotFound {
		return false, err
	}
	before, err := applier.DocumentOf(current)
	if err != nil {
		return false, err
	}
	changes := configurer.Diff(before, document)
	if f.dryRun {
		t.printChanges(document.Service, current.Revision, changes)
		return len(changes) > 0, nil
	}
	result, err := a.Apply(ctx, applier.Request{
		Document: document, Author: author(f), Reason: f.reason, Base: current.Revision,
	})
	if err != nil {
		t.printConflict(err)
		return false, err
	}
	if !result.Changed {
		_, _ = fmt.Fprintf(t.stdout, "%s: unchanged at revision %d\n", document.Service, result.Envelope.Revision)
		return false, nil
	}
	t.printChanges(document.Service, result.Envelope.Revision, changes)
	return true, nil
}

func author(f *configFlags) string {
	if f.author != "" {
		return f.author
	}
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func (t *commandTree) printConflict(err error) {
	var conflict *applier.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	_, _ = fmt.Fprintf(t.stderr, "the current revision is %d by %s (%s); the rejected document differs from it in:\n",
		conflict.InForce.Revision, conflict.InForce.Author, conflict.InForce.Reason)
	writeChanges(t.stderr, conflict.Changes)
}

func (t *commandTree) printChanges(service string, revision uint64, changes []configurer.FieldChange) {
	_, _ = fmt.Fprintf(t.stdout, "%s: revision %d, %d fields\n", service, revision, len(changes))
	writeChanges(t.stdout, changes)
}

func writeChanges(w io.Writer, changes []configurer.FieldChange) {
	for _, c := range changes {
		_, _ = fmt.Fprintf(w, "  %s: %q -> %q\n", c.Field, c.Before, c.After)
	}
}

func (t *commandTree) runShow(ctx context.Context, a *applier.Applier, f *configFlags) error {
	envelope, err := selectedRevision(ctx, a, f)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(t.stdout, "// revision %d by %s at %s: %s\n%s\n",
		envelope.Revision, envelope.Author, envelope.Time, envelope.Reason, indent(envelope.Document))
	return err
}

func indent(document json.RawMessage) string {
	var out bytes.Buffer
	err := json.Indent(&out, document, "", "  ")
	if err != nil {
		return string(document)
	}
	return out.String()
}

func selectedRevision(ctx context.Context, a *applier.Applier, f *configFlags) (configurer.Envelope, error) {
	if f.revision == 0 {
		return a.Current(ctx, f.service)
	}
	return a.Revision(ctx, f.service, f.revision)
}

func (t *commandTree) runHistory(ctx context.Context, a *applier.Applier, f *configFlags) error {
	list, err := a.History(ctx, f.service)
	if err != nil {
		return err
	}
	for _, e := range list {
		_, _ = fmt.Fprintf(t.stdout, "%d\t%s\t%s\t%s\t%s\n", e.Revision, e.Time, e.Author, e.ChangeID, strings.ReplaceAll(e.Reason, "\n", " "))
	}
	return nil
}

func (t *commandTree) runDiff(ctx context.Context, a *applier.Applier, f *configFlags) error {
	envelope, err := selectedRevision(ctx, a, f)
	if err != nil {
		return err
	}
	after, err := applier.DocumentOf(envelope)
	if err != nil {
		return err
	}
	var before configurer.Document
	if envelope.Revision > 1 {
		previous, err := a.Revision(ctx, f.service, envelope.Revision-1)
		if err != nil {
			return err
		}
		before, err = applier.DocumentOf(previous)
		if err != nil {
			return err
		}
	}
	t.printChanges(f.service, envelope.Revision, configurer.Diff(before, after))
	return nil
}
