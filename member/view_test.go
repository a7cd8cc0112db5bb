package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/wire"
)

var testStart = time.Unix(1_000_000, 0)

// graph returns the records of n members and, for each, the peers it chooses.
func graph(n, zones int, seed uint64) ([]*record, [][]*record) { return peersOf(n, zones, seed, false) }

// sharingGraph is graph for VMs that share backend servers within their zone.
func sharingGraph(n, zones int, seed uint64) ([]*record, [][]*record) {
	return peersOf(n, zones, seed, true)
}

func peersOf(n, zones int, seed uint64, zoneSharing bool) ([]*record, [][]*record) {
	rng := rand.New(rand.NewPCG(seed, 0))
	v := NewView(testStart, NewMember("self", 1, "zone-0", "self", ""), nil, seed)
	v.zoneSharing = zoneSharing
	v.remove(testStart, v.self)
	for i := range n {
		id := fmt.Sprintf("vm-%x", rng.Uint64())
		v.insert(testStart, NewMember(id, 1, fmt.Sprintf("zone-%d", i%zones), id, ""))
	}
	peers := make([][]*record, n)
	for i, r := range v.ring {
		v.self = r
		v.peersDirty = true
		v.choosePeers(testStart)
		peers[i] = slices.Clone(v.chosen)
	}
	return v.ring, peers
}

// components counts the connected components of the graph without the lost members.
func components(ring []*record, peers [][]*record, lost map[*record]bool) int {
	parent := map[*record]*record{}
	var find func(r *record) *record
	find = func(r *record) *record {
		if parent[r] == nil || parent[r] == r {
			return r
		}
		parent[r] = find(parent[r])
		return parent[r]
	}
	count := 0
	for _, r := range ring {
		if !lost[r] {
			count++
		}
	}
	for i, r := range ring {
		for _, o := range peers[i] {
			if a, b := find(r), find(o); !lost[r] && !lost[o] && a != b {
				parent[a] = b
				count--
			}
		}
	}
	return count
}

// Guards against a choice of peers that has too many links, misses an availability
// zone, or disconnects the survivors after the loss of a zone or of a third of the
// VMs, before any VM has chosen new peers.
func TestGraphStaysConnected(t *testing.T) {
	for _, n := range []int{18, 60, 180, 1300} {
		for _, zones := range []int{3, 6} {
			for seed := range uint64(3) {
				ring, peers := graph(n, zones, seed)
				name := fmt.Sprintf("n=%d zones=%d seed=%d", n, zones, seed)
				for i, r := range ring {
					seen := map[string]bool{r.zone: true}
					for _, o := range peers[i] {
						seen[o.zone] = true
					}
					if len(peers[i]) != peersPerVM || len(seen) != zones {
						t.Errorf("%s: %d peers in %d zones", name, len(peers[i]), len(seen))
					}
				}
				for z := range zones {
					lost := map[*record]bool{}
					for _, r := range ring {
						lost[r] = r.zone == fmt.Sprintf("zone-%d", z)
					}
					if c := components(ring, peers, lost); c != 1 {
						t.Errorf("%s: %d components without zone %d", name, c, z)
					}
				}
				rng := rand.New(rand.NewPCG(seed, 1))
				for range 10 {
					lost := map[*record]bool{}
					for _, i := range rng.Perm(n)[:n/3] {
						lost[ring[i]] = true
					}
					if c := components(ring, peers, lost); c != 1 {
						t.Errorf("%s: %d components without a third of the VMs", name, c)
					}
				}
			}
		}
	}
}

// Guards against a VM that more peers have chosen than it may keep links: it would close and
// accept the same links again and again, each with a handshake and a full sync.
func TestSharingFleetStaysBelowSoftLinkLimit(t *testing.T) {
	for _, c := range []struct{ n, zones int }{{65, 4}, {178, 6}, {300, 6}, {1300, 6}} {
		for seed := range uint64(10) {
			ring, peers := sharingGraph(c.n, c.zones, seed)
			links := map[*record]map[*record]bool{}
			for _, r := range ring {
				links[r] = map[*record]bool{}
			}
			for i, r := range ring {
				for _, o := range peers[i] {
					links[r][o], links[o][r] = true, true
				}
			}
			for r, all := range links {
				if len(all) > softLinkLimit {
					t.Errorf("n=%d zones=%d seed=%d: %s has %d links", c.n, c.zones, seed, r.id, len(all))
				}
			}
		}
	}
}

