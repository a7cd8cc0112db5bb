package quota

import "time"

// memoryOfFleet is how long a VM remembers the size of the fleet. One that sees fewer VMs
// than before may be cut off: the others go on, and it must not take over their parts.
const memoryOfFleet = 30 * time.Second

// FleetSize is the number of VMs that anything that belongs to all of them is divided by. The
// zero value knows of no VM. It is not safe for concurrent use.
type FleetSize struct {
	largest int
	seenAt  time.Time // When this VM saw so many.
}

// Observe records the number of VMs alive and returns the largest one of the last 30 s.
func (f *FleetSize) Observe(now time.Time, alive int) int {
	if alive >= f.largest || now.Sub(f.seenAt) > memoryOfFleet {
		f.largest, f.seenAt = alive, now
	}
	return f.largest
}
