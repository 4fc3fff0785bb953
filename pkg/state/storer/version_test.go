package storer

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestVersionsAreOrderedByEraFirst checks that the numeric order of versions is the
// order by era and then by revision.
func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() (era, revision uint64, version Version) {
			era = rapid.Uint64Range(0, maxEra).Draw(t, "era")
			revision = rapid.Uint64Range(0, maxRevision).Draw(t, "revision")
			version, err := NewVersion(era, revision)
			if err != nil || version.Era() != era || version.Revision() != revision {
				t.Fatalf("version %v of era %d, revision %d: %v", version, era, revision, err)
			}
			return era, revision, version
		}
		eraA, revisionA, a := draw()
		eraB, revisionB, b := draw()
		after := eraA > eraB || (eraA == eraB && revisionA > revisionB)
		if after != (a > b) {
			t.Fatalf("%v goes after %v: %v", a, b, after)
		}
	})
}

func TestVersionsOutOfRangeAreErrors(t *testing.T) {
	is := is.New(t)
	_, err := NewVersion(maxEra+1, 0)
	is.True(err != nil)
	_, err = NewVersion(0, maxRevision+1)
	is.True(err != nil)
	version, err := NewVersion(0, 7)
	is.NoErr(err)
	is.Equal(version, Version(7)) // in era 0 the version is the plain revision
	is.Equal(version.String(), "0/7")
}
