package entry

import (
	"fmt"
	"testing"

	"github.com/azuredeal/azuredeal/note"
)

// Guards against backend servers that no VM of their zone prefers, and against VMs
// without preferred servers or with more than an even share.
func TestPreferredServersDivideZone(t *testing.T) {
	for _, c := range []struct{ servers, vms int }{{36, 12}, {35, 12}, {5, 5}, {3, 5}, {1, 4}, {7, 2}} {
		t.Run(fmt.Sprintf("%d servers %d VMs", c.servers, c.vms), func(t *testing.T) {
			s := note.Service{Name: "a", Servers: []note.Server{
				{Addr: "10.9.0.1:80", Zone: "other"},
				{Addr: "10.9.0.2:80", Zone: "z", Leaving: true},
			}}
			for i := range c.servers {
				s.Servers = append(s.Servers, note.Server{Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z"})
			}
			owners := map[string]int{}
			for vm := range c.vms {
				preferred := position{zone: "z", index: vm, count: c.vms}.preferredServers(s)
				if len(preferred) == 0 || len(preferred) > c.servers/c.vms+1 {
					t.Errorf("VM %d prefers %d servers", vm, len(preferred))
				}
				for _, addr := range preferred {
					owners[addr]++
				}
			}
			if len(owners) != c.servers {
				t.Errorf("%d servers are preferred by a VM", len(owners))
			}
		})
	}
	if preferred := (position{zone: "z"}).preferredServers(note.Service{Servers: []note.Server{{Addr: "10.0.0.1:80", Zone: "z"}}}); preferred != nil {
		t.Errorf("a VM without a position prefers %v", preferred)
	}
}

// Guards against a service with more than subsetSize servers whose subset on a VM lacks
// the preferred servers of this VM.
func TestSubsetKeepsPreferredServers(t *testing.T) {
	s := note.Service{Name: "a"}
	for i := range 4 * subsetSize {
		s.Servers = append(s.Servers, note.Server{Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z", Slots: 3})
	}
	p := position{vm: "vm-1", zone: "z", index: 1, count: 8}
	kept := map[string]bool{}
	for _, b := range subsetServers(s, p) {
		kept[b.Addr] = true
	}
	for _, addr := range p.preferredServers(s) {
		if !kept[addr] {
			t.Errorf("%s is not in the subset", addr)
		}
	}
}

// largeService returns a service with servers evenly in availability zones.
func largeService(servers, zones int) note.Service {
	s := note.Service{Name: "a", Floor: servers * 7 / 10, Detection: note.Detection{Profile: note.ProfileSwitch}}
	for i := range servers {
		s.Servers = append(s.Servers, note.Server{
			Addr: fmt.Sprintf("10.%d.%d.%d:80", i%zones, i/250, i%250), Zone: fmt.Sprint("zone-", i%zones), Slots: 3,
		})
	}
	return s
}

// usersOf returns how many VMs use each server, and how many servers each VM uses.
func usersOf(s note.Service, vms, zones int, lost func(vm int) bool) (users map[string]int, used []int) {
	users = map[string]int{}
	perZone := make([]int, zones)
	for vm := range vms {
		perZone[vm%zones]++
	}
	for vm := range vms {
		if lost(vm) {
			continue
		}
		p := position{
			vm: fmt.Sprint("vm-", vm), zone: fmt.Sprint("zone-", vm%zones),
			index: vm / zones, count: perZone[vm%zones], fleet: vms,
		}
		list := subsetServers(s, p)
		used = append(used, len(list))
		for _, b := range list {
			users[b.Addr]++
		}
	}
	return users, used
}

// Pattern: a large fleet in front of a large service. Guards against VMs that use most of
// the servers, each so seldom that its failures show late, against servers that no VM uses
// once a third of the VMs or a whole availability zone is lost, and against servers that
// more VMs connect to than they accept connections.
func TestPatternApertureOfLargeFleets(t *testing.T) {
	const conns = 390 // Connections that a server of the smallest deployment accepts.
	none := func(int) bool { return false }
	for _, c := range []struct{ vms, servers, zones int }{{50, 142, 4}, {42, 119, 4}, {178, 585, 6}, {178, 405, 6}, {300, 990, 6}, {1300, 600, 6}, {1300, 70, 6}} {
		t.Run(fmt.Sprintf("%d VMs %d servers", c.vms, c.servers), func(t *testing.T) {
			s := largeService(c.servers, c.zones)
			users, used := usersOf(s, c.vms, c.zones, none)
			want := max(farServers, vmsPerServer*c.servers/c.vms) + (2*nearVMs+1)*(c.servers/c.vms+1)
			for vm, n := range used {
				if n > want {
					t.Errorf("VM %d uses %d servers, want at most %d", vm, n, want)
				}
			}
			if len(users) != c.servers {
				t.Errorf("%d servers are used", len(users))
			}
			for addr, n := range users {
				// 70 servers are too few for 1,300 VMs: docs/CAPACITY.md, "What breaks first".
				if n > conns && c.servers > 70 {
					t.Errorf("%d VMs use %s", n, addr)
				}
			}
			for name, lost := range map[string]func(int) bool{
				"every third VM": func(vm int) bool { return vm%3 == 0 },
				"a zone":         func(vm int) bool { return vm%c.zones == 0 },
			} {
				if users, _ := usersOf(s, c.vms, c.zones, lost); len(users) < c.servers*95/100 {
					t.Errorf("without %s %d servers are used", name, len(users))
				}
			}
		})
	}
}

// Guards against a server that comes or goes and moves many pairs of VMs and servers, each
// of which costs connections and knowledge, and against a VM of few that leaves servers of
// a large service unused.
func TestApertureMovesFewPairs(t *testing.T) {
	s := largeService(585, 6)
	p := position{vm: "vm-1", zone: "zone-1", index: 3, count: 30, fleet: 178}
	before := map[string]bool{}
	for _, b := range subsetServers(s, p) {
		before[b.Addr] = true
	}
	moved := 0
	for i := range s.Servers {
		rest := s
		rest.Servers = append(append([]note.Server{}, s.Servers[:i]...), s.Servers[i+1:]...)
		for _, b := range subsetServers(rest, p) {
			if !before[b.Addr] {
				moved++
			}
		}
	}
	// A lost server of the zone shifts the range of near servers by one at most at either
	// end, and a far one is replaced by another.
	if limit := 2*585/6 + 2*farServers; moved > limit {
		t.Errorf("%d new pairs in 585 losses of one server, want at most %d", moved, limit)
	}
	if n := len(subsetServers(s, position{vm: "vm-1", zone: "zone-1", count: 1, fleet: 3})); n != 585 {
		t.Errorf("one of 3 VMs uses %d of 585 servers", n)
	}
	fleet := 0
	for _, c := range []struct{ vms, want int }{{178, 178}, {170, 178}, {190, 178}, {150, 150}, {1, 1}, {2, 2}} {
		if fleet = (position{fleet: fleet}).roundFleet(c.vms); fleet != c.want {
			t.Errorf("a fleet of %d counts as %d, want %d", c.vms, fleet, c.want)
		}
	}
}
