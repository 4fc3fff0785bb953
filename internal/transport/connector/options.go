package connector

import (
	"compress/gzip"
	"io"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/authenticator"
)

const (
	compression = "gzip"
	// maxMessageBytes limits a received message.
	maxMessageBytes = 8 << 20
	// compressMinBytes excludes the small messages that are exchanged every second,
	// for which compression costs more than it saves. A host that has just started
	// receives several hundred kilobytes, which are compressed.
	compressMinBytes = 8 << 10
)

// ClientOptions returns the options of clients for calls between the system's own
// processes: the key, and a limit on responses. Responses may be compressed.
func ClientOptions(keys []string) connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithInterceptors(interceptors(keys)...),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
}

// HandlerOptions returns the options of handlers for calls between the system's
// own processes: the check of the key, compression, and a limit on requests.
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

// interceptors returns the authenticator of the keys. Without keys there is
// none, and only the network protects against other callers.
func interceptors(keys []string) []connect.Interceptor {
	if len(keys) == 0 {
		return nil
	}
	return []connect.Interceptor{authenticator.New(keys)}
}
