package forwarder

import (
	"context"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// awaitTurn waits until the host has room for a request, or returns why it is refused.
func (*Forwarder) awaitTurn(context.Context, *arrival) *classifier.Failure { return nil }

// endTurn frees the room of a request; it does nothing for one without a turn.
func (*Forwarder) endTurn(*arrival) {}
