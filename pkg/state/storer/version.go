package storer

import (
	"fmt"
)

const (
	// revisionBits is the number of low bits that hold the revision; the era is in
	// the bits above.
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// Version orders the changes of the store, first by era and then by the revision
// within the era; the later version is the greater number.
//
// The era is a restore counter: it rises each time the store is restored from an
// older copy (a rewind). The revision then falls back to that of the copy, and the
// store assigns the same revisions again to other changes.
type Version uint64

// Absent is the version that a write requires if the object must not exist.
const Absent Version = 0

// NewVersion returns the version of a revision in an era, or an error if one of
// them is out of range.
func NewVersion(era, revision uint64) (Version, error) {
	if era > maxEra || revision > maxRevision {
		return Absent, fmt.Errorf("era %d and revision %d (allowed: up to %d and %d)", era, revision, uint64(maxEra), uint64(maxRevision))
	}
	return Version(era<<revisionBits | revision), nil
}

// Era returns the number of rewinds of the store before the change.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the revision within the era.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }

// String returns the era and the revision.
func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Era(), v.Revision()) }
