package authenticator

import (
	"context"
	"crypto/subtle"
	"errors"
	"strings"

	"connectrpc.com/connect"
)

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

var errUnauthorized = errors.New("sender has no valid key")

// Authenticator is a connect interceptor that sends the first of its keys and
// accepts any of them.
type Authenticator struct {
	keys []string
}

// New returns an interceptor; clients send the first key.
func New(keys []string) *Authenticator {
	return &Authenticator{keys: keys}
}

// Accepts reports whether the value of an Authorization header contains an accepted key.
func (a *Authenticator) Accepts(value string) bool {
	sent, ok := strings.CutPrefix(value, bearerPrefix)
	if !ok {
		return false
	}
	accepted := 0
	for _, key := range a.keys {
		accepted |= subtle.ConstantTimeCompare([]byte(sent), []byte(key))
	}
	return accepted == 1
}

// WrapUnary adds the key to requests of clients and checks it in handlers.
func (a *Authenticator) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			request.Header().Set(authorizationHeader, bearerPrefix+a.keys[0])
			return next(ctx, request)
		}
		if !a.Accepts(request.Header().Get(authorizationHeader)) {
			return nil, connect.NewError(connect.CodeUnauthenticated, errUnauthorized)
		}
		return next(ctx, request)
	}
}

// WrapStreamingClient adds the key to streams of clients.
func (a *Authenticator) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set(authorizationHeader, bearerPrefix+a.keys[0])
		return conn
	}
}

// WrapStreamingHandler checks the key of streams in handlers.
func (a *Authenticator) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if !a.Accepts(conn.RequestHeader().Get(authorizationHeader)) {
			return connect.NewError(connect.CodeUnauthenticated, errUnauthorized)
		}
		return next(ctx, conn)
	}
}
