package connector

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/authenticator"
)

const (
	compression     = "gzip"
	maxMessageBytes = 8 << 20
	// compressMinBytes leaves the messages of every second alone, for which
	// compression costs more than it saves; what a host that has just started
	// gets is some hundred kilobytes.
	compressMinBytes = 8 << 10
)

// ClientOptions returns the options of all clients of own processes: the key,
// and answers that may be compressed.
func ClientOptions(keys []string) connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithInterceptors(interceptors(keys)...),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
}

// HandlerOptions returns the options of all handlers of own processes.
func HandlerOptions(keys []string) connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithInterceptors(interceptors(keys)...),
		connect.WithCompression(compression, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(compressMinBytes),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
}

func newDecompressor() connect.Decompressor {
	return &gzip.Reader{}
}

func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		return gzip.NewWriter(io.Discard)
	}
	return w
}

// interceptors returns the check of the keys; without keys the network alone
// keeps others out.
func interceptors(keys []string) []connect.Interceptor {
	if len(keys) == 0 {
		return nil
	}
	return []connect.Interceptor{authenticator.New(keys)}
}
