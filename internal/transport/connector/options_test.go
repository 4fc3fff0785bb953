package connector

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
)

// compareHandler answers each comparison with n identical objects.
type compareHandler struct {
	exchangerconnect.UnimplementedControlHandler

	n int
}

func (o compareHandler) Compare(context.Context, *connect.Request[exchanger.CompareRequest]) (*connect.Response[exchanger.CompareResponse], error) {
	response := &exchanger.CompareResponse{}
	for range o.n {
		response.Newer = append(response.Newer, &exchanger.Object{Key: "servers/i-1", Value: bytes.Repeat([]byte("entry "), 20)})
	}
	return connect.NewResponse(response), nil
}

// encodingRecorder records the Content-Encoding of the last response.
type encodingRecorder struct {
	encoding string
}

// RoundTrip sends a request by the default transport.
func (r *encodingRecorder) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(request)
	if err == nil {
		r.encoding = response.Header.Get("Content-Encoding")
	}
	return response, err
}

// TestOnlyLargeResponsesAreCompressed fetches as many objects as a whole fleet
// has, and as few as change between two comparisons.
func TestOnlyLargeResponsesAreCompressed(t *testing.T) {
	for n, encoding := range map[int]string{2: "", 500: compression} {
		is := is.New(t)
		mux := http.NewServeMux()
		mux.Handle(exchangerconnect.NewControlHandler(compareHandler{n: n}, HandlerOptions(nil)))
		server := httptest.NewServer(mux)
		wire := &encodingRecorder{}
		client := exchangerconnect.NewControlClient(&http.Client{Transport: wire}, server.URL, ClientOptions(nil))
		response, err := client.Compare(context.Background(), connect.NewRequest(&exchanger.CompareRequest{}))
		is.NoErr(err)
		is.Equal(len(response.Msg.GetNewer()), n)
		is.Equal(wire.encoding, encoding)
		server.Close()
	}
}
