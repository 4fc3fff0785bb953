package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/loader"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/internal/querier"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// peers connects to the engines of one service in the other entries.
type peers struct {
	self    string
	service string
	names   []string
	clients []exchangerconnect.ShardsClient
}

// newPeers returns the peers of a service: all entries that the settings list under
// hosts but this one, each named by its control address.
func newPeers(service string, settings loader.Settings, client *http.Client) *peers {
	p := &peers{self: settings.Control, service: service}
	options := connector.ClientOptions(settings.Keys)
	for _, host := range settings.Hosts {
		if host.Entry == settings.Control {
			continue
		}
		p.names = append(p.names, host.Entry)
		p.clients = append(p.clients, exchangerconnect.NewShardsClient(client, "http://"+host.Entry, options))
	}
	return p
}

// Self returns the control address of this entry.
func (p *peers) Self() string { return p.self }

// Names returns the control addresses of the other entries.
func (p *peers) Names() []string { return p.names }

// RequestShards requests shards from the owner at index peer of Names and passes
// each message of the response to receive.
func (p *peers) RequestShards(ctx context.Context, peer int, request querier.PeerRequest, receive func(querier.PeerResponse)) error {
	message := &exchanger.AskRequest{
		Service: p.service, RequestId: request.RequestID, Snapshot: request.Snapshot,
		ShardCount: uint32(request.ShardCount), Query: request.Query, Weight: uint32(request.Weight),
		RemainingMicros: time.Until(request.Deadline).Microseconds(),
	}
	for _, shard := range request.Shards {
		message.Shards = append(message.Shards, uint32(shard))
	}
	stream, err := p.clients[peer].Ask(ctx, connect.NewRequest(message))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		receive(fromMessage(request, stream.Msg()))
	}
	return stream.Err()
}

func fromMessage(request querier.PeerRequest, m *exchanger.AskResponse) querier.PeerResponse {
	response := querier.PeerResponse{
		Acknowledged: m.GetAcknowledged(), Shard: int(m.GetShard()), Code: classifier.Code(m.GetCode()),
		Wait: time.Duration(m.GetWaitMicros()) * time.Microsecond, Load: m.GetLoad(),
	}
	if response.Code != classifier.OK {
		return response
	}
	response.Answer = &messenger.SubAnswer{
		RequestID: request.RequestID, Snapshot: request.Snapshot, Shard: response.Shard, Shards: request.ShardCount,
		RowCount: int(m.GetRowCount()), Rows: make([]json.RawMessage, len(m.GetRows())),
	}
	for i, row := range m.GetRows() {
		response.Answer.Rows[i] = row
	}
	return response
}

var errNoSuchService = errors.New("no such query service here")

// Ask runs the sub-requests of another entry for shards that this entry owns and
// streams the results.
func (r *Receiver) Ask(ctx context.Context, request *connect.Request[exchanger.AskRequest], stream *connect.ServerStream[exchanger.AskResponse]) error {
	m := request.Msg
	queries, ok := r.service(m.GetService()).(*queryService)
	if !ok {
		return connect.NewError(connect.CodeNotFound, errNoSuchService)
	}
	if m.GetShardCount() > planner.MaxShards || len(m.GetShards()) > int(m.GetShardCount()) {
		return connect.NewError(connect.CodeInvalidArgument, classifier.NewFailure(classifier.InvalidRequest, "shards"))
	}
	peerRequest := querier.PeerRequest{
		RequestID: m.GetRequestId(), Snapshot: m.GetSnapshot(), ShardCount: int(m.GetShardCount()), Query: m.GetQuery(),
		Weight:   int(m.GetWeight()),
		Deadline: time.Now().Add(time.Duration(m.GetRemainingMicros()) * time.Microsecond),
	}
	for _, shard := range m.GetShards() {
		if shard >= m.GetShardCount() {
			return connect.NewError(connect.CodeInvalidArgument, classifier.NewFailure(classifier.InvalidRequest, "shard %d", shard))
		}
		peerRequest.Shards = append(peerRequest.Shards, int(shard))
	}
	err := queries.engine.ServePeer(ctx, peerRequest, func(response querier.PeerResponse) error {
		return stream.Send(toMessage(response))
	})
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return nil
}

func toMessage(response querier.PeerResponse) *exchanger.AskResponse {
	m := &exchanger.AskResponse{
		Acknowledged: response.Acknowledged, Shard: uint32(response.Shard), Code: int32(response.Code),
		WaitMicros: response.Wait.Microseconds(), Load: response.Load,
	}
	if response.Answer == nil {
		return m
	}
	m.RowCount = uint32(response.Answer.RowCount)
	for _, row := range response.Answer.Rows {
		m.Rows = append(m.Rows, row)
	}
	return m
}
