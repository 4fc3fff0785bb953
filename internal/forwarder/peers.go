package forwarder

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/comparer"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// askInterval is how often a peer is asked while the store is away: a few
	// times within the bound on configuration.
	askInterval = 500 * time.Millisecond
	// askTimeout leaves time for another peer within the same bound.
	askTimeout = 400 * time.Millisecond
)

// control answers peers that ask for objects.
type control struct {
	exchangerconnect.UnimplementedControlHandler

	f *Forwarder
}

// Compare answers a digest, or the versions of the buckets that differ.
func (c control) Compare(_ context.Context, r *connect.Request[exchanger.CompareRequest]) (*connect.Response[exchanger.CompareResponse], error) {
	return connect.NewResponse(comparer.Answer(c.f.objects, r.Msg)), nil
}

// askPeers asks one peer after another for newer objects while the store is away.
func (f *Forwarder) askPeers(ctx context.Context) {
	client := connector.NewClient()
	defer client.CloseIdleConnections()
	for {
		sleep(ctx, askInterval)
		if ctx.Err() != nil {
			return
		}
		if f.lost.Load() == 0 {
			continue
		}
		peers := f.peers()
		if len(peers) > 0 {
			f.ask(ctx, client, peers[rand.IntN(len(peers))])
		}
	}
}

func (f *Forwarder) ask(ctx context.Context, client *http.Client, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peer := exchangerconnect.NewControlClient(client, "http://"+address, connector.ClientOptions(nil))
	newer, _, err := comparer.Fetch(ctx, peer, f.Settings().Name, f.objects)
	if err != nil || len(newer) > 0 {
		f.cfg.Logger.Info(logger.PeerAsked, "peer", address, "newer", len(newer), "error", err)
	}
	f.metrics.peerCall(err)
	if err != nil {
		return
	}
	f.take(newer, source{whole: f.holdsServers(newer), doubtful: true})
}

// holdsServers reports whether objects list a backend server.
func (f *Forwarder) holdsServers(objects []storer.Object) bool {
	for _, object := range objects {
		if len(object.Key) > len(f.cfg.Layout.ServerPrefix) && object.Key[:len(f.cfg.Layout.ServerPrefix)] == f.cfg.Layout.ServerPrefix {
			return true
		}
	}
	return false
}

// peers returns the control addresses of the other hosts known.
func (f *Forwarder) peers() []string {
	own := f.Settings().Listen.Control
	seen := map[string]bool{own: true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range f.Settings().Seeds {
		add(address)
	}
	for _, object := range f.objects.List(f.cfg.Layout.HostPrefix) {
		var m member
		if object.Deleted || json.Unmarshal(object.Value, &m) != nil {
			continue
		}
		add(m.Control)
	}
	return addresses
}
