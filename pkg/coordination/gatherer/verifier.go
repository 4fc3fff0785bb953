package gatherer

import (
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// Verify returns a failure if the answer does not echo the fields of its sub-request
// or if the number of its rows is not RowCount.
func Verify(request *messenger.SubQuery, answer *messenger.SubAnswer) *classifier.Failure {
	echoed := answer.RequestID == request.RequestID && answer.Attempt == request.Attempt &&
		answer.Shard == request.Shard && answer.Shards == request.Shards
	if !echoed {
		return classifier.NewFailure(classifier.EchoMismatch, "request %s attempt %d shard %d of %d",
			answer.RequestID, answer.Attempt, answer.Shard, answer.Shards)
	}
	if answer.Snapshot != request.Snapshot {
		return classifier.NewFailure(classifier.EchoMismatch, "snapshot %d for %d", answer.Snapshot, request.Snapshot)
	}
	if answer.RowCount != len(answer.Rows) {
		return classifier.NewFailure(classifier.ShortBody, "%d rows of %d", len(answer.Rows), answer.RowCount)
	}
	return nil
}
