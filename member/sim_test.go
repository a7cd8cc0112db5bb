package member

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

// sim runs many views in one goroutine on a simulated clock, in steps of one tick.
type sim struct {
	now          time.Time
	zones        int
	vms          []*simVM
	byAddr       map[string]*simVM
	cut          func(from, to int) bool
	failingDials []simDial
	countBytes   bool // Count the bytes of heartbeats.
	onSuspects   func(v *simVM, suspects []*wire.Suspect)
}

type simVM struct {
	index  int
	view   *View
	ends   map[LinkID]*simEnd
	dead   bool
	paused bool

	messages, bytes int
	changes         []Change
}

// simEnd is one end of a link.
type simEnd struct {
	vm     *simVM
	id     LinkID
	other  *simEnd
	inbox  []*wire.Heartbeat
	closed bool // The other end has closed.
}

type simDial struct {
	vm      *simVM
	addr    string
	failsAt time.Time
}

func newSim(zones int) *sim {
	return &sim{
		now:    time.Unix(1_000_000, 0),
		zones:  zones,
		byAddr: map[string]*simVM{},
		cut:    func(int, int) bool { return false },
	}
}

// add starts a VM with index i.
func (s *sim) add(i int, seeds ...string) *simVM {
	id := vmID(i)
	self := NewMember(id, uint64(s.now.UnixNano())+uint64(i), fmt.Sprintf("zone-%d", i%s.zones),
		fmt.Sprintf("10.%d.%d.%d:7400", i>>16, i>>8&255, i&255), fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255))
	v := &simVM{index: i, view: NewView(s.now, self, seeds, uint64(i)+1), ends: map[LinkID]*simEnd{}}
	s.vms = append(s.vms, v)
	s.byAddr[self.peer] = v
	return v
}

// seeds returns the peer addresses of the first n VMs that are not dead.
func (s *sim) seeds(n int) []string {
	var out []string
	for _, v := range s.vms {
		if len(out) < n && !v.dead {
			out = append(out, v.view.self.peer)
		}
	}
	return out
}

// addConverged starts n VMs whose views contain all of them from the start.
func (s *sim) addConverged(n int) {
	for i := range n {
		s.add(i)
	}
	for _, v := range s.vms {
		for _, o := range s.vms {
			if o != v {
				v.view.insert(s.now, o.view.self.Member)
			}
		}
		v.view.changes = nil
		v.view.seeds = s.seeds(3)
	}
}

func (s *sim) isUp(v *simVM) bool { return !v.dead && !v.paused }

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

func (s *sim) step() {
	s.now = s.now.Add(tickInterval)
	for _, v := range s.vms {
		if s.isUp(v) {
			s.tick(v)
		}
	}
	for _, v := range s.vms {
		if s.isUp(v) {
			s.deliver(v)
		}
	}
	remaining := s.failingDials[:0]
	for _, d := range s.failingDials {
		if s.now.Before(d.failsAt) {
			remaining = append(remaining, d)
		} else if s.isUp(d.vm) {
			d.vm.view.DialFailed(s.now, d.addr)
		}
	}
	s.failingDials = remaining
}

func (s *sim) tick(v *simVM) {
	p := v.view.Tick(s.now)
	v.changes = append(v.changes, p.Changes...)
	for _, id := range p.Close {
		e := v.ends[id]
		delete(v.ends, id)
		v.view.LinkDown(s.now, id)
		e.other.closed = true
	}
	for _, id := range p.Send {
		e := v.ends[id]
		h := v.view.BuildHeartbeat(s.now, id, News{})
		v.messages++
		if s.countBytes {
			v.bytes += proto.Size(h)
		}
		e.other.inbox = append(e.other.inbox, h)
	}
	for _, addr := range p.Dial {
		s.dial(v, addr)
	}
}

