package receiver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/orderer"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/ticketer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 256

// homeClients caches the clients to the homes of tickets by address. The home of
// a ticket is the entry that issued it, and only that entry runs its order.
type homeClients struct {
	httpClient *http.Client
	options    connect.ClientOption

	mu      sync.Mutex
	clients map[string]exchangerconnect.OrdersClient
}

func newHomeClients(client *http.Client, keys []string) *homeClients {
	return &homeClients{
		httpClient: client,
		options:    connector.ClientOptions(keys),
		clients:    make(map[string]exchangerconnect.OrdersClient),
	}
}

func (h *homeClients) client(address string) exchangerconnect.OrdersClient {
	h.mu.Lock()
	defer h.mu.Unlock()
	client, ok := h.clients[address]
	if !ok {
		client = exchangerconnect.NewOrdersClient(h.httpClient, "http://"+address, h.options)
		h.clients[address] = client
	}
	return client
}

// parseOrderRequest calls parseRequest and fails if the service is no order service.
func (r *Receiver) parseOrderRequest(w http.ResponseWriter, request *http.Request) (callerRequest, *orderService, *classifier.Failure) {
	c, failure := r.parseRequest(w, request)
	if failure != nil {
		return c, nil, failure
	}
	orders, ok := c.service.(*orderService)
	if !ok {
		return c, nil, classifier.NewFailure(classifier.InvalidRequest, "the service takes no orders")
	}
	return c, orders, nil
}

func (r *Receiver) serveTicket(w http.ResponseWriter, request *http.Request) {
	c, orders, failure := r.parseOrderRequest(w, request)
	if failure == nil && orders.document().Order.Policy != configurer.PolicyTicket {
		failure = classifier.NewFailure(classifier.InvalidRequest, "the service takes an %s header, not tickets", messenger.HeaderIdempotencyKey)
	}
	if failure != nil {
		r.refuse(w, c, failure)
		return
	}
	ticket, failure := orders.engine.Issue()
	if failure != nil {
		r.refuse(w, c, failure)
		return
	}
	text, err := r.signer.Sign(ticket)
	if err != nil {
		r.refuse(w, c, classifier.FailureOf(err, classifier.TicketInvalid))
		return
	}
	r.log.Debug(logger.TicketIssued, "requestId", c.requestID, "ticket", ticket.ID)
	listener.WriteJSON(w, http.StatusCreated, messenger.TicketAnswer{
		RequestID: c.requestID, Service: ticket.Service, Ticket: text,
		ExpiresInMillis: time.Until(ticket.Expires).Milliseconds(),
	})
}

func (r *Receiver) serveOrder(w http.ResponseWriter, request *http.Request) {
	c, orders, failure := r.parseOrderRequest(w, request)
	if failure != nil {
		r.refuse(w, c, failure)
		return
	}
	body, failure := listener.ReadBody[messenger.OrderRequest](request, maxBodyBytes)
	if failure == nil && len(body.Order) == 0 {
		failure = classifier.NewFailure(classifier.InvalidRequest, "body: field order: missing")
	}
	if failure != nil {
		r.refuse(w, c, failure)
		return
	}
	order := orderer.Order{RequestID: c.requestID, Caller: c.caller, Deadline: c.deadline, Body: body.Order}
	result, failure := r.submit(request, orders, body.Ticket, order)
	if failure != nil {
		r.refuse(w, c, failure)
		return
	}
	r.writeOrderAnswer(w, c, result)
}

// submit runs an order under the policy of its service: claim or ticket.
func (r *Receiver) submit(request *http.Request, orders *orderService, ticket string, order orderer.Order) (orderer.Result, *classifier.Failure) {
	if orders.document().Order.Policy == configurer.PolicyClaim {
		key := request.Header.Get(messenger.HeaderIdempotencyKey)
		if key == "" || len(key) > maxKeyBytes {
			return orderer.Result{}, classifier.NewFailure(classifier.ClaimKeyMissing, "header %s: 1 to %d bytes", messenger.HeaderIdempotencyKey, maxKeyBytes)
		}
		return orders.engine.SubmitClaim(request.Context(), key, order), nil
	}
	verified, err := r.signer.Verify(ticket)
	if err != nil {
		return orderer.Result{}, classifier.FailureOf(err, classifier.TicketInvalid)
	}
	if verified.Service != orders.document().Service {
		return orderer.Result{}, classifier.NewFailure(classifier.TicketInvalid, "the ticket is for service %q", verified.Service)
	}
	if verified.Home == r.cfg.Settings.Control {
		return orders.engine.SubmitTicket(request.Context(), verified, order), nil
	}
	return r.forward(request.Context(), verified, ticket, order), nil
}

