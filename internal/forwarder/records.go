package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

const (
	// recordsPath is where a host exchanges the records of requests under which servers have
	// ended, verdictsPath where operators see and change them.
	recordsPath  = "/records"
	verdictsPath = "/verdicts"
	// recordTimeout limits a message with records.
	recordTimeout = 100 * time.Millisecond
	// recordInterval is how often a host compares its records with those of a partner,
	// firstRecordInterval that until one has answered.
	recordInterval      = 500 * time.Millisecond
	firstRecordInterval = 100 * time.Millisecond
	// maxRecordBytes bounds a message with records, several times one of full records.
	maxRecordBytes = 1 << 20
	// maxVerdictBytes bounds a list for operators.
	maxVerdictBytes = 16 << 20
)

// recordsMessage has changed records, or asks for those that differ from the sender's.
type recordsMessage struct {
	Records decoder.List[vetter.Record] `json:"records,omitzero"`
	// Digest asks whether all records are the same, Summary for those that differ.
	Digest  *uint64        `json:"digest,omitempty"`
	Summary vetter.Summary `json:"summary"`
}

// recordsAnswer is the answer to a recordsMessage.
type recordsAnswer struct {
	// Known means that the answering host knows the evidence in the store.
	Known bool `json:"known,omitempty"`
	// Equal means that both hosts have the same records.
	Equal   bool                        `json:"equal"`
	Records decoder.List[vetter.Record] `json:"records,omitzero"`
	// Wanted are the requests of which the answering host lacks the sender's records.
	Wanted decoder.List[vetter.Fingerprint] `json:"wanted,omitzero"`
}

// verdictMessage is a decision of an operator.
type verdictMessage struct {
	Fingerprint vetter.Fingerprint `json:"fingerprint"`
	// Decision is "lift" or "pin".
	Decision string `json:"decision"`
}

// Verdict is what a host knows of a request under which servers have ended.
type Verdict struct {
	vetter.Record

	Verdict string `json:"verdict"`
}

// decisions are the decisions of operators by name.
var decisions = map[string]vetter.Kind{"lift": vetter.Lifted, "pin": vetter.Pinned}

// serveRecords answers a message with records of another host.
func (f *Forwarder) serveRecords(w http.ResponseWriter, r *http.Request) {
	message, err := decoder.Body[recordsMessage](r.Body, maxRecordBytes)
	if err != nil {
		f.cfg.Logger.Warn(logger.RecordsRejected, "peer", r.RemoteAddr, "error", err)
		http.Error(w, fmt.Sprintf("not a message with records: %v", err), http.StatusBadRequest)
		return
	}
	answer, err := callVetter(r.Context(), f.engine, func(now time.Time, v *vetter.Vetter) (answer recordsAnswer) {
		f.mergeRecords(now, v, r.RemoteAddr, message.Records)
		answer.Known = f.engine.archive.Known()
		switch {
		case message.Digest != nil:
			answer.Equal = *message.Digest == v.Digest()
		case message.Summary != nil:
			records, wanted := v.Compare(now, message.Summary)
			answer.Records, answer.Wanted = decoder.NewList(records), decoder.NewList(wanted)
		}
		return answer
	})
	answerJSON(w, answer, err)
}

// mergeRecords merges records of another host and logs those that can't be used.
func (f *Forwarder) mergeRecords(now time.Time, v *vetter.Vetter, peer string, records decoder.List[vetter.Record]) {
	for _, err := range slices.Concat(records.Rejected, v.Merge(now, records.Elements)) {
		f.cfg.Logger.Warn(logger.RecordsRejected, "peer", peer, "error", err)
	}
}

// serveVerdicts lists the requests under which servers have ended.
func (f *Forwarder) serveVerdicts(w http.ResponseWriter, r *http.Request) {
	verdicts, err := callVetter(r.Context(), f.engine, func(now time.Time, v *vetter.Vetter) []Verdict {
		verdicts := []Verdict{}
		for _, record := range v.All(now) {
			verdicts = append(verdicts, Verdict{Record: record, Verdict: v.Judge(now, record.Fingerprint).String()})
		}
		return verdicts
	})
	answerJSON(w, verdicts, err)
}

// serveDecision applies a decision of an operator, which then spreads to all hosts.
func (f *Forwarder) serveDecision(w http.ResponseWriter, r *http.Request) {
	message, err := decoder.Body[verdictMessage](r.Body, maxRecordBytes)
	kind, ok := decisions[message.Decision]
	if err != nil || !ok {
		http.Error(w, fmt.Sprintf("decision %q (allowed: lift, pin), error %v", message.Decision, err), http.StatusBadRequest)
		return
	}
	f.cfg.Logger.Warn(logger.VerdictDecided, "fingerprint", message.Fingerprint, "decision", message.Decision, "by", r.RemoteAddr)
	_, err = callVetter(r.Context(), f.engine, func(now time.Time, v *vetter.Vetter) vetter.Fingerprint {
		v.Decide(now, message.Fingerprint, kind)
		return message.Fingerprint
	})
	answerJSON(w, message, err)
}

