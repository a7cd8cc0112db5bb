package quota

import (
	"testing"
	"time"
)

// Guards against a VM that takes over the parts of the others because it is cut off from
// them, and against one that keeps to the size of a fleet that has shrunk.
func TestFleetSizeRemembersLostVMs(t *testing.T) {
	var size FleetSize
	start := time.Now()
	for _, c := range []struct {
		after       time.Duration
		alive, want int
	}{
		{0, 1, 1},
		{time.Second, 18, 18},
		{2 * time.Second, 1, 18},
		{30 * time.Second, 4, 18},
		{32 * time.Second, 4, 4},
		{33 * time.Second, 17, 17},
		{40 * time.Second, 17, 17},
		{69 * time.Second, 2, 17},
		{71 * time.Second, 2, 2},
	} {
		if got := size.Observe(start.Add(c.after), c.alive); got != c.want {
			t.Errorf("%d VMs alive after %v: size %d, want %d", c.alive, c.after, got, c.want)
		}
	}
}
