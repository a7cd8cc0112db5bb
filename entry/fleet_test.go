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
