package member

import (
	"testing"
	"time"
)

// linkedViews returns the views of two VMs and the link that each has to the other.
func linkedViews() (views [2]*View, links [2]LinkID) {
	for i := range views {
		views[i] = NewView(testStart, NewMember(vmID(i), 1, "zone-0", vmID(i), ""), nil, uint64(i))
	}
	for i, v := range views {
		links[i] = v.LinkUp(testStart, views[1-i].self.wire(), "")
	}
	return views, links
}

// Guards against ages in a heartbeat that was held up, by a frozen process or on a link that was cut,
// and that are taken for current: a VM would believe that the platform has answered others lately.
func TestHeartbeatDelay(t *testing.T) {
	const oneWay = 2 * time.Millisecond
	for _, c := range []struct {
		name      string
		heldUp    time.Duration // The heartbeat is sent, or arrives, so much later than it was built.
		confirmed bool          // Its sender has received one before.
	}{
		{"a fast one", 0, true},
		{"held up for 300 ms", 300 * time.Millisecond, true},
		{"held up for longer than a bound", 3 * time.Second, true},
		{"the first of a link", 0, false},
	} {
		views, links := linkedViews()
		now := testStart.Add(time.Second)
		if c.confirmed {
			h := views[1].BuildHeartbeat(now, links[1], News{})
			now = now.Add(oneWay)
			views[0].HandleHeartbeat(now, links[0], h)
		}
		now = now.Add(heartbeatInterval / 2)
		h := views[0].BuildHeartbeat(now, links[0], News{})
		now = now.Add(oneWay + c.heldUp)
		views[1].HandleHeartbeat(now, links[1], h)
		delay, ok := views[1].heartbeatDelay(links[1])
		if ok != c.confirmed || ok && (delay < oneWay+c.heldUp || delay > 2*oneWay+c.heldUp+time.Millisecond) {
			t.Errorf("%s: delay %v, known %v", c.name, delay, ok)
		}
	}
}

// Guards against what one heartbeat told of its way that counts for the next one, on a link that has
// expired.
func TestHeartbeatDelayOfExpiredLink(t *testing.T) {
	views, links := linkedViews()
	views[1].HandleHeartbeat(testStart, links[1], views[0].BuildHeartbeat(testStart, links[0], News{}))
	views[0].HandleHeartbeat(testStart, links[0], views[1].BuildHeartbeat(testStart, links[1], News{}))
	if _, ok := views[0].heartbeatDelay(links[0]); !ok {
		t.Fatal("the delay is not known")
	}
	views[0].link(links[0]).expired = true
	views[0].HandleHeartbeat(testStart, links[0], views[1].BuildHeartbeat(testStart, links[1], News{}))
	if _, ok := views[0].heartbeatDelay(links[0]); ok {
		t.Error("the delay of an expired link is known")
	}
}
