package forwarder

import (
	"context"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// spendQuota charges a request to the quota of its organisation, or returns why it is refused.
func (*Forwarder) spendQuota(context.Context, *arrival) *classifier.Failure { return nil }

// returnQuota gives back what a request that has not run was charged.
func (*Forwarder) returnQuota(*arrival) {}
