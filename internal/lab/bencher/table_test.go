package bencher

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/querier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

var write = flag.Bool("write", false, "write docs/BENCHMARKS.md")

const (
	tableQueries = 5000
	tableFile    = "../../../docs/BENCHMARKS.md"
	tableHead    = `# Benchmarks

Written by ` + "`go test ./internal/lab/bencher -run TestTable -write -timeout 60m`" + `; virtual time, seed %d,
%d queries a run, the documents of ` + "`examples/`" + `. 20 shards, 2 searchers of 2 slots each, log-normal
service time (median 8 ms, sigma 0.4), 9 entries, 25 connections a searcher, 6 ms for a new one; but for
"calm", 1%% of the requests take ten times as long. Answers count from 2 s after the fault. "in turn" is
the plain baseline (replicas in turn, no hedge, no admission); "bound" knows all service times beforehand
and has no network. Times in ms. Extra load is sub-requests sent over those that the answered queries
need, less 1: it includes what refused and partial queries have cost. A refused query got its answer at
once, with when to come back. The goals stand in ` + "`internal/lab/bencher/_fixtures/bounds.jsonc`" + `.

| service | load | fault | policy | p50 | p99 | p99.9 | coverage mean | least | extra load | refused | goodput /s |
|---|---|---|---|---|---|---|---|---|---|---|---|
`
)

var tableFaults = []Fault{NoFault, Stragglers, SlowShard, SlowReplica, ReplicaLost, DomainPartitioned, VersionSwitch, Repartition, Drain}

// tableServices returns the services with tableShards shards, one for each example
// configuration. The other tests run all four services.
func tableServices() []queryService {
	var list []queryService
	for _, u := range queryServices {
		if u.shards == tableShards {
			list = append(list, u)
		}
	}
	return list
}

const tableShards = 20

// row holds the table lines of one run, and their position in the table.
type row struct {
	index int
	text  string
}

// TestTable writes the table of all runs; it has no checks except those of measure.
func TestTable(t *testing.T) {
	if !*write {
		t.Skip("writes docs/BENCHMARKS.md under -write")
	}
	rows := make(chan row, 1024)
	index := 0
	t.Run("runs", func(t *testing.T) {
		for _, u := range tableServices() {
			for _, percent := range []int{30, 60, 80, 120} {
				for _, fault := range tableFaults {
					index++
					position := index
					t.Run(fmt.Sprint(u.name, percent, fault), func(t *testing.T) {
						t.Parallel()
						rows <- row{index: position, text: rowsOf(t, u, percent, fault)}
					})
				}
			}
		}
	})
	close(rows)
	texts := make([]string, index+1)
	for r := range rows {
		texts[r.index] = r.text
	}
	text := fmt.Sprintf(tableHead, testSeed, tableQueries) + strings.Join(texts, "") + placements(t)
	err := os.WriteFile(tableFile, []byte(text), 0o600)
	if err != nil {
		t.Fatal(err)
	}
}

func rowsOf(t *testing.T, u queryService, percent int, fault Fault) string {
	t.Helper()
	load := float64(percent) / 100
	text := ""
	if percent <= 100 && (fault == NoFault || fault == Stragglers) {
		bound := LowerBound(u.scenario(t, load, fault, querier.Tuning{}))
		text += fmt.Sprintf("| %s | %d%% | %s | bound | %s | %s | %s | | | | | |\n", u.name, percent, fault,
			millis(bound.ValueAtQuantile(50)), millis(bound.ValueAtQuantile(99)), millis(bound.ValueAtQuantile(99.9)))
	}
	text += rowOf(t, u.name, percent, fault, "in turn", u.scenario(t, load, fault, baseline))
	return text + rowOf(t, u.name, percent, fault, "as configured", u.scenario(t, load, fault, querier.Tuning{}))
}

func rowOf(t *testing.T, name string, percent int, fault Fault, policy string, s Scenario) string {
	t.Helper()
	s.Queries = tableQueries
	r := measure(t, s)
	return fmt.Sprintf("| %s | %d%% | %s | %s | %s | %s | %s | %.4f | %.2f | %.1f%% | %d | %.0f |\n",
		name, percent, fault, policy, millis(r.Latency.ValueAtQuantile(50)), millis(r.Latency.ValueAtQuantile(99)),
		millis(r.Latency.ValueAtQuantile(99.9)), r.CoverageMean, r.CoverageMin, 100*r.ExtraLoad, r.Refused, r.Goodput)
}

func millis(micros int64) string {
	return fmt.Sprintf("%.1f", float64(micros)/float64(time.Millisecond/time.Microsecond))
}

// placements returns the table that compares the placements of a shard's queue,
// and the carriers (HTTP/1 and HTTP/2).
func placements(t *testing.T) string {
	t.Helper()
	text := `
## Where a shard's queue stands, and the carrier

1% stragglers; all else as above. "owner killed" kills one entry, "owner frozen" stops one for good.

| service | load | placement | carrier | fault | p50 | p99 | p99.9 | coverage mean | extra load | refused |
|---|---|---|---|---|---|---|---|---|---|---|
`
	for _, u := range tableServices() {
		for _, percent := range []int{30, 60, 80} {
			for _, placement := range []configurer.Placement{configurer.PlacementDirect, configurer.PlacementOwner} {
				for _, carrier := range []configurer.Carrier{configurer.CarrierHTTP1, configurer.CarrierHTTP2} {
					text += placementRow(t, u, percent, placement, carrier, Stragglers)
				}
			}
			for _, fault := range []Fault{OwnerKilled, OwnerFrozen} {
				text += placementRow(t, u, percent, configurer.PlacementOwner, configurer.CarrierHTTP2, fault)
			}
		}
	}
	return text
}

func placementRow(t *testing.T, u queryService, percent int, placement configurer.Placement, carrier configurer.Carrier, fault Fault) string {
	t.Helper()
	s := u.scenario(t, float64(percent)/100, fault, querier.Tuning{})
	s.Document.Query.Placement, s.Document.Carrier = placement, carrier
	s.Queries = tableQueries
	r := measure(t, s)
	return fmt.Sprintf("| %s | %d%% | %s | %s | %s | %s | %s | %s | %.4f | %.1f%% | %d |\n", u.name, percent, placement, carrier, fault,
		millis(r.Latency.ValueAtQuantile(50)), millis(r.Latency.ValueAtQuantile(99)), millis(r.Latency.ValueAtQuantile(99.9)),
		r.CoverageMean, 100*r.ExtraLoad, r.Refused)
}
