package comparer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/keeper"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// maxExchangeBytes bounds a message, save for a single object that is larger.
const maxExchangeBytes = 256 << 10

// Answer answers a digest, or the versions of the buckets that differ.
func Answer(k *keeper.Keeper, request *exchanger.CompareRequest) *exchanger.CompareResponse {
	if len(request.GetBuckets()) > 0 {
		return answerVersions(k, request)
	}
	digest, count := k.Digest()
	response := &exchanger.CompareResponse{Equal: digest == request.GetDigest() && uint32(count) == request.GetCount()}
	if !response.Equal {
		response.BucketDigests = k.BucketDigests()
	}
	return response
}

func answerVersions(k *keeper.Keeper, request *exchanger.CompareRequest) *exchanger.CompareResponse {
	buckets := make([]int, len(request.GetBuckets()))
	for i, bucket := range request.GetBuckets() {
		buckets[i] = int(bucket)
	}
	theirs := make(map[string]uint64, len(request.GetVersions()))
	for _, v := range request.GetVersions() {
		theirs[v.GetKey()] = v.GetVersion()
	}
	own := k.Versions(buckets)
	response := &exchanger.CompareResponse{}
	for key, version := range theirs {
		if version > own[key] {
			response.Wanted = append(response.Wanted, key)
		}
	}
	// What does not fit is left for the next comparison.
	response.Newer = exchanger.ToMessages(Batches(k.Newer(buckets, theirs))[0])
	return response
}

// Fetch asks a peer for what is newer than the objects held, and returns that
// and the keys of which this side holds a newer version.
func Fetch(ctx context.Context, client exchangerconnect.ControlClient, host string, k *keeper.Keeper) (newer []storer.Object, wanted []string, err error) {
	digest, count := k.Digest()
	first, err := client.Compare(ctx, connect.NewRequest(&exchanger.CompareRequest{
		Host: host, Digest: digest, Count: uint32(count),
	}))
	if err != nil || first.Msg.GetEqual() {
		return nil, nil, err
	}
	second, err := client.Compare(ctx, connect.NewRequest(versionsFor(k, host, first.Msg.GetBucketDigests())))
	if err != nil {
		return nil, nil, err
	}
	return exchanger.FromMessages(second.Msg.GetNewer()), second.Msg.GetWanted(), nil
}

func versionsFor(k *keeper.Keeper, host string, digests []uint64) *exchanger.CompareRequest {
	buckets := k.Differing(digests)
	request := &exchanger.CompareRequest{Host: host}
	for _, bucket := range buckets {
		request.Buckets = append(request.Buckets, uint32(bucket))
	}
	for key, version := range k.Versions(buckets) {
		request.Versions = append(request.Versions, &exchanger.KeyVersion{Key: key, Version: version})
	}
	return request
}

// Batches splits objects so that no message is larger than the limit, save for
// a single object that is; there is at least one batch.
func Batches(objects []storer.Object) [][]storer.Object {
	var list [][]storer.Object
	start, size := 0, 0
	for i, object := range objects {
		size += len(object.Key) + len(object.Value)
		if size > maxExchangeBytes && i > start {
			list = append(list, objects[start:i])
			start, size = i, len(object.Key)+len(object.Value)
		}
	}
	return append(list, objects[start:])
}
