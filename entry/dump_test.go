package entry

import (
	"slices"
	"testing"

	"github.com/azuredeal/azuredeal/conf"
)

// Callers must be sent to the nearest zone first, not only to their own.
func TestDistance(t *testing.T) {
	v := &VM{settings: conf.Settings{Zone: "a", Zones: []string{"a", "b", "c"}}}
	for zone, want := range map[string][]string{
		"a":       {"a", "b", "c", "d"},
		"c":       {"c", "a", "b", "d"},
		"unknown": {"a", "b", "c", "d"},
	} {
		rank := v.distance(zone)
		got := []string{"d", "c", "b", "a"}
		slices.SortStableFunc(got, func(a, b string) int { return rank(a) - rank(b) })
		if !slices.Equal(got, want) {
			t.Errorf("from %s: %v, want %v", zone, got, want)
		}
	}
}
