package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

func (s *site) faults(t *testing.T, faults string) {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPut, "http://"+s.platform+"/control/faults", strings.NewReader(faults))
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("faults: status %d", resp.StatusCode)
	}
}

// While the platform is away, the release stays in effect, a VM that starts learns
// it from its peers, and approvals with issued keys are accepted and run once.
func TestPlatformOutage(t *testing.T) {
	s := newSite(t, 3, 2)
	if out, code := s.publish(s.release("first"), s.vms[0].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	s.awaitGeneration(1, s.vms...)
	s.faults(t, `{"outage":"drop"}`)

	late := s.startVM()
	if a := call(http.MethodGet, "http://"+late.entry+"/signs/1", ""); !a.own("/signs/1") && a.ran != "no" {
		t.Errorf("a VM without a release: %v, want not run", a)
	}
	s.awaitGeneration(1, late)
	if a := call(http.MethodGet, "http://"+late.entry+"/signs/2", ""); !a.own("/signs/2") {
		t.Errorf("lookup at the VM that started: %v", a)
	}
	for i, v := range s.vms {
		key := v.keys(1)[0]
		other := s.vms[(i+1)%len(s.vms)]
		first := call(http.MethodPost, "http://"+v.entry+"/orders/1", key)
		again := call(http.MethodPost, "http://"+other.entry+"/orders/1", key)
		if !first.own("/orders/1") || again.body != first.body {
			t.Errorf("issued key in the outage: first %v, repeat %v", first, again)
		}
	}
	if a := call(http.MethodPost, "http://"+late.entry+"/orders/2", "own-key"); a.kind != "ClaimFailed" || a.ran != "unknown" {
		t.Errorf("caller's own key in the outage: %v", a)
	}
	if out, code := s.publish(map[string]any{"id": "n", "base": 1, "withdrawn": map[string]any{"routes": []string{"signs"}}}, late.admin); code == 0 {
		t.Errorf("a note was accepted in the outage: %s", out)
	}
	s.faults(t, `{}`)
	eventually(t, "own keys work again", func() bool {
		return call(http.MethodPost, "http://"+late.entry+"/orders/2", "own-key").own("/orders/2")
	})
	for key, n := range s.runs() {
		if n > 1 {
			t.Errorf("the action of key %q ran %d times", key, n)
		}
	}
}

// Of two operators who publish against the same release at once, one wins and the
// other learns the current generation, also when the platform loses answers of
// writes that took effect. A VM that was frozen meanwhile does not bring the old
// release back.
func TestOperatorsAtOnce(t *testing.T) {
	s := newSite(t, 3, 3)
	if out, code := s.publish(s.release("first"), s.vms[0].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	s.awaitGeneration(1, s.vms...)
	s.faults(t, `{"lost":2,"seed":7}`)
	s.vms[2].signal(syscall.SIGSTOP)
	notes := []map[string]any{
		{"id": "a", "base": 1, "withdrawn": map[string]any{"routes": []string{"signs"}}},
		{"id": "b", "base": 1, "withdrawn": map[string]any{"routes": []string{"orders"}}},
	}
	outs, codes := make([]string, 2), make([]int, 2)
	var wg sync.WaitGroup
	for i, n := range notes {
		wg.Go(func() { outs[i], codes[i] = s.publish(n, s.vms[i].admin) })
	}
	wg.Wait()
	winner := 0
	if codes[0] != 0 {
		winner = 1
	}
	loser := 1 - winner
	if codes[winner] != 0 || codes[loser] != exitInvalid || !strings.Contains(outs[loser], "generation is 2") {
		t.Fatalf("exit codes %v, output %q", codes, outs)
	}
	s.vms[2].signal(syscall.SIGCONT)
	s.awaitGeneration(2, s.vms...)
	gone := []string{"/signs/1", "/orders/1"}[winner]
	for i, v := range s.vms {
		method := []string{http.MethodGet, http.MethodPost}[winner]
		if a := call(method, "http://"+v.entry+gone, ""); a.kind != "NoRoute" {
			t.Errorf("VM %d has the withdrawn route: %v", i, a)
		}
	}
	if out, code := s.publish(notes[winner], s.vms[2].admin); code != 0 || !strings.Contains(out, "generation 2") {
		t.Errorf("repeat of the note that won: exit %d, %s", code, out)
	}
}

// A VM that cannot reach the platform follows new releases through its peers.
func TestReleaseThroughPeers(t *testing.T) {
	s := newSite(t, 3, 2)
	nobody := closedAddr(t)
	cut := s.startVMWith(nobody)
	if out, code := s.publish(s.release("first"), s.vms[0].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	s.awaitGeneration(1, s.vms...)
	if a := call(http.MethodGet, "http://"+cut.entry+"/signs/1", ""); !a.own("/signs/1") {
		t.Errorf("lookup at the VM without the platform: %v", a)
	}
	if out, code := s.publish(map[string]any{"id": "n", "base": 1, "withdrawn": map[string]any{"routes": []string{"signs"}}}, s.vms[1].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	s.awaitGeneration(2, s.vms...)
	if a := call(http.MethodGet, "http://"+cut.entry+"/signs/1", ""); a.kind != "NoRoute" {
		t.Errorf("withdrawn route at the VM without the platform: %v", a)
	}
}

// closedAddr returns an address on which nothing listens.
func closedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// leavingBound is how long after a backend server began to leave it may get new
// work.
const leavingBound = 3 * time.Second

// A backend server that leaves gets no new work from any VM after 3 s, although
// its probes pass and only the VMs that sent it work were told.
func TestLeavingServer(t *testing.T) {
	s := newSite(t, 4, 3)
	if out, code := s.publish(s.release("first"), s.vms[0].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	s.awaitGeneration(1, s.vms...)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i, v := range s.vms {
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(5*(i+1)) * time.Millisecond):
				}
				path := fmt.Sprintf("/signs/%d-%d", i, n)
				if a := call(http.MethodGet, "http://"+v.entry+path, ""); !a.own(path) {
					t.Errorf("%s: %v", path, a)
				}
			}
		})
	}
	defer load.Wait()
	defer close(stop)
	eventually(t, "work at the server", func() bool { return s.arrived(1) > 20 })
	resp, err := client.Post("http://"+s.workers[1]+"/standin/drain", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	time.Sleep(leavingBound)
	before := s.arrived(1)
	time.Sleep(leavingBound)
	if after := s.arrived(1); after != before {
		t.Errorf("%d requests arrived at the leaving server after %v", after-before, leavingBound)
	}
}

// arrived returns how many requests a worker has received.
func (s *site) arrived(worker int) int {
	s.t.Helper()
	var n int
	if err := getJSON("http://"+s.workers[worker]+"/standin/arrived", &n); err != nil {
		s.t.Fatal(err)
	}
	return n
}
