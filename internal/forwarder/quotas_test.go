package forwarder

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/rationer"
)

// TestAsksAtTheSameTimeShareTheSettings guards against answers that write to the list of failure
// domains in the settings, which all of them read.
func TestAsksAtTheSameTimeShareTheSettings(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{metrics: newCounters(), delegate: newDelegate(Config{}), quotas: newQuotas(rationer.Rule{})}
	defer f.quotas.close()
	domains := append(make([]string, 0, 4), "d2", "d3")
	f.settings.Store(&Settings{Name: "h", Domain: "d1", Quota: Quota{Domains: domains}})
	var asks sync.WaitGroup
	for range 4 {
		asks.Go(func() {
			subject := rationer.Subject{Organisation: "o", Version: 1, Quota: rationer.Quota{Rate: 1, Burst: 1}}
			f.keepBucket(context.Background(), false, quotaMessage{Ask: &rationer.Ask{Subject: subject}})
		})
	}
	asks.Wait()
	is.True(!slices.Contains(domains[:cap(domains)], "d1"))
}