// forward submits an order to the entry that issued its ticket. Any error of the
// call gives the code TicketHomeGone.
func (r *Receiver) forward(ctx context.Context, verified ticketer.Ticket, ticket string, order orderer.Order) orderer.Result {
	ctx, cancel := context.WithDeadline(ctx, order.Deadline)
	defer cancel()
	response, err := r.homes.client(verified.Home).Submit(ctx, connect.NewRequest(&exchanger.SubmitRequest{
		Service: verified.Service, Ticket: ticket, RequestId: order.RequestID, Order: order.Body,
		RemainingMillis: time.Until(order.Deadline).Milliseconds(),
	}))
	if err != nil {
		return orderer.Result{
			Result:  ticketer.Result{Code: classifier.TicketHomeGone, Detail: err.Error()},
			OrderID: verified.ID,
		}
	}
	return orderer.Result{
		Result: ticketer.Result{
			Code: classifier.Code(response.Msg.GetCode()), Detail: response.Msg.GetDetail(), Answer: response.Msg.GetResult(),
			RetryAfter: time.Duration(response.Msg.GetRetryAfterMillis()) * time.Millisecond,
		},
		OrderID: response.Msg.GetOrderId(),
	}
}

// Submit runs an order that another entry forwarded to this one, the home of its
// ticket.
func (r *Receiver) Submit(ctx context.Context, request *connect.Request[exchanger.SubmitRequest]) (*connect.Response[exchanger.SubmitResponse], error) {
	result := r.submitLocally(ctx, request.Msg)
	return connect.NewResponse(&exchanger.SubmitResponse{
		Code: int32(result.Code), Detail: result.Detail, OrderId: result.OrderID, Result: result.Answer,
		RetryAfterMillis: result.RetryAfter.Milliseconds(),
	}), nil
}

func (r *Receiver) submitLocally(ctx context.Context, request *exchanger.SubmitRequest) orderer.Result {
	verified, err := r.signer.Verify(request.GetTicket())
	if err != nil {
		return orderer.Result{Result: ticketer.Result{Code: classifier.TicketInvalid, Detail: err.Error()}}
	}
	orders, ok := r.service(verified.Service).(*orderService)
	if !ok || verified.Home != r.cfg.Settings.Control {
		return orderer.Result{Result: ticketer.Result{Code: classifier.TicketHomeGone, Detail: "not the home of the ticket"}}
	}
	remaining := time.Duration(request.GetRemainingMillis()) * time.Millisecond
	return orders.engine.SubmitTicket(ctx, verified, orderer.Order{
		RequestID: request.GetRequestId(), Caller: anonymousCaller, Deadline: time.Now().Add(remaining), Body: request.GetOrder(),
	})
}

func (r *Receiver) writeOrderAnswer(w http.ResponseWriter, c callerRequest, result orderer.Result) {
	outcome := result.Code.Definition().Outcome
	r.log.Debug(logger.OrderEnded, "requestId", c.requestID, "orderId", result.OrderID, "code", int(result.Code), "outcome", outcome)
	if outcome == classifier.Unknown {
		r.log.Warn(logger.OrderUnknown, "requestId", c.requestID, "orderId", result.OrderID, "code", int(result.Code), "detail", result.Detail)
	}
	if outcome != classifier.Done {
		failure := classifier.NewFailure(result.Code, "%s", result.Detail).WithRetryAfter(result.RetryAfter)
		listener.WriteFailure(w, c.requestID, failure)
		return
	}
	listener.WriteJSON(w, http.StatusOK, messenger.OrderAnswer{
		RequestID: c.requestID, Service: c.service.document().Service, OrderID: result.OrderID,
		Outcome: outcome.String(), Code: int(result.Code), Result: result.Answer,
	})
}
