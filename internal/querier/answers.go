package querier

import (
	"encoding/json"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/gatherer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// complete merges the answers of the shards into the answer of the query and
// sends it to the caller, or a failure if no shard answered.
func (e *Engine) complete(a *gatherer.Complete) {
	p := e.removePending(a.Query)
	e.endExecution(a.Group)
	coverage := coverageOf(a.Codes)
	e.counters.Primary.Add(len(a.Codes))
	if coverage.ShardsCovered == 0 {
		p.replies <- reply{err: noCoverageFailure(a.Codes)}
		return
	}
	answer := &messenger.QueryAnswer{
		RequestID: p.request.RequestID,
		Service:   e.document.Service,
		Snapshot:  a.Layout.Snapshot,
		Code:      int(classifier.OK),
		Coverage:  coverage,
		Rows:      mergeRows(a.Codes, p.answers),
	}
	answer.RowCount = len(answer.Rows)
	e.counters.Latency.UpdateDuration(p.started)
	if coverage.ShardsCovered < coverage.ShardsTotal {
		answer.Code = int(classifier.PartialCoverage)
		e.counters.Partial.Inc()
	}
	p.replies <- reply{answer: answer}
}

func coverageOf(codes []classifier.Code) messenger.Coverage {
	coverage := messenger.Coverage{ShardsTotal: len(codes)}
	for shard, code := range codes {
		if code == classifier.OK {
			coverage.ShardsCovered++
			continue
		}
		coverage.Missing = append(coverage.Missing, messenger.MissingShard{
			Shard: shard, Code: int(code), Name: code.String(),
		})
	}
	return coverage
}

// noCoverageFailure returns the failure of a query that no shard answered. Its
// code means "not run" only if the code of every shard does.
func noCoverageFailure(codes []classifier.Code) *classifier.Failure {
	code := classifier.NoServer
	for _, c := range codes {
		code = classifier.WeakerGuarantee(code, c)
	}
	return classifier.NewFailure(code, "none of %d shards answered", len(codes)).WithRetryAfter(time.Second)
}

// mergeRows concatenates the rows of all covered shards in shard order.
func mergeRows(codes []classifier.Code, answers []*messenger.SubAnswer) []json.RawMessage {
	total := 0
	for shard, code := range codes {
		if code == classifier.OK {
			total += len(answers[shard].Rows)
		}
	}
	rows := make([]json.RawMessage, 0, total)
	for shard, code := range codes {
		if code == classifier.OK {
			rows = append(rows, answers[shard].Rows...)
		}
	}
	return rows
}

func (e *Engine) refuse(a *gatherer.Refuse) {
	p := e.removePending(a.Query)
	e.counters.Refused.Inc()
	p.replies <- reply{err: a.Failure}
}

func (e *Engine) removePending(query uint64) *pendingQuery {
	p := e.pending[query]
	delete(e.pending, query)
	return p
}
