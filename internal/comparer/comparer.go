package comparer

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/cacher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// maxMessageBytes bounds the keys and values in a message; a larger object is sent alone.
const maxMessageBytes = 256 << 10

// Answer answers either call of a comparison: the first one has a digest of all
// objects, the second one the versions in the buckets whose digests differ. In the
// second answer, Equal means that no newer object was left out.
func Answer(cache *cacher.Cache, request *exchanger.CompareRequest) (*exchanger.CompareResponse, error) {
	if len(request.GetBuckets()) > 0 {
		return answerVersions(cache, request)
	}
	digest, count := cache.Digest()
	response := &exchanger.CompareResponse{Equal: digest == request.GetDigest() && uint32(count) == request.GetCount()}
	if !response.Equal {
		response.BucketDigests = cache.BucketDigests()
	}
	return response, nil
}

func answerVersions(cache *cacher.Cache, request *exchanger.CompareRequest) (*exchanger.CompareResponse, error) {
	buckets := make([]int, len(request.GetBuckets()))
	for i, bucket := range request.GetBuckets() {
		buckets[i] = int(bucket)
	}
	remote, err := exchanger.DecodeVersions(request.GetVersions(), request.GetEra())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	// CompleteVersions is called before Versions, so that local includes all changes up to
	// the versions in complete.
	complete := cache.CompleteVersions()
	local := cache.Versions(buckets)
	response := &exchanger.CompareResponse{}
	for key, version := range remote {
		if version > local[key] {
			response.Wanted = append(response.Wanted, key)
		}
	}
	// Objects beyond the size limit are left for the next comparison. The oldest
	// are sent first, so that a steady stream of small changes can't delay a large one.
	newer := cache.Newer(buckets, remote)
	slices.SortFunc(newer, func(a, b storer.Object) int { return cmp.Compare(a.Version, b.Version) })
	batches := Batches(newer)
	era := exchanger.NewestEra(batches[0])
	if len(response.Wanted) > 0 {
		era = max(era, exchanger.NewestEraOf(complete))
		response.Complete = exchanger.EncodeVersions(complete, era)
	}
	response.Newer, response.Era = exchanger.EncodeObjects(batches[0], era), era
	response.Equal = len(batches) == 1
	return response, nil
}

// ageHeader carries the time, in milliseconds, since the store last confirmed that the
// objects of the answering host are up to date.
const ageHeader = "X-Store-Age-Ms"

// maxAge bounds the age that a host may tell.
const maxAge = 30 * 24 * time.Hour

// SetAge sets the header with the time since the store last confirmed that the objects of
// the answering host are up to date.
func SetAge(h http.Header, age time.Duration) {
	h.Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
}

// notReadyHeader marks the answer of a host that considers itself partitioned and
// asks the balancer to send it no callers.
const notReadyHeader = "X-Host-Unfit"

// SetNotReady marks the answering host as not ready for callers.
func SetNotReady(h http.Header) {
	h.Set(notReadyHeader, "1")
}

// Comparison is the result of a comparison with a peer.
type Comparison struct {
	// Newer are the peer's objects that are newer than those of this host; Wanted are
	// the keys of this host's objects that are newer than those of the peer.
	Newer  []storer.Object
	Wanted []string
	// Rejected is why some of the peer's objects can't be read.
	Rejected []error
	// Complete is true if no newer object was left out because of the size limit.
	Complete bool
	// Age is the time since the store last confirmed that the objects of the peer are up
	// to date; it is valid only if AgeKnown is true.
	Age      time.Duration
	AgeKnown bool
	// NotReady is true if the peer is not ready, since it considers itself partitioned.
	NotReady bool
	// Deleted are the objects that, according to the peer, were deleted from the store;
	// they have been removed from the cache.
	Deleted []storer.Object
}

// Fetch compares the objects held with those of a peer. It returns the peer's newer
// ones without merging them, and removes those that were deleted from the store.
func Fetch(ctx context.Context, client exchangerconnect.ControlClient, host string, cache *cacher.Cache) (Comparison, error) {
	digest, count := cache.Digest()
	first, err := client.Compare(ctx, connect.NewRequest(&exchanger.CompareRequest{
		Host: host, Digest: digest, Count: uint32(count),
	}))
	if err != nil {
		return Comparison{}, err
	}
	var comparison Comparison
	millis, err := strconv.ParseInt(first.Header().Get(ageHeader), 10, 64)
	if err == nil && millis >= 0 && millis <= maxAge.Milliseconds() {
		comparison.Age, comparison.AgeKnown = time.Duration(millis)*time.Millisecond, true
	}
	comparison.NotReady = first.Header().Get(notReadyHeader) != ""
	if first.Msg.GetEqual() {
		comparison.Complete = true
		return comparison, nil
	}
	second, err := client.Compare(ctx, connect.NewRequest(newVersionsRequest(cache, host, first.Msg.GetBucketDigests())))
	if err != nil {
		return Comparison{}, err
	}
	comparison.Newer, comparison.Rejected = exchanger.DecodeObjects(second.Msg.GetNewer(), second.Msg.GetEra())
	complete, err := exchanger.DecodeVersions(second.Msg.GetComplete(), second.Msg.GetEra())
	if err != nil {
		return Comparison{}, err
	}
	comparison.Deleted, comparison.Wanted = cache.RemoveAbsent(second.Msg.GetWanted(), complete)
	comparison.Complete = second.Msg.GetEqual()
	return comparison, nil
}

func newVersionsRequest(cache *cacher.Cache, host string, digests []uint64) *exchanger.CompareRequest {
	buckets := cache.Differing(digests)
	request := &exchanger.CompareRequest{Host: host}
	for _, bucket := range buckets {
		request.Buckets = append(request.Buckets, uint32(bucket))
	}
	versions := cache.Versions(buckets)
	request.Era = exchanger.NewestEraOf(versions)
	request.Versions = exchanger.EncodeVersions(versions, request.Era)
	return request
}

// Batches splits objects into batches that fit in a message; an object above the size
// limit is a batch of its own. It returns at least one batch, which may be empty.
func Batches(objects []storer.Object) [][]storer.Object {
	var batches [][]storer.Object
	start, size := 0, 0
	for i, object := range objects {
		size += len(object.Key) + len(object.Value)
		if size > maxMessageBytes && i > start {
			batches = append(batches, objects[start:i])
			start, size = i, len(object.Key)+len(object.Value)
		}
	}
	return append(batches, objects[start:])
}
