package querier

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

// event is an input of the loop goroutine.
type event interface{ querierEvent() }

type queryArrived struct {
	pending *pendingQuery
}

type callerDisconnected struct {
	pending *pendingQuery
}

type attemptAnswered struct {
	attempt uint64
	server  int
	answer  *messenger.SubAnswer
}

type attemptFailed struct {
	attempt  uint64
	server   int
	snapshot uint64
	failure  *classifier.Failure
	// status is the server status in a rejection, or nil.
	status *messenger.ServerStatus
}

type serverProbed struct {
	server int
	status messenger.ServerStatus
	// at is the time at which the probe was sent.
	at time.Time
}

type serversListed struct {
	servers []messenger.Server
}

type reconfigured struct {
	document configurer.Document
}

// peerRequested is a request of another entry (a process that serves callers) for
// shards that this entry owns.
type peerRequested struct {
	batch *batch
}

// peerCanceled reports that the requesting entry has disconnected or stopped
// reading the stream.
type peerCanceled struct {
	batch *batch
}

// peerResponded is a message from the owner of shards that this entry requested.
type peerResponded struct {
	// group identifies the execution, peer is the index of the owner in Peers.Names.
	group    uint64
	peer     int
	response PeerResponse
}

// peerFailed reports that the response stream of an owner ended with an error.
type peerFailed struct {
	group uint64
	peer  int
}

type statusRequested struct {
	replies chan messenger.ServiceStatus
}

func (*queryArrived) querierEvent()       {}
func (*callerDisconnected) querierEvent() {}
func (*attemptAnswered) querierEvent()    {}
func (*attemptFailed) querierEvent()      {}
func (*serverProbed) querierEvent()       {}
func (*serversListed) querierEvent()      {}
func (*reconfigured) querierEvent()       {}
func (*peerRequested) querierEvent()      {}
func (*peerCanceled) querierEvent()       {}
func (*peerResponded) querierEvent()      {}
func (*peerFailed) querierEvent()         {}
func (*statusRequested) querierEvent()    {}
