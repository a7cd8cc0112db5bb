package watch

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against a fleet in which too few VMs watch to survive losses, or so many that the
// platform's calls grow with the fleet, and against a lost VM that moves other watchers.
func TestWatchers(t *testing.T) {
	fleet := func(zones, perZone int) map[string][]string {
		out := map[string][]string{}
		for z := range zones {
			for i := range perZone {
				zone := fmt.Sprint("zone-", z)
				out[zone] = append(out[zone], fmt.Sprintf("vm-%d-%d", z, i))
			}
		}
		return out
	}
	for _, c := range []struct{ zones, perZone, want int }{
		{1, 1, 1}, {1, 3, 3}, {1, 50, 4}, {3, 6, 4}, {4, 5, 4}, {6, 30, 6}, {6, 217, 6},
	} {
		watchers := Watchers(fleet(c.zones, c.perZone))
		if len(watchers) != c.want {
			t.Errorf("%d zones of %d: %d watchers, want %d", c.zones, c.perZone, len(watchers), c.want)
		}
		for _, lost := range watchers {
			rest := fleet(c.zones, c.perZone)
			for zone, ids := range rest {
				rest[zone] = slices.DeleteFunc(ids, func(id string) bool { return id == lost })
			}
			kept := Watchers(rest)
			for _, id := range watchers {
				if id != lost && !slices.Contains(kept, id) {
					t.Errorf("%d zones of %d: %s stops watching when %s is lost", c.zones, c.perZone, id, lost)
				}
			}
		}
	}
}
