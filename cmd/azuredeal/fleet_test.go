package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against responses that are mixed up or lost, and against a repeated run of an
// action with an idempotency key, in a fleet of separate processes: a worker stalls, one
// VM is frozen, one is killed and one shuts down.
func TestFleet(t *testing.T) {
	c := newCluster(t, 6, 3)
	out, code := c.publish(c.release("first"), c.vms[0].admin)
	if code != 0 || !strings.Contains(out, "generation 1") {
		t.Fatalf("publish: exit %d, %s", code, out)
	}
	c.awaitGeneration(1, c.vms...)
	t.Run("addresses", c.testAddresses)
	t.Run("requests", c.testRequests)
	t.Run("publish again", c.testPublishAgain)
	t.Run("no operators' API on the callers' address", c.testNoAdminOnEntryAddress)
	t.Run("stalled worker", c.testStalledWorker)
	t.Run("frozen VM", c.testFrozenVM)
	t.Run("killed VM", c.testKilledVM)
	t.Run("graceful shutdown", c.testShutdown)
	for key, n := range c.runsByKey() {
		if n > 1 {
			t.Errorf("action of key %q ran %d times", key, n)
		}
	}
}

func (c *cluster) testAddresses(t *testing.T) {
	var got struct {
		Addresses []struct{ Addr, Zone string }
		TTL       string
	}
	eventually(t, "all addresses", func() bool {
		err := getJSON("http://"+c.vms[0].entry+"/azuredeal/v1/addresses?zone=zone-2", &got)
		return err == nil && len(got.Addresses) == 3
	})
	if got.Addresses[0].Zone != "zone-2" || got.Addresses[0].Addr != c.vms[1].entry {
		t.Errorf("first address = %v, want that of the caller's zone", got.Addresses[0])
	}
	if got.TTL != "300ms" {
		t.Errorf("ttl = %q", got.TTL)
	}
}

func (c *cluster) testRequests(t *testing.T) {
	var wg sync.WaitGroup
	for i := range 150 {
		time.Sleep(2 * time.Millisecond) // The workers would shed a burst.
		wg.Go(func() {
			path := fmt.Sprintf("/signs/%d", i)
			if r := call(http.MethodGet, "http://"+c.vms[i%3].entry+path, ""); !r.own(path) {
				t.Errorf("%s: %v", path, r)
			}
		})
	}
	keys := c.vms[0].keys(30)
	for i, key := range keys {
		wg.Go(func() {
			path := fmt.Sprintf("/orders/%d", i)
			first := call(http.MethodPost, "http://"+c.vms[i%3].entry+path, key)
			repeat := call(http.MethodPost, "http://"+c.vms[(i+1)%3].entry+path, key)
			if !first.own(path) || repeat.body != first.body {
				t.Errorf("%s: first %v, repeat %v", path, first, repeat)
			}
		})
	}
	wg.Wait()
	own := call(http.MethodPost, "http://"+c.vms[0].entry+"/orders/own", "a caller's own key")
	repeat := call(http.MethodPost, "http://"+c.vms[1].entry+"/orders/own", "a caller's own key")
	if !own.own("/orders/own") || repeat.body != own.body {
		t.Errorf("own key: first %v, repeat %v", own, repeat)
	}
	other := call(http.MethodPost, "http://"+c.vms[1].entry+"/orders/other", "a caller's own key")
	if other.kind != "KeyReused" {
		t.Errorf("same key for another request: %v", other)
	}
	if r := call(http.MethodPost, "http://"+c.vms[1].entry+"/orders/none", ""); r.kind != "KeyMissing" {
		t.Errorf("no key: %v", r)
	}
}

func (c *cluster) testPublishAgain(t *testing.T) {
	if out, code := c.publish(c.release("first"), c.vms[1].admin); code != 0 || !strings.Contains(out, "generation 1") {
		t.Errorf("repeat of an accepted note: exit %d, %s", code, out)
	}
	stale := c.release("late")
	if out, code := c.publish(stale, c.vms[1].admin); code != exitInvalid || !strings.Contains(out, "Conflict") {
		t.Errorf("note against an old generation: exit %d, %s", code, out)
	}
}

func (c *cluster) testNoAdminOnEntryAddress(t *testing.T) {
	for _, path := range []string{"/v1/dump", "/v1/releases", "/metrics", "/readyz"} {
		if r := call(http.MethodGet, "http://"+c.vms[0].entry+path, ""); r.kind != "NoRoute" {
			t.Errorf("%s on the callers' address: %v", path, r)
		}
	}
}

