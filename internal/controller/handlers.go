package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/rhubarbpost/rhubarbpost/internal/comparer"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/gossiper"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/queuer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// subscriber is a stream of changed objects to an entry.
type subscriber struct {
	queue  *queuer.Queue[[]storer.Object]
	cancel context.CancelFunc
}

// notifySubscribers queues newer objects for all subscribers. The stream of a
// subscriber whose queue is full is closed; it subscribes again and gets the
// full state.
func (c *Controller) notifySubscribers(objects []storer.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.subscribers {
		if !s.queue.TryPush(objects) {
			s.cancel()
		}
	}
}

// Subscribe streams all objects held, then every change.
func (c *Controller) Subscribe(ctx context.Context, _ *connect.Request[exchanger.SubscribeRequest], stream *connect.ServerStream[exchanger.SubscribeResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &subscriber{queue: queuer.New[[]storer.Object](subscriptionQueueCapacity), cancel: cancel}
	c.mu.Lock()
	c.subscribers[s] = struct{}{}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.subscribers, s)
		c.mu.Unlock()
	}()
	err := c.sendFullState(stream)
	for err == nil {
		select {
		case objects := <-s.queue.Items():
			message := subscribeResponse(objects)
			message.Whole = true
			err = stream.Send(message)
		case <-ctx.Done():
			return connect.NewError(connect.CodeAborted, ctx.Err())
		case <-c.ctx.Done():
			return connect.NewError(connect.CodeUnavailable, c.ctx.Err())
		}
	}
	return err
}

func (c *Controller) sendFullState(stream *connect.ServerStream[exchanger.SubscribeResponse]) error {
	var all []storer.Object
	for _, prefix := range gossipPrefixes {
		all = append(all, c.cache.List(prefix)...)
	}
	for start := 0; start < len(all); start += subscriptionBatchSize {
		err := stream.Send(subscribeResponse(all[start:min(start+subscriptionBatchSize, len(all))]))
		if err != nil {
			return err
		}
	}
	return stream.Send(&exchanger.SubscribeResponse{Whole: len(all) > 0})
}

func subscribeResponse(objects []storer.Object) *exchanger.SubscribeResponse {
	era := exchanger.NewestEra(objects)
	return &exchanger.SubscribeResponse{Objects: exchanger.EncodeObjects(objects, era), Era: era}
}

// Push accepts changed objects from a peer.
func (c *Controller) Push(ctx context.Context, r *connect.Request[exchanger.PushRequest]) (*connect.Response[exchanger.PushResponse], error) {
	c.reportContact(ctx, r.Msg.GetHost())
	objects, rejected := exchanger.DecodeObjects(r.Msg.GetObjects(), r.Msg.GetEra())
	for _, err := range rejected {
		c.cfg.Logger.Warn(logger.RegistrationRejected, "peer", r.Msg.GetHost(), "error", err)
	}
	c.merge(objects)
	return connect.NewResponse(&exchanger.PushResponse{}), nil
}

func (c *Controller) reportContact(ctx context.Context, host string) {
	_ = c.events.Push(ctx, &gossiper.PeerResponded{Name: host})
}

// gossiped returns the objects under the prefixes that agents gossip.
func gossiped(objects []storer.Object) []storer.Object {
	kept := make([]storer.Object, 0, len(objects))
	for _, object := range objects {
		for _, prefix := range gossipPrefixes {
			if strings.HasPrefix(object.Key, prefix) {
				kept = append(kept, object)
			}
		}
	}
	return kept
}

// Compare answers a peer that sends its digest, or the versions of its objects in the
// buckets whose digests differ.
func (c *Controller) Compare(ctx context.Context, r *connect.Request[exchanger.CompareRequest]) (*connect.Response[exchanger.CompareResponse], error) {
	c.reportContact(ctx, r.Msg.GetHost())
	response, err := comparer.Answer(c.cache, r.Msg)
	if err != nil {
		return nil, err
	}
	c.countSent(response.Newer)
	return connect.NewResponse(response), nil
}

// Acknowledge records the revisions that the entry on this host has in force;
// calls from other hosts are ignored.
func (c *Controller) Acknowledge(_ context.Context, r *connect.Request[exchanger.AcknowledgeRequest]) (*connect.Response[exchanger.AcknowledgeResponse], error) {
	if r.Msg.GetHost() == c.cfg.Self.Name {
		c.mu.Lock()
		c.inForce = r.Msg.GetRevisions()
		c.mu.Unlock()
	}
	return connect.NewResponse(&exchanger.AcknowledgeResponse{}), nil
}

// Inspect returns the state of the agent and of the entry on its host.
func (c *Controller) Inspect(context.Context, *connect.Request[exchanger.InspectRequest]) (*connect.Response[exchanger.InspectResponse], error) {
	return connect.NewResponse(&exchanger.InspectResponse{
		Host: c.cfg.Self.Name, Domain: c.cfg.Self.Domain,
		Held: c.heldRevisions(), InForce: c.InForce(), Watching: c.Watching(),
		StaleObjects: c.cache.StaleCount(), BytesSent: c.sentBytes.Load(),
	}), nil
}

// ServeMetrics writes the metrics of the agent.
func (c *Controller) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	watching := 0
	if c.Watching() {
		watching = 1
	}
	_, objects := c.cache.Digest()
	metrics.WriteGaugeUint64(w, "rhubarbpost_agent_watching", uint64(watching))
	metrics.WriteGaugeUint64(w, "rhubarbpost_agent_objects", uint64(objects))
	metrics.WriteCounterUint64(w, "rhubarbpost_agent_stale_objects_total", c.cache.StaleCount())
	metrics.WriteCounterUint64(w, "rhubarbpost_agent_sent_bytes_total", c.sentBytes.Load())
	for service, revision := range c.heldRevisions() {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("rhubarbpost_agent_revision{service=%q}", service), revision)
	}
	metrics.WriteProcessMetrics(w)
}

// heldRevisions returns the newest revision of each service that the agent holds.
func (c *Controller) heldRevisions() map[string]uint64 {
	revisions := make(map[string]uint64)
	for _, object := range c.cache.List(configurer.ConfigPrefix) {
		var envelope configurer.Envelope
		err := json.Unmarshal(object.Value, &envelope)
		if err != nil {
			c.cfg.Logger.Warn(logger.ServiceRejected, "key", object.Key, "error", err)
			continue
		}
		revisions[strings.TrimPrefix(object.Key, configurer.ConfigPrefix)] = envelope.Revision
	}
	return revisions
}
