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

// objects answers each comparison with as many like objects.
type objects struct {
	exchangerconnect.UnimplementedControlHandler

	n int
}

func (o objects) Compare(context.Context, *connect.Request[exchanger.CompareRequest]) (*connect.Response[exchanger.CompareResponse], error) {
	response := &exchanger.CompareResponse{}
	for range o.n {
		response.Newer = append(response.Newer, &exchanger.Object{Key: "servers/i-1", Value: bytes.Repeat([]byte("entry "), 20)})
	}
	return connect.NewResponse(response), nil
}

// recorder notes how the last answer was encoded on the wire.
type recorder struct {
	encoding string
}

// RoundTrip passes a request on.
func (r *recorder) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(request)
	if err == nil {
		r.encoding = response.Header.Get("Content-Encoding")
	}
	return response, err
}

// TestOnlyLargeAnswersAreCompressed asks for the list of a fleet, and for the
// little that has changed since.
func TestOnlyLargeAnswersAreCompressed(t *testing.T) {
	for n, encoding := range map[int]string{2: "", 500: compression} {
		is := is.New(t)
		mux := http.NewServeMux()
		mux.Handle(exchangerconnect.NewControlHandler(objects{n: n}, HandlerOptions(nil)))
		server := httptest.NewServer(mux)
		wire := &recorder{}
		client := exchangerconnect.NewControlClient(&http.Client{Transport: wire}, server.URL, ClientOptions(nil))
		response, err := client.Compare(context.Background(), connect.NewRequest(&exchanger.CompareRequest{}))
		is.NoErr(err)
		is.Equal(len(response.Msg.GetNewer()), n)
		is.Equal(wire.encoding, encoding)
		server.Close()
	}
}
