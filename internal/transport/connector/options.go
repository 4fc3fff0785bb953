package connector

import (
	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/authenticator"
)

const (
	compression     = "gzip"
	maxMessageBytes = 8 << 20
)

// ClientOptions returns the options of all clients of own processes: the key,
// and no compression, which costs more than the small messages save.
func ClientOptions(keys []string) connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithInterceptors(interceptors(keys)...),
		connect.WithAcceptCompression(compression, nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
}

// HandlerOptions returns the options of all handlers of own processes.
func HandlerOptions(keys []string) connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithInterceptors(interceptors(keys)...),
		connect.WithCompression(compression, nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
}

// interceptors returns the check of the keys; without keys the network alone
// keeps others out.
func interceptors(keys []string) []connect.Interceptor {
	if len(keys) == 0 {
		return nil
	}
	return []connect.Interceptor{authenticator.New(keys)}
}
