package matcher

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestOrganisationsAreFoundByTheirKeys(t *testing.T) {
	is := is.New(t)
	entries := []Organisation{
		{Name: "acme", Keys: []string{"k1", "k2", "shared"}, Quota: Quota{Rate: 0.5, Burst: 1.5}},
		{Name: "bolt", Place: "element 1", Keys: []string{"k3", "shared", "k3", ""}},
		{Name: "acme", Place: "element 2", Keys: []string{"k4"}},
		{Name: "", Place: "element 3", Keys: []string{"k5"}},
		{Name: "a\nb", Place: "element 4"},
	}
	for i, quota := range []Quota{{Rate: -1}, {Rate: math.NaN()}, {Rate: 1e12}, {Burst: -1}, {Burst: math.Inf(1)}} {
		// The key of an organisation that is left out is nobody else's.
		entries = append(entries, Organisation{Name: fmt.Sprint("bad", i), Place: fmt.Sprint("element ", i+5), Keys: []string{"k2"}, Quota: quota})
	}
	table, err := New(Config{Organisations: entries})
	for key, want := range map[string]string{"k1": "acme", "k2": "", "k3": "bolt", "k4": "", "k5": "", "shared": "", "": "", "k": ""} {
		organisation, known := table.OrganisationOf(key)
		is.Equal(known, want != "")
		if known {
			is.Equal(organisation.Name, want)
			is.Equal(len(organisation.Keys), 0)
		}
	}
	is.True(table.HasOrganisations())
	is.Equal(table.OrganisationCount(), 2)
	is.Equal(len(table.cfg.Organisations), 0) // nor does the table hold keys
	for i := 1; i < len(entries); i++ {
		is.True(strings.Contains(err.Error(), fmt.Sprintf("element %d:", i)))
	}
	for _, key := range []string{"k2", "k4", "k5", "shared"} {
		is.True(!strings.Contains(err.Error(), key))
	}
}

// TestKeysAreRequiredWithoutUsableOrganisations guards against a configuration that lets all callers
// in since its organisations are invalid.
func TestKeysAreRequiredWithoutUsableOrganisations(t *testing.T) {
	is := is.New(t)
	table, _ := New(Config{Organisations: []Organisation{{}}})
	is.True(table.HasOrganisations())
	table, err := New(Config{KeysRequired: true})
	is.NoErr(err)
	is.True(table.HasOrganisations())
	table, err = New(Config{})
	is.NoErr(err)
	is.True(!table.HasOrganisations())
}
