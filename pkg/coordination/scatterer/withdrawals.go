package scatterer

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// Withdrawn means that the key of a request's caller was taken away while the request was in flight.
type Withdrawn struct {
	Request uint64
}

func (*Withdrawn) scattererEvent() {}

// withdraw lets the attempts of a request end and sends no others. A request that no server may
// have run and that has no attempt outstanding is refused.
func (m *Machine) withdraw(now time.Time, r *request) {
	if r == nil || r.refusal != 0 {
		return
	}
	r.maxAttempts = 0
	if r.mayHaveRun || r.answeredCount > 0 {
		return
	}
	for i := range r.subRequests {
		if len(r.subRequests[i].outstanding) > 0 {
			return
		}
	}
	m.refuse(now, r, classifier.UnknownKey)
}
