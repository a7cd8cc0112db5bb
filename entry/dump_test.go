package entry

import (
	"slices"
	"testing"

	"github.com/azuredeal/azuredeal/conf"
)

// Guards against callers that get the VMs of other zones in arbitrary order: after their
// own zone, the zones of the settings come in order, then unknown ones.
func TestZoneOrder(t *testing.T) {
	v := &VM{settings: conf.Settings{Zone: "a", Zones: []string{"a", "b", "c"}}}
	for zone, want := range map[string][]string{
		"a":       {"a", "b", "c", "d"},
		"c":       {"c", "a", "b", "d"},
		"unknown": {"a", "b", "c", "d"},
	} {
		rank := v.zoneOrder(zone)
		got := []string{"d", "c", "b", "a"}
		slices.SortStableFunc(got, func(a, b string) int { return rank(a) - rank(b) })
		if !slices.Equal(got, want) {
			t.Errorf("from %s: %v, want %v", zone, got, want)
		}
	}
}
