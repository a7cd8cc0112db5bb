package entry

import (
	"fmt"
	"testing"

	"github.com/azuredeal/azuredeal/note"
)

// Guards against backend servers that fall to no VM of their zone, and against VMs without
// a part.
func TestHomeDividesTheZone(t *testing.T) {
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
				part := place{zone: "z", index: vm, count: c.vms}.home(s)
				if len(part) == 0 || len(part) > c.servers/c.vms+1 {
					t.Errorf("VM %d has %d servers", vm, len(part))
				}
				for _, addr := range part {
					owners[addr]++
				}
			}
			if len(owners) != c.servers {
				t.Errorf("%d servers have a VM", len(owners))
			}
		})
	}
	if part := (place{zone: "z"}).home(note.Service{Servers: []note.Server{{Addr: "10.0.0.1:80", Zone: "z"}}}); part != nil {
		t.Errorf("a VM without a place has the part %v", part)
	}
}

// Guards against a large service whose subset on a VM lacks the servers that fall to it.
func TestSubsetKeepsHome(t *testing.T) {
	s := note.Service{Name: "a"}
	for i := range 4 * subsetSize {
		s.Servers = append(s.Servers, note.Server{Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z", Slots: 3})
	}
	p := place{vm: "vm-1", zone: "z", index: 1, count: 8}
	kept := map[string]bool{}
	for _, b := range subset(s, p) {
		kept[b.Addr] = true
	}
	for _, addr := range p.home(s) {
		if !kept[addr] {
			t.Errorf("%s is left out", addr)
		}
	}
}
