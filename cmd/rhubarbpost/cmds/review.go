package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/forwarder"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/reviewer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
	"github.com/rhubarbpost/rhubarbpost/platform/adapter"

	"github.com/integrii/flaggy"
)

// reviewFlags holds the flags of the review command.
type reviewFlags struct {
	file     string
	inForce  string
	platform string
}

func (t *commandTree) addReview(parent *flaggy.Subcommand) {
	f := &reviewFlags{}
	sub := configCommand("review", "Check a configuration of the prepared platform before it is sent.", "config review main.json --inForce before.json")
	sub.AddPositionalValue(&f.file, "file", 1, true, "Configuration as it would be written to the store")
	sub.String(&f.inForce, "", "inForce", "File with the configuration in force, to show what differs")
	sub.String(&f.platform, "p", "platform", "Address of the platform, IP:port, whose configuration in force is compared instead")
	t.attach(parent, sub, func() error { return t.runReview(f) })
}

// runReview prints the findings on a configuration and what differs from the one in force. It fails
// if hosts would leave out an entry.
func (t *commandTree) runReview(f *reviewFlags) error {
	content, err := os.ReadFile(f.file)
	if err != nil {
		return &exitError{code: exiter.Invalid, cause: err}
	}
	table, rejected := adapter.Documents{}.Table(storer.Object{Value: content})
	if table == nil {
		return &exitError{code: exiter.Invalid, cause: fmt.Errorf("%s: %w", f.file, rejected)}
	}
	headerBytes, idleTimeout := listener.CallerLimits()
	findings := rejections(rejected)
	findings = append(findings, reviewer.Review(table, reviewer.HostLimits{
		HeaderBytes: headerBytes, BodyBytes: forwarder.MaxBodyBytes, IdleTimeout: idleTimeout,
	})...)
	for _, finding := range findings {
		_, _ = fmt.Fprintln(t.stdout, finding)
	}
	inForce, err := f.tableInForce()
	if err != nil {
		return err
	}
	if inForce != nil {
		changes := reviewer.Compare(inForce, table)
		for _, change := range changes {
			_, _ = fmt.Fprintln(t.stdout, "differs:", change)
		}
		_, _ = fmt.Fprintf(t.stdout, "%d differences from version %d\n", len(changes), inForce.Version())
	}
	_, err = fmt.Fprintf(t.stdout, "%s: version %d, %d routes, %d findings\n", f.file, table.Version(), table.RouteCount(), len(findings))
	if rejected != nil {
		return &exitError{code: exiter.Invalid, cause: errors.New("hosts would leave out the entries above that have errors")}
	}
	return err
}

// rejections returns a finding for each of the errors that were joined.
func rejections(err error) []reviewer.Finding {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	list := []error{err}
	if errors.As(err, &joined) {
		list = joined.Unwrap()
	}
	findings := make([]reviewer.Finding, 0, len(list))
	for _, e := range list {
		findings = append(findings, reviewer.Finding{Kind: reviewer.Rejected, Place: "entry left out", Text: e.Error()})
	}
	return findings
}

// tableInForce returns the configuration to compare with, nil if none is named.
func (f *reviewFlags) tableInForce() (*matcher.Table, error) {
	var object storer.Object
	switch {
	case f.inForce != "":
		content, err := os.ReadFile(f.inForce)
		if err != nil {
			return nil, &exitError{code: exiter.Invalid, cause: err}
		}
		object.Value = content
	case f.platform != "":
		err := listener.CheckAddress(f.platform)
		if err != nil {
			return nil, &exitError{code: exiter.Usage, cause: fmt.Errorf("--platform: %w", err)}
		}
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		store := adapter.OpenStore(f.platform, nil)
		defer store.Close()
		object, err = store.Get(ctx, adapter.Layout().ConfigKey)
		if err != nil {
			return nil, &exitError{code: exiter.Unreachable, cause: err}
		}
	default:
		return nil, nil //nolint:nilnil // nothing to compare with is no error
	}
	table, err := adapter.Documents{}.Table(object)
	if table == nil {
		return nil, &exitError{code: exiter.Invalid, cause: fmt.Errorf("configuration in force: %w", err)}
	}
	return table, nil
}
