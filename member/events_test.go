package member

import (
	"testing"

	"github.com/azuredeal/azuredeal/wire"
)

// Guards against a small fleet whose VMs are not all linked directly, which costs
// heartbeats an extra hop.
func TestSmallFleetFormsFullMesh(t *testing.T) {
	for _, c := range []struct{ members, fullMeshMaxVMs, want int }{
		{18, 24, 17},
		{18, 0, peersPerVM},
		{60, 24, peersPerVM},
		{3, 24, 2},
	} {
		v, _ := viewWithLink(c.members)
		v.fullMeshMaxVMs, v.peersDirty = c.fullMeshMaxVMs, true
		v.choosePeers(testStart)
		if got := len(v.Peers()); got != c.want {
			t.Errorf("%d members, full mesh up to %d: %d peers, want %d", c.members, c.fullMeshMaxVMs, got, c.want)
		}
	}
}

// Guards against events that are sent twice, and against unbounded growth of the
// event queue of a slow link.
func TestEventsAreSentOnce(t *testing.T) {
	v, id := viewWithLink(3)
	for range 2 {
		v.QueueEvents([]*wire.Event{{Server: 7, Good: 2, Bad: 1}, {Server: 9, Good: 1}})
	}
	got := v.BuildHeartbeat(testStart, id, News{}).GetEvents()
	if len(got) != 2 || got[0].GetServer() != 7 || got[0].GetGood() != 4 || got[0].GetBad() != 2 {
		t.Errorf("events %v", got)
	}
	if again := v.BuildHeartbeat(testStart, id, News{}).GetEvents(); len(again) != 0 {
		t.Errorf("sent again: %v", again)
	}
	for n := range uint32(2 * maxQueuedEvents) {
		v.QueueEvents([]*wire.Event{{Server: n}})
	}
	if got := len(v.BuildHeartbeat(testStart, id, News{}).GetEvents()); got != maxQueuedEvents {
		t.Errorf("%d events queued, want %d", got, maxQueuedEvents)
	}
}