// viewWithLink returns the view of member 0, with members 1 to n-1 and a link to
// member 1.
func viewWithLink(n int) (*View, LinkID) {
	v := NewView(testStart, NewMember(vmID(0), 1, "zone-0", "peer-0", ""), nil, 1)
	for i := 1; i < n; i++ {
		v.insert(testStart, NewMember(vmID(i), 1, fmt.Sprintf("zone-%d", i%6), fmt.Sprintf("10.0.%d.%d:7400", i>>8, i&255), "10.0.0.0:8080"))
	}
	return v, v.LinkUp(testStart, v.members[vmID(1)].wire(), "")
}

// Guards against a known peer that had no links for a while and, once it has one,
// does not receive the records that it missed.
func TestNewLinkGetsFullSync(t *testing.T) {
	v, id := viewWithLink(40)
	sent := v.BuildHeartbeat(testStart, id, News{}).GetMembers()
	if len(sent) != 39 { // All but the peer itself.
		t.Errorf("%d records sent, want 39", len(sent))
	}
}

// Guards against views that depend on the order in which records arrive.
func TestRecordsConvergeInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	for round := range 200 {
		var records []*wire.Member
		for range 8 {
			records = append(records, &wire.Member{
				Id: "x", Incarnation: 1 + rng.Uint64N(2), Version: 1 + rng.Uint64N(3),
				State: wire.State(1 + rng.IntN(4)), Peer: "x",
			})
		}
		// The highest incarnation, which decides the result, has no record in state
		// Gone: a view that considers the member alive gives it time to refute, and
		// one that does not know the member keeps only a tombstone.
		for range 3 {
			records = append(records, &wire.Member{Id: "x", Incarnation: 3, Version: 1, State: wire.State(1 + rng.IntN(3)), Peer: "x"})
		}
		var want Member
		for order := range 5 {
			v, id := viewWithLink(2)
			rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			for _, r := range records {
				v.HandleHeartbeat(testStart, id, &wire.Heartbeat{Incarnation: 1, Members: []*wire.Member{r}})
			}
			got := v.members["x"].Member
			if order == 0 {
				want = got
			}
			if got != want {
				t.Fatalf("round %d: views differ: %+v and %+v", round, want, got)
			}
		}
	}
}

// Guards against heartbeats above 64 KB, which the peer rejects, and against the
// loss of records that do not fit into one heartbeat.
func TestHeartbeatSizeIsBounded(t *testing.T) {
	const n = 2000
	v, id := viewWithLink(n)
	for _, r := range v.ring {
		if r != v.self {
			v.setState(testStart, r, Suspect)
		}
	}
	var reports []*wire.Report
	for i := range 2000 {
		reports = append(reports, &wire.Report{Service: "layout", Server: fmt.Sprintf("10.1.0.%d:80", i), Bad: 1})
	}
	v.Report(testStart, reports)
	v.links[0].syncing = true
	sentIDs := map[string]bool{}
	for i := range 20 {
		h := v.BuildHeartbeat(testStart.Add(time.Duration(i)*tickInterval), id, News{Generation: 1})
		if size := proto.Size(h); size > 64<<10 {
			t.Errorf("heartbeat of %d bytes", size)
		}
		for _, m := range h.GetMembers() {
			sentIDs[m.GetId()] = true
		}
	}
	if len(sentIDs) != n {
		t.Errorf("%d of %d records sent", len(sentIDs), n)
	}
}

// Guards against a record that is resent forever to a peer that acknowledges
// nothing, and against one that is resent although the peer has acknowledged it.
func TestRecordResendsAreBounded(t *testing.T) {
	for _, confirms := range []bool{false, true} {
		v, id := viewWithLink(18)
		v.links[0].pending = nil
		v.links[0].syncing = false
		v.setState(testStart, v.members[vmID(5)], Suspect)
		sent := 0
		for i := range 200 {
			now := testStart.Add(time.Duration(i) * heartbeatInterval)
			h := v.BuildHeartbeat(now, id, News{})
			v.links[0].heartbeatsSinceRepair = 0 // No repair.
			for _, m := range h.GetMembers() {
				if m.GetId() == vmID(5) {
					sent++
				}
			}
			if confirms {
				v.HandleHeartbeat(now, id, &wire.Heartbeat{Incarnation: 1, Seq: h.GetSeq(), Heard: h.GetSeq()})
			}
		}
		if limit := v.maxSends(); (confirms && sent != 1) || (!confirms && (sent < 2 || sent > limit)) {
			t.Errorf("acknowledged %v: sent %d times, limit %d", confirms, sent, limit)
		}
	}
}

