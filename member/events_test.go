package member

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

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

// Guards against rates that a VM is not told of because its link came up later, or is told
// of twice, and against an age that does not grow while a rate waits.
func TestRatesReachAllLinks(t *testing.T) {
	v, id := viewWithLink(3)
	v.QueueRates(testStart, []*wire.Rate{{Server: 7, Limit: 2, Age: 100}, {Server: 9, Unlimited: true}})
	later := testStart.Add(300 * time.Millisecond)
	v.QueueRates(later, []*wire.Rate{{Server: 9, Limit: 5}})
	got := v.BuildHeartbeat(later, id, News{}).GetRates()
	want := []*wire.Rate{{Server: 7, Limit: 2, Age: 400}, {Server: 9, Limit: 5}}
	if len(got) != 2 || !proto.Equal(got[0], want[0]) || !proto.Equal(got[1], want[1]) {
		t.Errorf("rates %v, want %v", got, want)
	}
	if again := v.BuildHeartbeat(later, id, News{}).GetRates(); len(again) != 0 {
		t.Errorf("sent again: %v", again)
	}
	remote := NewMember("vm-new", 99, "z", "10.0.0.99:1", "10.0.0.99:2")
	newLink := v.LinkUp(later, remote.wire(), "")
	if got := v.BuildHeartbeat(later, newLink, News{}).GetRates(); len(got) != 2 {
		t.Errorf("rates %v on a new link, want both", got)
	}
	muchLater := testStart.Add(2 * maxRateAge)
	remote = NewMember("vm-newer", 100, "z", "10.0.0.98:1", "10.0.0.98:2")
	newest := v.LinkUp(muchLater, remote.wire(), "")
	if got := v.BuildHeartbeat(muchLater, newest, News{}).GetRates(); len(got) != 0 {
		t.Errorf("old rates %v on a new link", got)
	}
}

// Guards against memory that grows with the number of servers that state rates.
func TestRatesAreBounded(t *testing.T) {
	v, id := viewWithLink(3)
	for n := range uint64(2 * maxRates) {
		v.QueueRates(testStart, []*wire.Rate{{Server: n, Limit: 1}})
	}
	if got := len(v.BuildHeartbeat(testStart, id, News{}).GetRates()); got != maxRates {
		t.Errorf("%d rates queued, want %d", got, maxRates)
	}
}

// Guards against rates that pile up on links that do not carry them, for as long as a link
// lives and servers come and go.
func TestRatesDoNotPileUpOnOtherLinks(t *testing.T) {
	v, id := viewWithLink(3)
	v.zoneSharing = true // The only link is to another availability zone.
	for n := range uint64(100) {
		v.QueueRates(testStart, []*wire.Rate{{Server: n, Limit: 1}})
		if got := v.BuildHeartbeat(testStart, id, News{}).GetRates(); len(got) != 0 {
			t.Fatalf("rates %v on a link to another zone", got)
		}
	}
	if got := len(v.link(id).rates); got != 0 {
		t.Errorf("%d rates are queued on the link", got)
	}
}
