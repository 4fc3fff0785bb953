package comparer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/keeper"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// peer answers comparisons from a keeper without a network.
type peer struct {
	exchangerconnect.ControlClient

	keeper *keeper.Keeper
}

func (p peer) Compare(_ context.Context, r *connect.Request[exchanger.CompareRequest]) (*connect.Response[exchanger.CompareResponse], error) {
	response := connect.NewResponse(Answer(p.keeper, r.Msg))
	SetAge(response.Header(), time.Second)
	return response, nil
}

// TestLargeObjectIsNotHeldBackBySmallOnes changes small objects before each
// comparison, while a large one that is older waits.
func TestLargeObjectIsNotHeldBackBySmallOnes(t *testing.T) {
	is := is.New(t)
	theirs, ours := keeper.New(), keeper.New()
	theirs.Merge([]storer.Object{{Key: "config/main", Version: 1, Value: make([]byte, 2*maxExchangeBytes)}})
	version := uint64(1)
	for range 3 {
		for i := range 20 {
			version++
			theirs.Merge([]storer.Object{{Key: fmt.Sprint("servers/", i), Version: version, Value: []byte("small")}})
		}
		fetched, err := Fetch(context.Background(), peer{keeper: theirs}, "h", ours)
		is.NoErr(err)
		ours.Merge(fetched.Newer)
		_, held := ours.Get("config/main")
		is.True(held) // with the first comparison
	}
}

// TestWholeIsSaidOnlyIfNothingIsLeftOut fetches until both sides are equal.
func TestWholeIsSaidOnlyIfNothingIsLeftOut(t *testing.T) {
	is := is.New(t)
	theirs, ours := keeper.New(), keeper.New()
	for i := range uint64(3) {
		theirs.Merge([]storer.Object{{Key: fmt.Sprint("k", i), Version: i + 1, Value: make([]byte, maxExchangeBytes-100)}})
	}
	for i := range 3 {
		fetched, err := Fetch(context.Background(), peer{keeper: theirs}, "h", ours)
		is.NoErr(err)
		is.True(fetched.Known)
		is.Equal(fetched.Age, time.Second)
		is.Equal(len(fetched.Newer), 1)
		is.Equal(fetched.Whole, i == 2)
		ours.Merge(fetched.Newer)
	}
	fetched, err := Fetch(context.Background(), peer{keeper: theirs}, "h", ours)
	is.NoErr(err)
	is.True(fetched.Whole)
	is.Equal(len(fetched.Newer), 0)
}