// Guards against a gray failure that reaches callers: the worker passes its health checks
// but stalls requests. At most 1 % of the lookups may fail, as the demo expects too.
func (c *cluster) testStalledWorker(t *testing.T) {
	c.setBehavior(2, `{"mode":"Stall"}`)
	defer c.setBehavior(2, `{"mode":"Normal"}`)
	keys := c.vms[1].keys(30)
	var wg sync.WaitGroup
	var failed atomic.Int64
	for i := range 300 {
		time.Sleep(5 * time.Millisecond)
		wg.Go(func() {
			path := fmt.Sprintf("/signs/%d", i)
			r := call(http.MethodGet, "http://"+c.vms[i%3].entry+path, "")
			switch {
			case r.own(path):
			case r.kind != "":
				failed.Add(1)
				t.Logf("%s: %v", path, r)
			default:
				t.Errorf("%s: %v, want its own response or a refusal", path, r)
			}
		})
		if i < len(keys) {
			wg.Go(func() {
				path := fmt.Sprintf("/orders/stall-%d", i)
				r := call(http.MethodPost, "http://"+c.vms[1].entry+path, keys[i])
				ownTimeout := r.status == http.StatusGatewayTimeout && r.kind == "" // The response of the worker itself.
				if !r.own(path) && !ownTimeout && r.ran != "unknown" {
					t.Errorf("%s: %v, want its own response or unknown", path, r)
				}
			})
		}
	}
	wg.Wait()
	if n := failed.Load(); n > 3 {
		t.Errorf("%d of 300 lookups failed", n)
	}
}

// Guards against a key owner that was frozen and, once resumed, runs an action that
// callers were told had not run.
func (c *cluster) testFrozenVM(t *testing.T) {
	frozen := c.vms[1]
	keys := frozen.keys(10)
	frozen.signal(syscall.SIGSTOP)
	var wg sync.WaitGroup
	responses := make([]response, len(keys))
	for i, key := range keys {
		wg.Go(func() {
			responses[i] = call(http.MethodPost, fmt.Sprintf("http://%s/orders/frozen-%d", c.vms[0].entry, i), key)
		})
	}
	wg.Wait()
	frozen.signal(syscall.SIGCONT)
	for i, r := range responses {
		if r.ran == "no" {
			t.Errorf("key %d of a frozen owner: %v, want unknown", i, r)
		}
	}
	eventually(t, "response of the resumed VM", func() bool {
		return call(http.MethodGet, "http://"+frozen.entry+"/signs/awake", "").own("/signs/awake")
	})
}

func (c *cluster) testKilledVM(t *testing.T) {
	killed := c.vms[2]
	keys := killed.keys(2)
	first := call(http.MethodPost, "http://"+killed.entry+"/orders/killed", keys[0])
	if !first.own("/orders/killed") {
		t.Fatalf("before the kill: %v", first)
	}
	killed.signal(syscall.SIGKILL)
	killed.exitCode()
	for i, key := range keys {
		path := []string{"/orders/killed", "/orders/never"}[i]
		if r := call(http.MethodPost, "http://"+c.vms[0].entry+path, key); r.kind != "OwnerLost" || r.ran != "unknown" {
			t.Errorf("key of a killed VM: %v, want OwnerLost", r)
		}
	}
	if n := c.runsByKey()[keys[1]]; n != 0 {
		t.Errorf("action of a key whose owner was killed ran %d times elsewhere", n)
	}
	eventually(t, "removal of the killed VM from the addresses", func() bool {
		var got struct{ Addresses []struct{ Addr string } }
		return getJSON("http://"+c.vms[0].entry+"/azuredeal/v1/addresses", &got) == nil && len(got.Addresses) == 2
	})
}

// Guards against a graceful shutdown that aborts in-flight requests or leaves the VM in
// the addresses that callers get.
func (c *cluster) testShutdown(t *testing.T) {
	c.setBehavior(0, `{"mode":"Slow","factor":200}`)
	for i := range c.workers {
		c.setBehavior(i, `{"mode":"Slow","factor":200}`)
	}
	stopping := c.vms[1]
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			path := fmt.Sprintf("/signs/slow-%d", i)
			if r := call(http.MethodGet, "http://"+stopping.entry+path, ""); !r.own(path) {
				t.Errorf("request in flight at the shutdown: %v", r)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	stopping.signal(syscall.SIGTERM)
	eventually(t, "removal of the stopping VM from the addresses", func() bool {
		var got struct{ Addresses []struct{ Addr string } }
		return getJSON("http://"+c.vms[0].entry+"/azuredeal/v1/addresses", &got) == nil && len(got.Addresses) == 1
	})
	wg.Wait()
	if code := stopping.exitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}
