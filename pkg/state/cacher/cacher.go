package cacher

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

// Cache is a concurrent cache of the newest object received for each key.
type Cache struct {
	mu      sync.RWMutex
	objects map[string]storer.Object
	digests [Buckets]uint64
	// stale counts the objects that Merge ignored because they were out of date.
	stale uint64
	// complete holds, by prefix, the version up to which all changes have been merged.
	complete map[string]storer.Version
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{objects: make(map[string]storer.Object), complete: make(map[string]storer.Version)}
}

// Merge stores each object that is newer than the one held and returns the stored ones.
// It ignores an object of a key that is not held if SetComplete covers its version: the
// object was removed from the store.
func (c *Cache) Merge(objects []storer.Object) []storer.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newer []storer.Object
	for _, object := range objects {
		held, ok := c.objects[object.Key]
		if !ok && !object.Deleted && object.Version <= completeVersion(c.complete, object.Key) {
			// All changes up to this version are merged, so the object has been removed
			// from the store; a peer may still send it.
			c.stale++
			continue
		}
		if ok && !isReplacedBy(held, object) {
			c.countStale(held, object)
			continue
		}
		if ok {
			c.toggleDigest(held)
		}
		c.toggleDigest(object)
		c.objects[object.Key] = object
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

// SetComplete records that all changes under a prefix up to a version have been merged.
func (c *Cache) SetComplete(prefix string, version storer.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete[prefix] = max(c.complete[prefix], version)
}

// CompleteVersions returns, by prefix, the version up to which all changes have been merged.
func (c *Cache) CompleteVersions() map[string]storer.Version {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return maps.Clone(c.complete)
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

// RemoveAbsent takes the keys of objects that a peer lacks and, by prefix, the version
// up to which that peer has merged all changes. A held object that is neither deleted
// nor newer than the version for its key must have been removed from the store; it is
// removed here and returned as deleted at that version. The keys of the other held
// objects are returned as rest.
func (c *Cache) RemoveAbsent(keys []string, complete map[string]storer.Version) (removed []storer.Object, rest []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range keys {
		held, ok := c.objects[key]
		if !ok {
			continue
		}
		upTo := completeVersion(complete, key)
		if held.Version > upTo || held.Deleted {
			rest = append(rest, key)
			continue
		}
		c.toggleDigest(held)
		delete(c.objects, key)
		removed = append(removed, storer.Object{Key: key, Version: upTo, Deleted: true})
	}
	return removed, rest
}

// MissingFrom returns the objects held under a prefix that a list of the store lacks, as
// deleted at the version of the list; objects newer than the list are left out.
func (c *Cache) MissingFrom(prefix string, page storer.Page) []storer.Object {
	listed := make(map[string]bool, len(page.Objects))
	for _, object := range page.Objects {
		listed[object.Key] = true
	}
	var deleted []storer.Object
	for _, object := range c.List(prefix) {
		if !listed[object.Key] && !object.Deleted && object.Version <= page.Version {
			deleted = append(deleted, storer.Object{Key: object.Key, Version: page.Version, Deleted: true})
		}
	}
	return deleted
}

// toggleDigest adds an object to the digest of its bucket or, called again, removes it.
func (c *Cache) toggleDigest(object storer.Object) {
	c.digests[Bucket(object.Key)] ^= fingerprint(object.Key, object.Version)
}

// Bucket returns the bucket of a key.
func Bucket(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

func (c *Cache) countStale(held, object storer.Object) {
	if held.Version > object.Version {
		c.stale++
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

// Get returns the newest object of a key, or false if there is none or it is deleted.
func (c *Cache) Get(key string) (storer.Object, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	object, ok := c.objects[key]
	return object, ok && !object.Deleted
}

// Newest returns the newest object of a key, deleted or not, or false if there is none.
func (c *Cache) Newest(key string) (storer.Object, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	object, ok := c.objects[key]
	return object, ok
}

// List returns the objects under a prefix, including deleted ones, in the order of their keys.
func (c *Cache) List(prefix string) []storer.Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var list []storer.Object
	for key, object := range c.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, object)
		}
	}
	slices.SortFunc(list, func(a, b storer.Object) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// Versions returns the version of each key held in the given buckets.
func (c *Cache) Versions(buckets []int) map[string]storer.Version {
	wanted := bucketSet(buckets)
	c.mu.RLock()
	defer c.mu.RUnlock()
	versions := make(map[string]storer.Version)
	for key, object := range c.objects {
		if wanted[Bucket(key)] {
			versions[key] = object.Version
		}
	}
	return versions
}

// Newer returns the objects of the given buckets that are newer than the given versions
// or whose keys are absent from them.
func (c *Cache) Newer(buckets []int, versions map[string]storer.Version) []storer.Object {
	wanted := bucketSet(buckets)
	c.mu.RLock()
	defer c.mu.RUnlock()
	var list []storer.Object
	for key, object := range c.objects {
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
func (c *Cache) Digest() (hash uint64, count int) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for i, digest := range c.digests {
		hash ^= bits.RotateLeft64(digest, i%64)
	}
	return hash, len(c.objects)
}

// BucketDigests returns the digest of each bucket.
func (c *Cache) BucketDigests() []uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.digests[:])
}

// Differing returns the buckets whose digests differ from the given ones.
func (c *Cache) Differing(digests []uint64) []int {
	own := c.BucketDigests()
	var buckets []int
	for i := range own {
		if i >= len(digests) || digests[i] != own[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// StaleCount returns the number of objects that were ignored because they were out of date.
func (c *Cache) StaleCount() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.stale
}
