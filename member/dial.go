package member

import (
	"maps"
	"slices"
	"time"
)

const (
	// Bounds of the pause after a dial that failed.
	backoffMin = 250 * time.Millisecond
	// backoffPeer applies to chosen peers, which are watched.
	backoffPeer = 2 * time.Second
	// backoffOther applies to seeds, hints and members that are gone.
	backoffOther = 30 * time.Second
	// yieldFor lets the VM with the lower ring position dial first, so that two
	// VMs that choose each other do not both dial.
	yieldFor = 300 * time.Millisecond
	// exploreEvery and revisitEvery pace dials to unknown addresses and to
	// members that are gone, give or take half.
	exploreEvery = time.Second
	revisitEvery = 10 * time.Second

	maxDials = 8 // Dials under way.
)

// target is an address that this VM dials.
type target struct {
	busy    bool
	fails   int
	next    time.Time // No dial before this.
	touched time.Time
}

// DialFailed notes that a dial of a Plan came to nothing.
func (v *View) DialFailed(now time.Time, addr string) {
	v.advance(now)
	t := v.targets[addr]
	if t == nil {
		return
	}
	t.busy = false
	t.fails++
	pause := min(backoffMin<<min(t.fails, 10), v.backoffFor(addr))
	t.next = now.Add(pause + v.jitter(pause/4))
}

func (v *View) backoffFor(addr string) time.Duration {
	if len(v.links) == 0 || slices.ContainsFunc(v.chosen, func(r *record) bool { return r.peer == addr }) {
		return backoffPeer
	}
	return backoffOther
}

// dialing returns the addresses to dial now.
func (v *View) dialing(now time.Time) []string {
	busy := 0
	for addr, t := range v.targets {
		switch {
		case t.busy:
			busy++
		case now.Sub(t.touched) > 2*backoffOther:
			delete(v.targets, addr)
		}
	}
	var out []string
	try := func(addr string) bool {
		if addr == "" || addr == v.self.peer || busy >= maxDials {
			return false
		}
		t := v.targets[addr]
		if t == nil {
			t = &target{}
			v.targets[addr] = t
		}
		if t.busy || now.Before(t.next) {
			return false
		}
		t.busy = true
		t.touched = now
		busy++
		out = append(out, addr)
		return true
	}
	v.dialPeers(now, try)
	v.dialUnknown(now, try)
	v.dialGone(now, try)
	return out
}

func (v *View) dialPeers(now time.Time, try func(string) bool) {
	for _, r := range v.chosen {
		if v.linkTo(r) != nil {
			continue
		}
		if v.self.hash > r.hash && now.Sub(r.watched) < yieldFor {
			continue
		}
		try(r.peer)
	}
}

// dialUnknown tries seeds and hints that belong to no member that runs, one at a
// time. While this VM has no link it tries all addresses, without a pause.
func (v *View) dialUnknown(now time.Time, try func(string) bool) {
	alone := len(v.links) == 0
	if !alone && now.Before(v.explore) {
		return
	}
	known := v.knownAddrs()
	addrs := slices.Clone(v.seeds)
	if alone {
		addrs = slices.AppendSeq(addrs, maps.Keys(known))
		slices.Sort(addrs)
		clear(known)
	}
	for _, h := range v.hints {
		if r := v.members[h.id]; r == nil || r.state == Gone {
			addrs = append(addrs, h.addr)
		}
	}
	v.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs {
		if !known[addr] && try(addr) {
			break
		}
	}
	v.explore = now.Add(exploreEvery + v.jitter(exploreEvery/2))
}

// knownAddrs returns the peer addresses of members that are not gone.
func (v *View) knownAddrs() map[string]bool {
	known := map[string]bool{}
	for _, r := range v.ring {
		if r.state != Gone {
			known[r.peer] = true
		}
	}
	return known
}

// dialGone tries one member that is gone, which ends a partition when neither
// seeds nor hints lead to the other side.
func (v *View) dialGone(now time.Time, try func(string) bool) {
	if now.Before(v.revisit) {
		return
	}
	v.revisit = now.Add(revisitEvery + v.jitter(revisitEvery/2))
	known := v.knownAddrs()
	start := v.rng.IntN(len(v.ring))
	for i := range v.ring {
		if r := v.ring[(start+i)%len(v.ring)]; r.state == Gone && !known[r.peer] && try(r.peer) {
			return
		}
	}
}
