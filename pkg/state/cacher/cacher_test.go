package cacher

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
	"pgregory.net/rapid"
)

// TestMergeKeepsTheGreatestVersion merges the same objects into two caches, into one
// of them in another order and repeatedly, and expects equal digests.
func TestMergeKeepsTheGreatestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) storer.Object {
			version := storer.Version(rapid.Uint64Range(1, 5).Draw(t, "version"))
			return storer.Object{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Version: version, Deleted: version%2 == 0}
		}), 1, 20).Draw(t, "objects")
		a, b := New(), New()
		a.Merge(objects)
		for _, object := range rapid.Permutation(objects).Draw(t, "order") {
			b.Merge([]storer.Object{object})
			b.Merge([]storer.Object{object})
		}
		hashA, countA := a.Digest()
		hashB, countB := b.Digest()
		if hashA != hashB || countA != countB || !slices.Equal(a.BucketDigests(), b.BucketDigests()) {
			t.Fatal("the caches differ")
		}
	})
}

func serverObject(t testing.TB, n int) storer.Object {
	t.Helper()
	value, err := json.Marshal(messenger.Server{
		ID: fmt.Sprint("bay-console-", n), Service: "bay-console", Address: "10.20.30.40:8080", Domain: "sapporo",
		State: messenger.ServerLive, Incarnation: uint64(n), Slots: 2,
		Holdings: []messenger.Holding{{Snapshot: 1, Shard: n, Shards: 400}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return storer.Object{Key: fmt.Sprint("servers/bay-console/bay-console-", n), Version: storer.Version(n), Value: value}
}

// BenchmarkMemory reports the memory that a cache needs for each object, by the
// number of objects.
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{1000, 10_000, 53_000} {
		b.Run(fmt.Sprint(count, "Objects"), func(b *testing.B) {
			before := heapBytes()
			c := New()
			for n := range count {
				c.Merge([]storer.Object{serverObject(b, n+1)})
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(count), "bytes/object")
			b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB")
			runtime.KeepAlive(c)
		})
	}
}

// heapBytes returns the size of the live heap after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func TestDifferingBucketsHoldTheDifference(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	for n := range 1000 {
		a.Merge([]storer.Object{serverObject(t, n+1)})
		b.Merge([]storer.Object{serverObject(t, n+1)})
	}
	is.Equal(len(a.Differing(b.BucketDigests())), 0)
	newer := serverObject(t, 17)
	newer.Version = 5000
	a.Merge([]storer.Object{newer})
	buckets := b.Differing(a.BucketDigests())
	is.Equal(buckets, []int{Bucket(newer.Key)})
	objects := a.Newer(buckets, b.Versions(buckets))
	is.Equal(len(objects), 1)
	is.Equal(objects[0].Key, newer.Key)
}

func TestMissingFromOmitsObjectsNewerThanTheList(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Merge([]storer.Object{
		{Key: "a/1", Version: 1}, {Key: "a/2", Version: 2}, {Key: "a/3", Version: 9}, {Key: "b/1", Version: 1},
		{Key: "a/4", Version: 3, Deleted: true},
	})
	missing := c.MissingFrom("a/", storer.Page{Version: 5, Objects: []storer.Object{{Key: "a/1", Version: 1}}})
	is.Equal(missing, []storer.Object{{Key: "a/2", Version: 5, Deleted: true}}) // a/3 is newer than the list
}

func TestRemovalWithTheVersionOfTheLastWrite(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Merge([]storer.Object{{Key: "a", Version: 4}})
	is.Equal(len(c.Merge([]storer.Object{{Key: "a", Version: 4, Deleted: true}})), 1)
	is.Equal(len(c.Merge([]storer.Object{{Key: "a", Version: 4}})), 0)
	_, ok := c.Get("a")
	is.True(!ok)
}

// TestRepeatedRemovalKeepsTheDigest removes the same key twice, as two
// simultaneous anti-entropy comparisons do; the second call must leave the digest
// unchanged.
func TestRepeatedRemovalKeepsTheDigest(t *testing.T) {
	is := is.New(t)
	c, empty := New(), New()
	c.Merge([]storer.Object{{Key: "servers/a", Version: 1}})
	complete := map[string]storer.Version{"servers/": 5}
	for _, want := range []int{1, 0} {
		removed, rest := c.RemoveAbsent([]string{"servers/a"}, complete)
		is.Equal(len(removed), want)
		is.Equal(len(rest), 0)
	}
	is.Equal(c.BucketDigests(), empty.BucketDigests())
}
