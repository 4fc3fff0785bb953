package starter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/applier"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/publisher"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/platform/adapter"
)

const configService = "bay-console"

// revisionInForce returns the configuration revision that the entry of a host has in
// force, or 0 if the entry does not answer.
func (f *Fleet) revisionInForce(host string) uint64 {
	var status struct {
		Revision uint64 `json:"revision"`
	}
	_, body := Get(f.ListenAddresses[host], "/v1/services/"+configService)
	err := json.Unmarshal(body, &status)
	if err != nil {
		return 0
	}
	return status.Revision
}

func (f *Fleet) waitRevision(t *testing.T, revision uint64) {
	t.Helper()
	Eventually(t, fmt.Sprintf("revision %d is in force everywhere", revision), func() bool {
		for _, host := range f.Hosts {
			if f.revisionInForce(host.Name) != revision {
				return false
			}
		}
		return true
	})
}

// applyDeadline applies the current declaration with another deadline, on top of
// the base revision.
func (f *Fleet) applyDeadline(t *testing.T, millis int, author string, base uint64) (applier.Result, error) {
	t.Helper()
	store := adapter.OpenStore(f.Platform, nil)
	defer store.Close()
	a := applier.New(store)
	current, err := a.Current(context.Background(), configService)
	if err != nil {
		return applier.Result{}, err
	}
	document, err := applier.DocumentOf(current)
	if err != nil {
		return applier.Result{}, err
	}
	document.Deadline, err = duration(millis)
	if err != nil {
		return applier.Result{}, err
	}
	return a.Apply(context.Background(), applier.Request{Document: document, Author: author, Reason: "test", Base: base})
}

func duration(millis int) (decoder.Duration, error) {
	var d decoder.Duration
	err := json.Unmarshal(fmt.Appendf(nil, `"%dms"`, millis), &d)
	return d, err
}

func TestConfigurationInForce(t *testing.T) {
	f := StartFleet(t, FleetConfig{Organisation: "kitanoiri", HostsPerDomain: 1})
	f.waitRevision(t, 1)

	t.Run("the response to a change is lost", func(t *testing.T) {
		is := is.New(t)
		f.SetFaults(t, `{"loseAnswers": 2}`)
		result, err := f.applyDeadline(t, 601, "first", 1)
		is.NoErr(err)
		is.Equal(result.Envelope.Revision, uint64(2))
		f.waitRevision(t, 2)
	})
	t.Run("concurrent changes", func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		accepted, conflicts := 0, 0
		var workers sync.WaitGroup
		for n := range 4 {
			workers.Go(func() {
				_, err := f.applyDeadline(t, 610+n, fmt.Sprint("operator-", n), 2)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					accepted++
				case classifier.CodeOf(err, 0) == classifier.ConfigConflict:
					conflicts++
				default:
					t.Error(err)
				}
			})
		}
		workers.Wait()
		is.Equal(accepted, 1)
		is.Equal(conflicts, 3)
		f.waitRevision(t, 3)
	})
	t.Run("each past revision is in the history", func(t *testing.T) {
		is := is.New(t)
		list, err := applier.New(f.Store).History(context.Background(), configService)
		is.NoErr(err)
		is.Equal(len(list), 3)
	})
	t.Run("stale reads", func(t *testing.T) {
		f.SetFaults(t, `{"staleReads": true}`)
		defer f.SetFaults(t, `{}`)
		host := f.Hosts[0].Name
		f.Agents[host].Stop(t)
		f.StartAgent(t, host)
		f.waitRevision(t, 3) // a restarted agent that lists stale objects must not revert the revision
	})
	t.Run("restart during a platform outage", func(t *testing.T) {
		is := is.New(t)
		f.SetFaults(t, `{"status": 503}`)
		defer f.SetFaults(t, `{}`)
		host := f.Hosts[1].Name
		is.Equal(f.Entries[host].Stop(t), int(exiter.OK))
		f.StartEntry(t, host)
		f.WaitReady(t, host)
		is.Equal(f.Agents[host].Stop(t), int(exiter.OK))
		f.StartAgent(t, host)
		f.waitRevision(t, 3)
	})
	t.Run("agent stopped", func(t *testing.T) {
		is := is.New(t)
		host := f.Hosts[2].Name
		is.Equal(f.Agents[host].Stop(t), int(exiter.OK))
		_, err := f.applyDeadline(t, 650, "last", publisher.AnyRevision)
		is.NoErr(err)
		f.waitRevision(t, 4) // the entry reads from the agent of another host
	})
}

func TestApplyTwice(t *testing.T) {
	is := is.New(t)
	f := StartFleet(t, FleetConfig{Organisation: "kitanoiri", HostsPerDomain: 1})
	file := filepath.Join(f.Dir, "declarations.jsonc")
	again := Start(t, "apply", "rhubarbpost", "config", "apply", file, "--platform", f.Platform, "--detailedExit")
	is.Equal(again.Wait(t), int(exiter.OK)) // the exit code for no change
	is.True(strings.Contains(again.Logs(), "0 of 4 services changed"))
	dry := Start(t, "dry", "rhubarbpost", "config", "apply", filepath.Join(moduleDir(t), "examples"),
		"--platform", f.Platform, "--dryRun", "--detailedExit")
	is.Equal(dry.Wait(t), int(exiter.Changed))
	is.True(strings.Contains(dry.Logs(), "portal"))
	_, err := f.Store.Get(context.Background(), configurer.ConfigPrefix+"portal")
	is.True(err != nil) // a dry run writes nothing
}

func TestUnauthenticatedPeer(t *testing.T) {
	is := is.New(t)
	f := StartFleet(t, FleetConfig{Organisation: "kitanoiri", HostsPerDomain: 1})
	f.waitRevision(t, 1)
	header := http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer wrong-key-wrong-key"}}
	body := `{"host":"x","objects":[{"key":"config/bay-console","version":"999","deleted":true}]}`
	status, _ := Send(f.Hosts[0].Agent, "/rhubarbpost.exchanger.v1.Control/Push", body, header)
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(f.revisionInForce(f.Hosts[0].Name), uint64(1))
}
