package presenter

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

const (
	// inspectTimeout limits the time to inspect all agents.
	inspectTimeout = time.Second
	// inspectConcurrency is the number of agents inspected simultaneously.
	inspectConcurrency = 64
)

// hostState is the state that the agent of a host reported, or the error of the call.
type hostState struct {
	Name   string
	Domain string
	Error  string
	State  *exchanger.InspectResponse
}

// serviceState is the accepted revision of a service. InForce counts the hosts that have
// it in force; Behind holds the others, including those whose agent did not answer.
type serviceState struct {
	Envelope configurer.Envelope
	Document configurer.Document
	InForce  int
	Hosts    int
	Behind   []hostState
}

// serveIndex shows each service with its accepted revision, the number of hosts that have
// it in force and the hosts that don't, and the state of each host.
func (p *presenter) serveIndex(w http.ResponseWriter, r *http.Request) {
	envelopes, err := p.cfg.Applier.List(r.Context())
	if err != nil {
		p.renderProblem(w, r, err)
		return
	}
	hosts := p.inspectAll(r.Context())
	states := make([]serviceState, 0, len(envelopes))
	for _, envelope := range envelopes {
		states = append(states, stateOf(envelope, hosts))
	}
	p.render(w, r, http.StatusOK, "index", "Services", struct {
		Services []serviceState
		Hosts    []hostState
	}{states, hosts})
}

func stateOf(envelope configurer.Envelope, hosts []hostState) serviceState {
	state := serviceState{Envelope: envelope, Hosts: len(hosts)}
	document, err := configurer.ParseOne("stored", envelope.Document)
	if err == nil {
		state.Document = document
	}
	for _, host := range hosts {
		if host.State.GetInForce()[document.Service] == envelope.Revision {
			state.InForce++
			continue
		}
		state.Behind = append(state.Behind, host)
	}
	return state
}

// inspectAll returns the state of all hosts, with a bounded number of concurrent calls.
func (p *presenter) inspectAll(ctx context.Context) []hostState {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	states := make([]hostState, len(p.agents))
	slots := make(chan struct{}, inspectConcurrency)
	var workers sync.WaitGroup
	for i, target := range p.agents {
		workers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			states[i] = inspect(ctx, target)
		})
	}
	workers.Wait()
	return states
}

func inspect(ctx context.Context, target agent) hostState {
	state := hostState{Name: target.host.Name, Domain: target.host.Domain}
	response, err := target.client.Inspect(ctx, connect.NewRequest(&exchanger.InspectRequest{}))
	if err != nil {
		state.Error = connect.CodeOf(err).String()
		return state
	}
	state.State = response.Msg
	return state
}
