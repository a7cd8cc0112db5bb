package member

import (
	"maps"
	"slices"
	"time"
)

const (
	// minBackoff is the base of the exponential backoff after failed dials.
	minBackoff = 250 * time.Millisecond
	// maxBackoffChosen caps the backoff for chosen peers, which are watched, and
	// for all addresses while this VM has no link.
	maxBackoffChosen = 2 * time.Second
	// maxBackoffOther caps it for seeds, discovered VMs and members that are gone.
	maxBackoffOther = 30 * time.Second
	// dialYieldDelay lets the VM with the lower ring position dial first, so that
	// two VMs that choose each other do not both dial.
	dialYieldDelay = 300 * time.Millisecond
	// exploreInterval and revisitInterval are the intervals of dials to unknown
	// addresses and to members that are gone, each with a jitter of ±50%.
	exploreInterval = time.Second
	revisitInterval = 10 * time.Second

	maxConcurrentDials = 8 // Bound on dials in progress.
)

// dialTarget is the dial state of an address.
type dialTarget struct {
	inProgress bool
	failures   int
	nextDial   time.Time // Earliest time of the next dial.
	lastDial   time.Time
}

// DialFailed records that the dial to an address of Plan.Dial failed, and sets
// its backoff.
func (v *View) DialFailed(now time.Time, addr string) {
	v.detectPause(now)
	t := v.dialTargets[addr]
	if t == nil {
		return
	}
	t.inProgress = false
	t.failures++
	backoff := min(minBackoff<<min(t.failures, 10), v.maxBackoff(addr))
	t.nextDial = now.Add(backoff + v.jitter(backoff/4))
}

// maxBackoff returns the cap of the backoff for an address.
func (v *View) maxBackoff(addr string) time.Duration {
	if len(v.links) == 0 || slices.ContainsFunc(v.chosen, func(r *record) bool { return r.peer == addr }) {
		return maxBackoffChosen
	}
	return maxBackoffOther
}

// addrsToDial returns the addresses to dial now and marks them as in progress.
func (v *View) addrsToDial(now time.Time) []string {
	inProgress := 0
	for addr, t := range v.dialTargets {
		switch {
		case t.inProgress:
			inProgress++
		case now.Sub(t.lastDial) > 2*maxBackoffOther:
			delete(v.dialTargets, addr)
		}
	}
	var out []string
	tryDial := func(addr string) bool {
		if addr == "" || addr == v.self.peer || inProgress >= maxConcurrentDials {
			return false
		}
		t := v.dialTargets[addr]
		if t == nil {
			t = &dialTarget{}
			v.dialTargets[addr] = t
		}
		if t.inProgress || now.Before(t.nextDial) {
			return false
		}
		t.inProgress = true
		t.lastDial = now
		inProgress++
		out = append(out, addr)
		return true
	}
	v.dialPeers(now, tryDial)
	v.dialUnknown(now, tryDial)
	v.dialGone(now, tryDial)
	return out
}

// dialPeers tries the chosen peers that this VM has no link to.
func (v *View) dialPeers(now time.Time, tryDial func(string) bool) {
	for _, r := range v.chosen {
		if v.linkTo(r) != nil {
			continue
		}
		if v.self.hash > r.hash && now.Sub(r.watchedSince) < dialYieldDelay {
			continue
		}
		tryDial(r.peer)
	}
}

// dialUnknown tries one address at a time of the seeds and discovered VMs that
// belong to no running member. While this VM has no link, it tries all known
// addresses and ignores exploreInterval.
func (v *View) dialUnknown(now time.Time, tryDial func(string) bool) {
	isolated := len(v.links) == 0
	if !isolated && now.Before(v.nextExplore) {
		return
	}
	known := v.knownAddrs()
	addrs := slices.Clone(v.seeds)
	if isolated {
		addrs = slices.AppendSeq(addrs, maps.Keys(known))
		slices.Sort(addrs)
		clear(known)
	}
	for _, h := range v.discovered {
		if r := v.members[h.id]; r == nil || r.state == Gone {
			addrs = append(addrs, h.addr)
		}
	}
	v.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs {
		if !known[addr] && tryDial(addr) {
			break
		}
	}
	v.nextExplore = now.Add(exploreInterval + v.jitter(exploreInterval/2))
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
// seeds nor discovered VMs lead to the other side.
func (v *View) dialGone(now time.Time, tryDial func(string) bool) {
	if now.Before(v.nextRevisit) {
		return
	}
	v.nextRevisit = now.Add(revisitInterval + v.jitter(revisitInterval/2))
	known := v.knownAddrs()
	start := v.rng.IntN(len(v.ring))
	for i := range v.ring {
		if r := v.ring[(start+i)%len(v.ring)]; r.state == Gone && !known[r.peer] && tryDial(r.peer) {
			return
		}
	}
}
