package exchanger

import (
	"fmt"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// NewestEra returns the newest era among the objects, which becomes the era of a
// message that carries them. The era counts how often the store was restored from an
// older copy; it is part of each version.
func NewestEra(objects []storer.Object) uint64 {
	var newest storer.Version
	for _, o := range objects {
		newest = max(newest, o.Version)
	}
	return newest.Era()
}

// NewestEraOf returns the newest era among the versions of keys.
func NewestEraOf(versions map[string]storer.Version) uint64 {
	var newest storer.Version
	for _, version := range versions {
		newest = max(newest, version)
	}
	return newest.Era()
}

// EncodeObjects converts objects to their wire form, which has for each object the
// number of eras between its own and that of the message; no object may be of a newer era.
func EncodeObjects(objects []storer.Object, era uint64) []*Object {
	messages := make([]*Object, len(objects))
	for i, o := range objects {
		messages[i] = &Object{
			Key: o.Key, Version: o.Version.Revision(), ErasBehind: era - o.Version.Era(), Value: o.Value, Deleted: o.Deleted,
		}
	}
	return messages
}

// DecodeObjects converts objects from their wire form in a message of the given era. An
// object whose version is out of range is left out, for which it returns an error.
func DecodeObjects(messages []*Object, era uint64) (objects []storer.Object, rejected []error) {
	for _, m := range messages {
		version, err := storer.NewVersion(era-m.GetErasBehind(), m.GetVersion())
		if err != nil {
			rejected = append(rejected, fmt.Errorf("object %q: %w", m.GetKey(), err))
			continue
		}
		objects = append(objects, storer.Object{Key: m.GetKey(), Version: version, Value: m.GetValue(), Deleted: m.GetDeleted()})
	}
	return objects, rejected
}

// EncodeVersions converts the versions of keys to their wire form for a message of the
// given era; no version may be of a newer era.
func EncodeVersions(versions map[string]storer.Version, era uint64) []*KeyVersion {
	messages := make([]*KeyVersion, 0, len(versions))
	for key, version := range versions {
		messages = append(messages, &KeyVersion{Key: key, Version: version.Revision(), ErasBehind: era - version.Era()})
	}
	return messages
}

// DecodeVersions converts the versions of keys from their wire form in a message of the
// given era; it returns an error if one is out of range.
func DecodeVersions(messages []*KeyVersion, era uint64) (map[string]storer.Version, error) {
	versions := make(map[string]storer.Version, len(messages))
	for _, m := range messages {
		version, err := storer.NewVersion(era-m.GetErasBehind(), m.GetVersion())
		if err != nil {
			return nil, err
		}
		versions[m.GetKey()] = version
	}
	return versions, nil
}