// FetchVerdicts returns what the host at a control address knows of requests under which servers
// have ended.
func FetchVerdicts(ctx context.Context, address string) ([]Verdict, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+verdictsPath, http.NoBody)
	if err != nil {
		return nil, err
	}
	return callJSON[[]Verdict](http.DefaultClient, r, maxVerdictBytes)
}

// DecideVerdict has the host at a control address apply an operator's decision, "lift" or
// "pin", which then spreads to all hosts.
func DecideVerdict(ctx context.Context, address string, f vetter.Fingerprint, decision string) error {
	_, err := postJSON[verdictMessage](ctx, http.DefaultClient, "http://"+address+verdictsPath, verdictMessage{Fingerprint: f, Decision: decision}, maxRecordBytes)
	return err
}

// sendRecords sends changed records to other hosts, which send on what is new to them.
func (f *Forwarder) sendRecords(ctx context.Context, records []vetter.Record) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var sends sync.WaitGroup
	for _, host := range vetter.Targets(random, f.self(), f.knownHosts()) {
		sends.Go(func() {
			_, err := f.exchangeRecords(ctx, host.Address, recordsMessage{Records: decoder.NewList(records)})
			if err != nil {
				f.cfg.Logger.Debug(logger.RecordsUnsent, "peer", host.Name, "records", len(records), "error", err)
			}
		})
	}
	sends.Wait()
}

// knownHosts returns the listed hosts, the seeds while this host isn't listed.
func (f *Forwarder) knownHosts() []delegator.Host {
	name := f.Settings().Name
	hosts := f.delegate.listedHosts()
	if slices.ContainsFunc(hosts, func(h delegator.Host) bool { return h.Name == name }) {
		return hosts
	}
	return f.seedHosts()
}

// exchangeRecords sends a message with records to another host.
func (f *Forwarder) exchangeRecords(ctx context.Context, address string, message recordsMessage) (recordsAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	answer, err := postJSON[recordsAnswer](ctx, f.tokens.client, "http://"+address+recordsPath, message, maxRecordBytes)
	f.metrics.recordCall(err)
	return answer, err
}

// compareRecords compares the records of this host with those of its partners until ctx is
// done, so that a host also learns what it has missed while it was down or partitioned.
func (f *Forwarder) compareRecords(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		interval := firstRecordInterval
		partners := vetter.Partners(f.self(), f.knownHosts())
		for i := range partners {
			err := f.compareRecordsWith(ctx, partners[(turn+i)%len(partners)].Address)
			if err == nil {
				if f.engine.evidenceKnown.Load() {
					interval = recordInterval
				}
				break
			}
		}
		sleeper.Sleep(ctx, interval)
	}
}

// compareRecordsWith gets the records in which a partner differs, and sends it those that it
// lacks.
func (f *Forwarder) compareRecordsWith(ctx context.Context, address string) error {
	digest, err := callVetter(ctx, f.engine, func(_ time.Time, v *vetter.Vetter) uint64 { return v.Digest() })
	if err != nil {
		return err
	}
	answer, err := f.exchangeRecords(ctx, address, recordsMessage{Digest: &digest})
	if err != nil {
		return err
	}
	if answer.Equal {
		return f.learnEvidence(ctx, answer)
	}
	summary, err := callVetter(ctx, f.engine, func(_ time.Time, v *vetter.Vetter) vetter.Summary { return v.Summary() })
	if err != nil {
		return err
	}
	answer, err = f.exchangeRecords(ctx, address, recordsMessage{Summary: summary})
	if err != nil {
		return err
	}
	records, err := callVetter(ctx, f.engine, func(now time.Time, v *vetter.Vetter) []vetter.Record {
		f.mergeRecords(now, v, address, answer.Records)
		return v.Records(now, answer.Wanted.Elements)
	})
	if err != nil {
		return err
	}
	if len(records) > 0 {
		_, err = f.exchangeRecords(ctx, address, recordsMessage{Records: decoder.NewList(records)})
		if err != nil {
			return err
		}
	}
	return f.learnEvidence(ctx, answer)
}

// learnEvidence records that this host knows the evidence in the store if a partner does, whose records
// it has merged. A full message leaves some for the next comparison.
func (f *Forwarder) learnEvidence(ctx context.Context, answer recordsAnswer) error {
	if !answer.Known || len(answer.Records.Elements) >= vetter.FullMessage || f.engine.evidenceKnown.Load() {
		return nil
	}
	_, err := callVetter(ctx, f.engine, func(time.Time, *vetter.Vetter) struct{} {
		f.engine.knowEvidence()
		return struct{}{}
	})
	return err
}
