package forwarder

import (
	"net/http"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// identify sets the organisation of a request, or returns why its caller is refused.
func (*Forwarder) identify(*http.Request, *matcher.Table, *arrival) *classifier.Failure { return nil }
