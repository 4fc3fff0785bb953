package keeper

import (
	"maps"
	"math/bits"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// Buckets is the number of buckets of the key space; each has its own digest.
const Buckets = 256

// Keeper is a concurrent cache of the newest object received for each key.
type Keeper struct {
	mu      sync.RWMutex
	objects map[string]storer.Object
	digests [Buckets]uint64
	stale   uint64
	// complete holds, by prefix, the version up to which all changes have been merged.
	complete map[string]storer.Version
}

// New returns an empty cache.
func New() *Keeper {
	return &Keeper{objects: make(map[string]storer.Object), complete: make(map[string]storer.Version)}
}

// Merge stores each object that is newer than the one held and returns the stored ones.
func (k *Keeper) Merge(objects []storer.Object) []storer.Object {
	k.mu.Lock()
	defer k.mu.Unlock()
	var newer []storer.Object
	for _, object := range objects {
		held, ok := k.objects[object.Key]
		if !ok && !object.Deleted && object.Version <= completeVersion(k.complete, object.Key) {
			// All changes up to this version are merged, so the object has been removed
			// from the store; a peer may still send it.
			k.stale++
			continue
		}
		if ok && !isReplacedBy(held, object) {
			k.countStale(held, object)
			continue
		}
		if ok {
			k.toggleDigest(held)
		}
		k.toggleDigest(object)
		k.objects[object.Key] = object
		newer = append(newer, object)
	}
	return newer
}

// isReplacedBy reports whether an object replaces the one held; a removal may have
// the same version as the last write.
func isReplacedBy(held, object storer.Object) bool {
	if held.Version == object.Version {
		return object.Deleted && !held.Deleted
	}
	return held.Version < object.Version
}

// Complete records that all changes under a prefix up to a version have been merged.
func (k *Keeper) Complete(prefix string, version storer.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.complete[prefix] = max(k.complete[prefix], version)
}

// CompleteTo returns, by prefix, the version up to which all changes have been merged.
func (k *Keeper) CompleteTo() map[string]storer.Version {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return maps.Clone(k.complete)
}

// completeVersion returns the version up to which all changes of a key have been merged.
func completeVersion(complete map[string]storer.Version, key string) storer.Version {
	var newest storer.Version
	for prefix, version := range complete {
		if strings.HasPrefix(key, prefix) {
			newest = max(newest, version)
		}
	}
	return newest
}

// Drop takes keys of objects that a peer lacks, and the versions up to which that
// peer has merged all changes, by prefix. It removes the objects up to that version,
// which must have been removed from the store, and returns them as deleted at that
// version, with the keys of the other objects held.
func (k *Keeper) Drop(keys []string, complete map[string]storer.Version) (removed []storer.Object, rest []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range keys {
		held, ok := k.objects[key]
		if !ok {
			continue
		}
		upTo := completeVersion(complete, key)
		if held.Version > upTo || held.Deleted {
			rest = append(rest, key)
			continue
		}
		k.toggleDigest(held)
		delete(k.objects, key)
		removed = append(removed, storer.Object{Key: key, Version: upTo, Deleted: true})
	}
	return removed, rest
}

// Missing returns the objects held under a prefix that a list of the store lacks, as
// deleted at the version of the list; objects newer than the list are left out.
func (k *Keeper) Missing(prefix string, page storer.Page) []storer.Object {
	listed := make(map[string]bool, len(page.Objects))
	for _, object := range page.Objects {
		listed[object.Key] = true
	}
	var deleted []storer.Object
	for _, object := range k.List(prefix) {
		if !listed[object.Key] && !object.Deleted && object.Version <= page.Version {
			deleted = append(deleted, storer.Object{Key: object.Key, Version: page.Version, Deleted: true})
		}
	}
	return deleted
}

// toggleDigest adds an object to the digest of its bucket or, called again, removes it.
func (k *Keeper) toggleDigest(object storer.Object) {
	k.digests[Bucket(object.Key)] ^= fingerprint(object.Key, object.Version)
}

// Bucket returns the bucket of a key.
func Bucket(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

func (k *Keeper) countStale(held, object storer.Object) {
	if held.Version > object.Version {
		k.stale++
	}
}

// fingerprint returns a hash of key and version; the digest of a bucket is the
// exclusive or of the fingerprints of its objects.
func fingerprint(key string, version storer.Version) uint64 {
	var buf [8]byte
	for i := range buf {
		buf[i] = byte(version >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write(buf[:])
	return d.Sum64()
}

// Get returns the newest object of a key that is not deleted.
func (k *Keeper) Get(key string) (storer.Object, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	object, ok := k.objects[key]
	return object, ok && !object.Deleted
}

// Newest returns the newest object of a key, which may be deleted.
func (k *Keeper) Newest(key string) (storer.Object, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	object, ok := k.objects[key]
	return object, ok
}

// List returns the objects under a prefix, including deleted ones, in the order of their keys.
func (k *Keeper) List(prefix string) []storer.Object {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var list []storer.Object
	for key, object := range k.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, object)
		}
	}
	slices.SortFunc(list, func(a, b storer.Object) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Versions returns the version of each key held in the given buckets.
func (k *Keeper) Versions(buckets []int) map[string]storer.Version {
	wanted := bucketSet(buckets)
	k.mu.RLock()
	defer k.mu.RUnlock()
	versions := make(map[string]storer.Version)
	for key, object := range k.objects {
		if wanted[Bucket(key)] {
			versions[key] = object.Version
		}
	}
	return versions
}

// Newer returns the objects of the given buckets that are newer than the given versions.
func (k *Keeper) Newer(buckets []int, versions map[string]storer.Version) []storer.Object {
	wanted := bucketSet(buckets)
	k.mu.RLock()
	defer k.mu.RUnlock()
	var list []storer.Object
	for key, object := range k.objects {
		if wanted[Bucket(key)] && object.Version > versions[key] {
			list = append(list, object)
		}
	}
	return list
}

func bucketSet(buckets []int) [Buckets]bool {
	var set [Buckets]bool
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < Buckets {
			set[bucket] = true
		}
	}
	return set
}

// Digest returns a hash of all keys and versions held, and the number of objects.
func (k *Keeper) Digest() (hash uint64, count int) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	for i, digest := range k.digests {
		hash ^= bits.RotateLeft64(digest, i%64)
	}
	return hash, len(k.objects)
}

// BucketDigests returns the digest of each bucket.
func (k *Keeper) BucketDigests() []uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return slices.Clone(k.digests[:])
}

// Differing returns the buckets whose digests differ from the given ones.
func (k *Keeper) Differing(digests []uint64) []int {
	own := k.BucketDigests()
	var buckets []int
	for i := range own {
		if i >= len(digests) || digests[i] != own[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// Stale returns the number of objects that were ignored because they were out of date.
func (k *Keeper) Stale() uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.stale
}
