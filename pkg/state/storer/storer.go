package storer

import (
	"context"
	"errors"
)

// Errors of the store.
var (
	// ErrNotFound means that there is no object with the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version differs from the one that the call requires.
	ErrConflict = errors.New("object version differs from the required one")
	// ErrUnavailable means that the call failed and certainly changed nothing.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrHistoryGone means that the store no longer keeps all changes after the
	// version of a watch, so that the objects have to be listed again.
	ErrHistoryGone = errors.New("platform no longer keeps the changes after the version of the watch")
	// ErrUnsettled means that a write may or may not have taken effect.
	ErrUnsettled = errors.New("no usable answer from the platform; the write may have taken effect")
)

// Object is one object of the store; a deleted one has no value.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
	Deleted bool    `json:"deleted,omitempty"`
}

// Page is the result of a list or watch: objects and the version of the whole store.
type Page struct {
	Objects []Object `json:"objects"`
	Version Version  `json:"version"`
	// Rejected is why some objects can't be read; they are missing from Objects.
	Rejected []error `json:"-"`
}

// Store is the platform's object API.
type Store interface {
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects under a prefix.
	List(ctx context.Context, prefix string) (Page, error)
	// Put writes a value if the object has the given version; with Absent it creates
	// the object.
	Put(ctx context.Context, key string, value []byte, version Version) (Object, error)
	// Delete removes an object if it has the given version.
	Delete(ctx context.Context, key string, version Version) error
	// Watch waits for changes under a prefix after a version and returns them; a page
	// without objects means that the wait ended without a change.
	Watch(ctx context.Context, prefix string, after Version) (Page, error)
}