func (s *sim) dial(v *simVM, addr string) {
	o := s.byAddr[addr]
	if o == nil || !s.isUp(o) || s.cut(v.index, o.index) || s.cut(o.index, v.index) {
		s.failingDials = append(s.failingDials, simDial{vm: v, addr: addr, failsAt: s.now.Add(3 * time.Second)})
		return
	}
	near, far := &simEnd{vm: v}, &simEnd{vm: o}
	near.other, far.other = far, near
	near.id = v.view.LinkUp(s.now, o.view.self.wire(), addr)
	if near.id == 0 {
		return
	}
	v.ends[near.id] = near
	far.id = o.view.LinkUp(s.now, v.view.self.wire(), "")
	if far.id == 0 {
		near.closed = true
		return
	}
	o.ends[far.id] = far
}

func (s *sim) deliver(v *simVM) {
	for _, l := range append([]*link{}, v.view.links...) {
		e := v.ends[l.id]
		if s.cut(e.other.vm.index, v.index) {
			continue
		}
		inbox := e.inbox
		e.inbox = nil
		for _, h := range inbox {
			v.view.HandleHeartbeat(s.now, e.id, h)
			if s.onSuspects != nil && len(h.GetSuspects()) > 0 {
				s.onSuspects(v, h.GetSuspects())
			}
		}
		if e.closed {
			delete(v.ends, e.id)
			v.view.LinkDown(s.now, e.id)
		}
	}
}

// alive returns the number of members that a VM considers alive.
func (v *simVM) alive() int {
	n := 0
	for _, r := range v.view.ring {
		if r.state == Alive {
			n++
		}
	}
	return n
}

func (v *simVM) stateOf(o *simVM) State {
	if r := v.view.members[o.view.self.id]; r != nil {
		return r.state
	}
	return Unknown
}

// converge runs until every VM that is up considers as many members alive as there
// are VMs up, and reports whether that took less than limit.
func (s *sim) converge(limit time.Duration) bool {
	up := 0
	for _, v := range s.vms {
		if s.isUp(v) {
			up++
		}
	}
	for end := s.now.Add(limit); s.now.Before(end); s.step() {
		same := true
		for _, v := range s.vms {
			same = same && (!s.isUp(v) || v.alive() == up)
		}
		if same {
			return true
		}
	}
	return false
}

// Guards against a fleet that stays split after a partition longer than
// forgetAfter, when the VMs have removed the records of the other side, and
// against outdated records that bring back a dead VM: a VM that was paused since
// before the failure still considers it alive.
func TestLongPartitionAndForgottenMembers(t *testing.T) {
	s := newSim(3)
	for i := range 8 {
		s.add(i, s.seeds(3)...)
	}
	if !s.converge(time.Minute) {
		t.Fatal("views did not converge at the start")
	}
	dead, stale := s.vms[2], s.vms[6]
	stale.paused = true
	s.run(time.Second)
	dead.dead = true
	s.run(forgetAfter + time.Minute)
	for _, v := range s.vms {
		if s.isUp(v) && v.stateOf(dead) != Unknown {
			t.Fatalf("vm %d has not forgotten the dead VM", v.index)
		}
	}
	stale.paused = false // It considers the dead VM alive.
	observer := s.vms[0]
	observer.changes = nil
	if !s.converge(30 * time.Second) {
		t.Errorf("views did not converge after the pause")
	}
	s.run(30 * time.Second)
	for _, c := range observer.changes {
		if c.Member.ID() == dead.view.self.id {
			t.Errorf("an outdated record brought back the dead VM as %v", c.Member.State())
		}
	}
	s.cut = func(from, to int) bool { return (from < 4) != (to < 4) }
	s.run(forgetAfter + time.Minute)
	s.cut = func(int, int) bool { return false }
	for _, v := range s.vms { // The platform's list leads to the other side.
		v.view.SetDiscoveredVMs([]store.VM{{ID: s.vms[0].view.self.id, Peer: s.vms[0].view.self.peer}})
	}
	if !s.converge(2 * time.Minute) {
		t.Error("views did not converge after a partition longer than forgetAfter")
	}
}

