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
	own     string
	service string
	names   []string
	clients []exchangerconnect.ShardsClient
}

// newPeers returns the other entries that the settings list, named by their
// control addresses.
func newPeers(service string, settings loader.Settings, client *http.Client) *peers {
	p := &peers{own: settings.Control, service: service}
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

// Own returns the control address of this entry.
func (p *peers) Own() string { return p.own }

// Names returns the control addresses of the other entries.
func (p *peers) Names() []string { return p.names }

// Ask requests shards from the owner at index peer of Names and passes each
// message of the response to receive.
func (p *peers) Ask(ctx context.Context, peer int, ask querier.PeerAsk, receive func(querier.PeerAnswer)) error {
	request := &exchanger.AskRequest{
		Service: p.service, RequestId: ask.RequestID, Snapshot: ask.Snapshot,
		ShardCount: uint32(ask.ShardCount), Query: ask.Query, Weight: uint32(ask.Weight),
		RemainingMicros: time.Until(ask.Deadline).Microseconds(),
	}
	for _, shard := range ask.Shards {
		request.Shards = append(request.Shards, uint32(shard))
	}
	stream, err := p.clients[peer].Ask(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		receive(fromMessage(ask, stream.Msg()))
	}
	return stream.Err()
}

func fromMessage(ask querier.PeerAsk, m *exchanger.AskResponse) querier.PeerAnswer {
	answer := querier.PeerAnswer{
		Acknowledged: m.GetAcknowledged(), Shard: int(m.GetShard()), Code: classifier.Code(m.GetCode()),
		Wait: time.Duration(m.GetWaitMicros()) * time.Microsecond, Load: m.GetLoad(),
	}
	if answer.Code != classifier.OK {
		return answer
	}
	answer.Answer = &messenger.SubAnswer{
		RequestID: ask.RequestID, Snapshot: ask.Snapshot, Shard: answer.Shard, Shards: ask.ShardCount,
		RowCount: int(m.GetRowCount()), Rows: make([]json.RawMessage, len(m.GetRows())),
	}
	for i, row := range m.GetRows() {
		answer.Answer.Rows[i] = row
	}
	return answer
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
	ask := querier.PeerAsk{
		RequestID: m.GetRequestId(), Snapshot: m.GetSnapshot(), ShardCount: int(m.GetShardCount()), Query: m.GetQuery(),
		Weight:   int(m.GetWeight()),
		Deadline: time.Now().Add(time.Duration(m.GetRemainingMicros()) * time.Microsecond),
	}
	for _, shard := range m.GetShards() {
		if shard >= m.GetShardCount() {
			return connect.NewError(connect.CodeInvalidArgument, classifier.NewFailure(classifier.InvalidRequest, "shard %d", shard))
		}
		ask.Shards = append(ask.Shards, int(shard))
	}
	err := queries.engine.ServePeer(ctx, ask, func(answer querier.PeerAnswer) error {
		return stream.Send(toMessage(answer))
	})
	if err != nil {
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return nil
}

func toMessage(answer querier.PeerAnswer) *exchanger.AskResponse {
	m := &exchanger.AskResponse{
		Acknowledged: answer.Acknowledged, Shard: uint32(answer.Shard), Code: int32(answer.Code),
		WaitMicros: answer.Wait.Microseconds(), Load: answer.Load,
	}
	if answer.Answer == nil {
		return m
	}
	m.RowCount = uint32(answer.Answer.RowCount)
	for _, row := range answer.Answer.Rows {
		m.Rows = append(m.Rows, row)
	}
	return m
}
