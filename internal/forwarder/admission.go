package forwarder

import (
	"context"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// admit charges a caller's request to the quota of its organisation and waits for its turn while
// the host is short of room, or returns why the request is refused. Requests of other hosts
// have been admitted there.
func (f *Forwarder) admit(ctx context.Context, a *arrival) *classifier.Failure {
	failure := f.spendQuota(ctx, a)
	if failure != nil {
		return failure
	}
	failure = f.awaitTurn(ctx, a)
	if failure != nil {
		f.returnQuota(a)
		return failure
	}
	failure = f.recheck(a)
	if failure != nil {
		f.endTurn(a)
		f.returnQuota(a)
	}
	return failure
}
