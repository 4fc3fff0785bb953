package matcher

import (
	"cmp"
	"slices"
)

// Routes returns the configured routes, including invalid ones. They must not be modified.
func (t *Table) Routes() []Route { return t.cfg.Routes }

// Services returns the configured services. They must not be modified.
func (t *Table) Services() []Service { return t.cfg.Services }

// Organisations returns the valid organisations by name, without their keys.
func (t *Table) Organisations() []*Organisation {
	list := make([]*Organisation, 0, len(t.organisations.byName))
	for _, o := range t.organisations.byName {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// KeyCounts returns the numbers of keys of the organisations by name.
func (t *Table) KeyCounts() map[string]int {
	counts := make(map[string]int)
	for _, o := range t.organisations.byKey {
		counts[o.Name]++
	}
	return counts
}

// KeysBeyond returns the numbers of keys of the organisations that they don't hold in another
// table.
func (t *Table) KeysBeyond(other *Table) map[string]int {
	counts := make(map[string]int)
	for digest, o := range t.organisations.byKey {
		holder, ok := other.organisations.byKey[digest]
		if !ok || holder.Name != o.Name {
			counts[o.Name]++
		}
	}
	return counts
}