// Guards against a suspicion or query that the VM does not refute, against a
// version raised twice for one suspicion, and against the refutation of a record of
// another process with the same id.
func TestSuspicionIsRefutedOnce(t *testing.T) {
	cases := []struct {
		name     string
		record   *wire.Member
		version  uint64
		replaced bool
	}{
		{"suspicion", &wire.Member{Incarnation: 1, Version: 1, State: wire.State_STATE_SUSPECT}, 2, false},
		{"query", &wire.Member{Incarnation: 1, Version: 1}, 2, false},
		{"gone at a later version", &wire.Member{Incarnation: 1, Version: 7, State: wire.State_STATE_GONE}, 8, false},
		{"old suspicion", &wire.Member{Incarnation: 1, Version: 0, State: wire.State_STATE_SUSPECT}, 1, false},
		{"earlier process", &wire.Member{Incarnation: 0, Version: 9, State: wire.State_STATE_GONE}, 1, false},
		{"later process", &wire.Member{Incarnation: 2, Version: 1, State: wire.State_STATE_ALIVE}, 1, true},
	}
	for _, c := range cases {
		v, id := viewWithLink(3)
		c.record.Id = v.self.id
		for range 2 {
			v.HandleHeartbeat(testStart, id, &wire.Heartbeat{Incarnation: 1, Members: []*wire.Member{c.record}})
		}
		if got := v.Self().Version(); got != c.version || v.Tick(testStart).Replaced != c.replaced {
			t.Errorf("%s: version %d, want %d", c.name, got, c.version)
		}
	}
}

// Guards against reports that exceed their bandwidth limit, and against urgent
// reports that are delayed by non-urgent ones.
func TestReportBytesAreBounded(t *testing.T) {
	v, id := viewWithLink(3)
	total, urgent := 0, 0
	const seconds = 20
	for i := range seconds * 2 {
		now := testStart.Add(time.Duration(i) * heartbeatInterval)
		reports := []*wire.Report{{Service: "layout", Server: "bad", Bad: 1}}
		for k := range 1000 {
			reports = append(reports, &wire.Report{Service: "layout", Server: fmt.Sprint(k), Good: 1})
		}
		v.Report(now, reports)
		h := v.BuildHeartbeat(now, id, News{})
		for _, r := range h.GetReports() {
			total += proto.Size(r)
			if r.GetServer() == "bad" {
				urgent++
			}
		}
	}
	if limit := reportBurstBytes + seconds*reportBytesPerSecond; total > limit {
		t.Errorf("%d bytes of reports, limit %d", total, limit)
	}
	if urgent != seconds*2 {
		t.Errorf("%d of %d urgent reports sent", urgent, seconds*2)
	}
}

// Guards against addresses of members that are not alive, addresses of other
// availability zones before those of the caller's zone, and an order that varies
// for one caller or is the same for all callers.
func TestEntryAddrs(t *testing.T) {
	v := NewView(testStart, NewMember(vmID(0), 1, "zone-0", vmID(0), "entry-"+vmID(0)), nil, 1)
	for i := 1; i < 40; i++ {
		id := vmID(i)
		m := NewMember(id, 1, fmt.Sprintf("zone-%d", i%4), id, "entry-"+id)
		if i > 36 {
			m.state = State(i - 35) // Suspect, Leaving, Gone.
		}
		v.insert(testStart, m)
	}
	s := v.Snapshot()
	first := s.EntryAddrs("zone-1", "a")
	if len(first) != 37 || !slices.Equal(first, s.EntryAddrs("zone-1", "a")) || slices.Equal(first, s.EntryAddrs("zone-1", "b")) {
		t.Errorf("%d entries: %v", len(first), first)
	}
	for i, addr := range first {
		r := v.members[addr[len("entry-"):]]
		if near := r.zone == "zone-1"; near != (i < 9) || r.state != Alive {
			t.Errorf("entry %d is %s in %s", i, addr, r.zone)
		}
	}
	if n := len(s.AliveByZone()["zone-1"]); n != 9 {
		t.Errorf("%d members in the availability zone", n)
	}
}