// Guards against faults that appear only in a large fleet, where records reach a
// limit: after the loss of an availability zone, every survivor must consider the
// lost VMs gone and no running VM suspect or gone.
func TestZoneLossInLargeFleet(t *testing.T) {
	s := newSim(6)
	s.addConverged(300)
	s.run(20 * time.Second)
	for _, v := range s.vms {
		v.changes = nil
		v.dead = v.index%6 == 2
	}
	s.run(goneAfter + 2*time.Second)
	if !s.converge(10 * time.Second) {
		t.Error("views of the survivors did not converge")
	}
	for _, v := range s.vms {
		for _, o := range s.vms {
			if o.dead && !v.dead && v.stateOf(o) != Gone {
				t.Fatalf("vm %d considers the lost vm %d %v", v.index, o.index, v.stateOf(o))
			}
		}
		for _, c := range v.changes {
			if n := s.byAddr[c.Member.Peer()]; !n.dead && c.Member.State() != Alive {
				t.Fatalf("vm %d considered the running vm %d %v", v.index, n.index, c.Member.State())
			}
		}
	}
}

// Guards against a VM that mistakes its own pause for silence of the others and
// suspects them.
func TestPausedViewSuspectsNobody(t *testing.T) {
	s := newSim(3)
	for i := range 12 {
		s.add(i, s.seeds(3)...)
	}
	if !s.converge(time.Minute) {
		t.Fatal("views did not converge at the start")
	}
	for _, pause := range []time.Duration{3 * time.Second, time.Minute} {
		v := s.vms[5]
		v.paused = true
		s.run(pause)
		v.paused = false
		v.changes = nil
		if !s.converge(30 * time.Second) {
			t.Errorf("views did not converge after a pause of %v", pause)
		}
		s.run(10 * time.Second)
		for _, c := range v.changes {
			if c.Member.State() != Alive {
				t.Errorf("after a pause of %v the VM considered %s %v", pause, c.Member.ID(), c.Member.State())
			}
		}
	}
}

// Guards against a fleet that stays split after a partition when neither seeds nor
// the platform's list lead to the other side.
func TestPartitionHealsWithoutSeeds(t *testing.T) {
	s := newSim(3)
	for i := range 12 {
		s.add(i, s.seeds(3)...)
	}
	if !s.converge(time.Minute) {
		t.Fatal("views did not converge at the start")
	}
	for _, v := range s.vms {
		v.view.seeds = nil
	}
	s.cut = func(from, to int) bool { return (from < 6) != (to < 6) }
	s.run(time.Hour)
	s.cut = func(int, int) bool { return false }
	if !s.converge(time.Minute) {
		t.Error("views did not converge after the partition")
	}
}

// Guards against a fleet that starts all at once and stays split because the first
// VMs occupy all links of the seeds, and against VMs that the seeds refuse and that
// then have no address left to dial.
func TestSimultaneousFleetStart(t *testing.T) {
	for n, limit := range map[int]time.Duration{180: goneAfter, 400: 15 * time.Second} {
		s := newSim(6)
		for i := range n {
			s.add(i, "10.0.0.0:7400", "10.0.0.1:7400", "10.0.0.2:7400")
		}
		begin := s.now
		if !s.converge(limit) {
			t.Errorf("n=%d: views did not converge %v after the start", n, limit)
		}
		t.Logf("n=%d: views converged after %v", n, s.now.Sub(begin))
		s.run(10 * time.Second)
		for _, v := range s.vms {
			if links := len(v.view.links); v.alive() != n || links < peersPerVM || links > softLinkLimit {
				t.Errorf("n=%d: vm %d considers %d VMs alive and has %d links", n, v.index, v.alive(), links)
			}
			for _, c := range v.changes {
				if n == 180 && c.Member.State() != Alive {
					t.Fatalf("vm %d considered %s %v", v.index, c.Member.ID(), c.Member.State())
				}
			}
		}
	}
}
