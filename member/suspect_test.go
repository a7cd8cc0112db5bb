package member

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/wire"
)

// suspectFleet runs linked VMs that pass on what is new to them, as an entry VM does.
func suspectFleet(t *testing.T, vms, fullMeshMaxVMs int) (s *sim, known []map[uint64]int) {
	t.Helper()
	s = newSim(6)
	s.addConverged(vms)
	for _, v := range s.vms {
		v.view.zoneSharing, v.view.fullMeshMaxVMs, v.view.peersDirty = true, fullMeshMaxVMs, true
		known = append(known, map[uint64]int{})
	}
	s.onSuspects = func(v *simVM, suspects []*wire.Suspect) {
		for _, w := range suspects {
			if n := len(w.GetServers()); n > known[v.index][w.GetRequest()] {
				known[v.index][w.GetRequest()] = n
				v.view.QueueSuspects(s.now, []*wire.Suspect{w}, true)
			}
		}
	}
	s.run(10 * time.Second)
	return s, known
}

func knowing(known []map[uint64]int, request uint64, servers int) int {
	n := 0
	for _, k := range known {
		if k[request] >= servers {
			n++
		}
	}
	return n
}

// Guards against VMs that do not learn in time of a request that crashes servers, in a full mesh
// and in a larger fleet, and also those that the VM that saw the crash cannot reach.
func TestSuspectsReachAllVMs(t *testing.T) {
	for _, vms := range []int{18, 178} {
		s, known := suspectFleet(t, vms, 64)
		s.cut = func(from, to int) bool { return from == 0 && to%3 == 0 }
		s.vms[0].view.QueueSuspects(s.now, []*wire.Suspect{{Request: 7, Servers: []uint32{1, 2, 3}}}, false)
		known[0][7] = 3
		start := s.now
		for knowing(known, 7, 3) < vms && s.now.Sub(start) < time.Minute {
			s.step()
		}
		t.Logf("%d VMs: known to all after %v, in steps of %v", vms, s.now.Sub(start), tickInterval)
		if bound := 3 * time.Second; s.now.Sub(start) > bound { // The shortest stable window of the users.
			t.Errorf("%d VMs: known to %d of them after %v", vms, knowing(known, 7, 3), s.now.Sub(start))
		}
	}
}

// Pattern: many servers of a large fleet crash at once, with four requests each. Guards against
// a flood of weak suspicions that takes the links, and against one that matters which waits
// behind them.
func TestPatternSuspectsOfMassCrash(t *testing.T) {
	const vms, requests = 178, 600
	s, known := suspectFleet(t, vms, 64)
	s.run(time.Second)
	s.countBytes = true
	for _, v := range s.vms {
		v.bytes = 0
	}
	s.run(3 * time.Second)
	quiet := make([]int, vms)
	for i, v := range s.vms {
		quiet[i], v.bytes = v.bytes, 0
	}
	for i := range uint64(requests) {
		s.vms[i%vms].view.QueueSuspects(s.now, []*wire.Suspect{{Request: 100 + i, Servers: []uint32{uint32(i)}}}, false)
	}
	s.step()
	s.vms[0].view.QueueSuspects(s.now, []*wire.Suspect{{Request: 7, Servers: []uint32{1, 2, 3}}}, false)
	known[0][7] = 3
	s.run(3 * time.Second)
	if n := knowing(known, 7, 3); n < vms {
		t.Errorf("the suspicion that matters is known to %d of %d VMs", n, vms)
	}
	most := 0
	for i, v := range s.vms {
		most = max(most, v.bytes-quiet[i])
	}
	limit := suspectBurstBytes + 3*suspectBytesPerSecond
	t.Logf("at most %d bytes more in 3 s, %d allowed", most, limit)
	if most > 2*limit { // The heartbeats that are sent at once have other fields as well.
		t.Errorf("%d bytes more in 3 s", most)
	}
}

// Guards against suspects that are sent twice or without their age, and against a queue without
// bound.
func TestSuspectsAreQueued(t *testing.T) {
	v, id := viewWithLink(3)
	v.QueueSuspects(testStart, []*wire.Suspect{{Request: 7, Servers: []uint32{1}, Age: 100}}, false)
	v.QueueSuspects(testStart, []*wire.Suspect{{Request: 7, Servers: []uint32{1, 2}, Age: 100}, {Request: 8, Servers: []uint32{1}}}, false)
	got := v.BuildHeartbeat(testStart.Add(300*time.Millisecond), id, News{}).GetSuspects()
	if len(got) != 2 || got[0].GetRequest() != 7 || len(got[0].GetServers()) != 2 || got[0].GetAge() != 400 {
		t.Errorf("suspects %v", got)
	}
	if again := v.BuildHeartbeat(testStart, id, News{}).GetSuspects(); len(again) != 0 {
		t.Errorf("sent again: %v", again)
	}
	for n := range uint64(2 * maxQueuedSuspects) {
		v.QueueSuspects(testStart, []*wire.Suspect{{Request: n, Servers: []uint32{1, 2}}}, false)
	}
	if n := len(v.links[0].suspects); n > maxQueuedSuspects {
		t.Errorf("%d suspects queued", n)
	}
	h := v.BuildHeartbeat(testStart, id, News{})
	if n := proto.Size(&wire.Heartbeat{Suspects: h.GetSuspects()}); n > 2*maxSuspectBytes {
		t.Errorf("%d bytes of suspects in a heartbeat", n)
	}
}
