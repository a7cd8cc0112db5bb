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

// faults makes the platform behave as the JSON in faults says.
func (c *cluster) faults(t *testing.T, faults string) {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPut, "http://"+c.platform+"/control/faults", strings.NewReader(faults))
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("faults: status %d", resp.StatusCode)
	}
}

// Guards against a platform outage that stops the fleet: the release stays applied, a VM
// that starts gets it from its peers, and requests with issued idempotency keys are
// accepted and run once. Only claims of callers' own keys fail.
func TestPlatformOutage(t *testing.T) {
	c := newCluster(t, 3, 2)
	if out, code := c.publish(c.release("first"), c.vms[0].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	c.awaitGeneration(1, c.vms...)
	c.faults(t, `{"outage":"drop"}`)

	newVM := c.startVM()
	if r := call(http.MethodGet, "http://"+newVM.entry+"/signs/1", ""); !r.own("/signs/1") && r.ran != "no" {
		t.Errorf("a VM without a release: %v, want not run", r)
	}
	c.awaitGeneration(1, newVM)
	if r := call(http.MethodGet, "http://"+newVM.entry+"/signs/2", ""); !r.own("/signs/2") {
		t.Errorf("lookup at the VM that started: %v", r)
	}
	for i, v := range c.vms {
		key := v.keys(1)[0]
		other := c.vms[(i+1)%len(c.vms)]
		first := call(http.MethodPost, "http://"+v.entry+"/orders/1", key)
		repeat := call(http.MethodPost, "http://"+other.entry+"/orders/1", key)
		if !first.own("/orders/1") || repeat.body != first.body {
			t.Errorf("issued key in the outage: first %v, repeat %v", first, repeat)
		}
	}
	if r := call(http.MethodPost, "http://"+newVM.entry+"/orders/2", "own-key"); r.kind != "ClaimFailed" || r.ran != "unknown" {
		t.Errorf("caller's own key in the outage: %v", r)
	}
	if out, code := c.publish(map[string]any{"id": "n", "base": 1, "withdrawn": map[string]any{"routes": []string{"signs"}}}, newVM.admin); code == 0 {
		t.Errorf("a note was accepted in the outage: %s", out)
	}
	c.faults(t, `{}`)
	eventually(t, "a claim of a caller's own key after the outage", func() bool {
		return call(http.MethodPost, "http://"+newVM.entry+"/orders/2", "own-key").own("/orders/2")
	})
	for key, n := range c.runsByKey() {
		if n > 1 {
			t.Errorf("action of key %q ran %d times", key, n)
		}
	}
}

// Guards against lost updates: of two notes published at once against the same base
// generation, one is accepted and the other is refused with the current generation, also
// when the platform loses the responses of writes that took effect. A VM that was frozen
// meanwhile must not restore the old release.
func TestConcurrentPublish(t *testing.T) {
	c := newCluster(t, 3, 3)
	if out, code := c.publish(c.release("first"), c.vms[0].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	c.awaitGeneration(1, c.vms...)
	c.faults(t, `{"lost":2,"seed":7}`)
	c.vms[2].signal(syscall.SIGSTOP)
	notes := []map[string]any{
		{"id": "a", "base": 1, "withdrawn": map[string]any{"routes": []string{"signs"}}},
		{"id": "b", "base": 1, "withdrawn": map[string]any{"routes": []string{"orders"}}},
	}
	outs, codes := make([]string, 2), make([]int, 2)
	var wg sync.WaitGroup
	for i, n := range notes {
		wg.Go(func() { outs[i], codes[i] = c.publish(n, c.vms[i].admin) })
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
	c.vms[2].signal(syscall.SIGCONT)
	c.awaitGeneration(2, c.vms...)
	withdrawnPath := []string{"/signs/1", "/orders/1"}[winner]
	for i, v := range c.vms {
		method := []string{http.MethodGet, http.MethodPost}[winner]
		if r := call(method, "http://"+v.entry+withdrawnPath, ""); r.kind != "NoRoute" {
			t.Errorf("VM %d still serves the withdrawn route: %v", i, r)
		}
	}
	if out, code := c.publish(notes[winner], c.vms[2].admin); code != 0 || !strings.Contains(out, "generation 2") {
		t.Errorf("repeat of the accepted note: exit %d, %s", code, out)
	}
}

// Guards against a VM that keeps an old release because it cannot reach the platform: it
// has to get new releases from its peers.
func TestReleaseThroughPeers(t *testing.T) {
	c := newCluster(t, 3, 2)
	unreachable := closedAddr(t)
	isolated := c.startVMWith(unreachable)
	if out, code := c.publish(c.release("first"), c.vms[0].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	c.awaitGeneration(1, c.vms...)
	if r := call(http.MethodGet, "http://"+isolated.entry+"/signs/1", ""); !r.own("/signs/1") {
		t.Errorf("lookup at the VM without the platform: %v", r)
	}
	if out, code := c.publish(map[string]any{"id": "n", "base": 1, "withdrawn": map[string]any{"routes": []string{"signs"}}}, c.vms[1].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	c.awaitGeneration(2, c.vms...)
	if r := call(http.MethodGet, "http://"+isolated.entry+"/signs/1", ""); r.kind != "NoRoute" {
		t.Errorf("withdrawn route at the VM without the platform: %v", r)
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

// shutdownNoticeTime is how long a backend server may still get new requests after it
// started its graceful shutdown.
const shutdownNoticeTime = 3 * time.Second

// Guards against VMs that keep sending to a backend server in graceful shutdown. Its
// health checks pass, and only VMs that get its responses see the shutdown; the others
// have to learn it from them within 3 s.
func TestServerGracefulShutdown(t *testing.T) {
	c := newCluster(t, 4, 3)
	if out, code := c.publish(c.release("first"), c.vms[0].admin); code != 0 {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	c.awaitGeneration(1, c.vms...)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i, v := range c.vms {
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(5*(i+1)) * time.Millisecond):
				}
				path := fmt.Sprintf("/signs/%d-%d", i, n)
				if r := call(http.MethodGet, "http://"+v.entry+path, ""); !r.own(path) {
					t.Errorf("%s: %v", path, r)
				}
			}
		})
	}
	defer load.Wait()
	defer close(stop)
	eventually(t, "requests at the server", func() bool { return c.requestsReceived(1) > 20 })
	resp, err := client.Post("http://"+c.workers[1]+"/standin/drain", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	time.Sleep(shutdownNoticeTime)
	before := c.requestsReceived(1)
	time.Sleep(shutdownNoticeTime)
	if after := c.requestsReceived(1); after != before {
		t.Errorf("%d requests arrived at the stopping server after %v", after-before, shutdownNoticeTime)
	}
}

// requestsReceived returns how many requests a worker has received.
func (c *cluster) requestsReceived(worker int) int {
	c.t.Helper()
	var n int
	if err := getJSON("http://"+c.workers[worker]+"/standin/arrived", &n); err != nil {
		c.t.Fatal(err)
	}
	return n
}
