package cmds

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/forwarder"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
)

// verdictTimeout bounds a call to a host.
const verdictTimeout = 5 * time.Second

// addVerdicts adds the commands about requests under which backend servers have ended.
func (t *commandTree) addVerdicts() {
	parent := flaggy.NewSubcommand("verdicts")
	parent.Description = "See and change which requests are held back since backend servers have ended under them."
	t.parser.AttachSubcommand(parent, 1)
	var host string
	list := verdictCommand("list", "List the requests under which backend servers have ended, as a host knows them.", "", &host)
	t.attach(parent, list, func() error { return t.listVerdicts(host) })
	for _, c := range []struct{ name, text string }{
		{"lift", "Drop the evidence against a request, on all hosts."},
		{"pin", "Block a request on all hosts until it is lifted."},
	} {
		var fingerprint string
		sub := verdictCommand(c.name, c.text, " 4faab99b342a00dd049397876b2dcf5f", &host)
		sub.AddPositionalValue(&fingerprint, "fingerprint", 1, true, "Fingerprint of the request, as in the list and in log lines")
		t.attach(parent, sub, func() error { return t.decideVerdict(host, c.name, fingerprint) })
	}
}

func verdictCommand(name, text, arguments string, host *string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = text
	sub.AdditionalHelpAppend = fmt.Sprintf("\nExample: rhubarbpost verdicts %s%s --host 10.1.0.9:8106", name, arguments)
	sub.String(host, "", "host", "Control address of any host, IP:port (required)")
	return sub
}

func checkHost(host string) error {
	err := listener.CheckAddress(host)
	if err != nil {
		return &exitError{code: exiter.Usage, cause: fmt.Errorf("--host %q: %w", host, err)}
	}
	return nil
}

func (t *commandTree) listVerdicts(host string) error {
	err := checkHost(host)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
	defer cancel()
	verdicts, err := forwarder.FetchVerdicts(ctx, host)
	if err != nil {
		return &exitError{code: exiter.Unreachable, cause: err}
	}
	for _, v := range verdicts {
		ended := (time.Duration(v.EndedMillisAgo) * time.Millisecond).Round(time.Second)
		_, err = fmt.Fprintf(t.stdout, "%s %-9s %d servers ended, %d in trials, last %v ago, route %s: %s\n",
			v.Fingerprint, v.Verdict, len(v.Ends), len(v.Trials), ended, v.Route, v.Request)
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *commandTree) decideVerdict(host, decision, text string) error {
	err := checkHost(host)
	if err != nil {
		return err
	}
	var fingerprint vetter.Fingerprint
	err = fingerprint.UnmarshalText([]byte(text))
	if err != nil {
		return &exitError{code: exiter.Usage, cause: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
	defer cancel()
	err = forwarder.DecideVerdict(ctx, host, fingerprint, decision)
	if err != nil {
		return &exitError{code: exiter.Unreachable, cause: errors.Join(errors.New("the decision may not have been taken"), err)}
	}
	return nil
}
