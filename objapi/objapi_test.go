package objapi_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/objapi"
	"github.com/azuredeal/azuredeal/seed"
	"github.com/azuredeal/azuredeal/store"
)

func start(t *testing.T, opts ...store.Option) (*objapi.Server, *store.Client, string) {
	t.Helper()
	api := objapi.New(store.NewMemory())
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	return api, store.NewHTTP(server.URL, server.Client(), opts...), server.URL
}

// Guards against writes that ignore their condition, and against versions that the
// client does not get back.
func TestConditionsAndVersions(t *testing.T) {
	_, c, _ := start(t)
	ctx := t.Context()
	if o, err := c.Get(ctx, "a/b"); err != nil || o.Version != 0 {
		t.Fatalf("object that does not exist: %+v, %v", o, err)
	}
	v1, err := c.Put(ctx, "a/b", []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, "a/b", []byte("two"), 0); fault.KindOf(err) != fault.Conflict {
		t.Fatalf("second create: %v", err)
	}
	if _, err := c.Put(ctx, "a/b", []byte("two"), v1+7); fault.KindOf(err) != fault.Conflict {
		t.Fatalf("wrong version: %v", err)
	}
	v2, err := c.Put(ctx, "a/b", []byte("two"), v1)
	if err != nil || v2 <= v1 {
		t.Fatalf("update: %d after %d, %v", v2, v1, err)
	}
	list, err := c.List(ctx, "a/")
	if err != nil || len(list) != 1 || list[0] != (store.ObjectInfo{Name: "a/b", Version: v2}) {
		t.Fatalf("list: %v, %v", list, err)
	}
	if err := c.Delete(ctx, "a/b", v1); fault.KindOf(err) != fault.Conflict {
		t.Fatalf("delete at an old version: %v", err)
	}
	if err := c.Delete(ctx, "a/b", v2); err != nil {
		t.Fatal(err)
	}
	if o, err := c.Get(ctx, "a/b"); err != nil || o.Version != 0 {
		t.Fatalf("after delete: %+v, %v", o, err)
	}
}

// Guards against a write whose condition was read before the platform came back from a copy and
// holds by chance since, and against a watch that goes on waiting in another era.
func TestRestore(t *testing.T) {
	api, c, _ := start(t, store.WithWait(time.Minute))
	ctx := t.Context()
	kept, err := c.Put(ctx, "kept", []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	api.Copy()
	lost, err := c.Put(ctx, "lost", []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	watched := make(chan store.Object)
	go func() {
		o, _ := c.Watch(ctx, "lost", lost)
		watched <- o
	}()
	api.Restore()
	if o := <-watched; o.Version.Exists() || o.Version.Era() != store.FirstEra+1 {
		t.Errorf("watch of a lost object: version %d of era %d", o.Version.Number(), o.Version.Era())
	}
	absent, err := c.Get(ctx, "other")
	if err != nil {
		t.Fatal(err)
	}
	again, err := c.Put(ctx, "other", []byte("two"), absent.Version)
	if err != nil || again.Number() != lost.Number() {
		t.Fatalf("version %d, want %d given out again, %v", again.Number(), lost.Number(), err)
	}
	for _, write := range []struct {
		name string
		cond store.Version
	}{{"kept", kept}, {"lost", 0}, {"other", lost}} {
		if _, err := c.Put(ctx, write.name, []byte("late"), write.cond); fault.KindOf(err) != fault.Conflict {
			t.Errorf("write of %q with a condition of the era before: %v", write.name, err)
		}
	}
	if err := c.Delete(ctx, "kept", kept); fault.KindOf(err) != fault.Conflict {
		t.Errorf("deletion with a condition of the era before: %v", err)
	}
	o, err := c.Get(ctx, "kept")
	if err != nil || string(o.Value) != "one" || o.Version.Number() != kept.Number() || o.Version <= kept {
		t.Errorf("kept object: %+v, %v", o, err)
	}
	list, err := c.List(ctx, "kept")
	if err != nil || len(list) != 1 || list[0].Version != o.Version {
		t.Errorf("list %v, %v", list, err)
	}
}

// Guards against eras that nobody can tell and that are taken for the first one.
func TestUnusableEra(t *testing.T) {
	for _, values := range [][]string{{"two"}, {"0"}, {"-1"}, {"1", "2"}, {"18446744073709551615"}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header()[store.EraHeader] = values
			w.Header().Set("ETag", `"7"`)
		}))
		if o, err := store.NewHTTP(server.URL, server.Client()).Get(t.Context(), "a"); fault.KindOf(err) != fault.PlatformDown {
			t.Errorf("era %q: %+v, %v", values, o, err)
		}
		server.Close()
	}
}

// Guards against values above MaxValueBytes that the client or the server accepts, and
// against names that address another object because a URL is normalized.
func TestBounds(t *testing.T) {
	_, c, base := start(t)
	big := make([]byte, store.MaxValueBytes+1)
	if _, err := c.Put(t.Context(), "big", big, 0); fault.KindOf(err) != fault.Invalid {
		t.Errorf("client accepted a value of %d bytes: %v", len(big), err)
	}
	req, _ := http.NewRequest(http.MethodPut, base+"/v1/objects/big", strings.NewReader(string(big)))
	req.Header.Set("If-None-Match", "*")
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("server response to a value that is too large: %v, %v", resp, err)
	}
	for _, name := range []string{"", "a//b", "../a", "a/."} {
		if _, err := c.Get(t.Context(), name); fault.KindOf(err) != fault.Invalid {
			t.Errorf("name %q: %v", name, err)
		}
	}
	specialName := "a b/%2F?x=1#y"
	if _, err := c.Put(t.Context(), specialName, []byte("v"), 0); err != nil {
		t.Fatal(err)
	}
	if list, _ := c.List(t.Context(), ""); len(list) != 1 || list[0].Name != specialName {
		t.Errorf("name with special characters was stored as %v", list)
	}
}

// Guards against a lost response that the client reports as a refused write: the write
// took effect, so the writer has to read the object back.
func TestLostResponse(t *testing.T) {
	api, c, _ := start(t)
	api.SetFaults(objapi.Faults{Lost: 2, Seed: seed.For(t, 5)})
	lost := 0
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		_, err := c.Put(t.Context(), name, []byte(name), 0)
		if err != nil {
			if fault.KindOf(err) != fault.PlatformDown {
				t.Fatalf("kind of a lost response: %v", err)
			}
			lost++
		}
		if o, _ := c.Get(t.Context(), name); string(o.Value) != name {
			t.Fatalf("write of %s did not take effect", name)
		}
	}
	if lost != 3 {
		t.Errorf("%d of 6 responses were lost, want every second", lost)
	}
}

// Guards against an outage that the client reports as another kind than PlatformDown.
func TestOutage(t *testing.T) {
	api, c, base := start(t, store.WithTimeout(50*time.Millisecond))
	for _, kind := range []string{objapi.OutageDrop, objapi.OutageRefuse, objapi.OutageHang} {
		api.SetFaults(objapi.Faults{Outage: kind})
		if _, err := c.Get(t.Context(), "a"); fault.KindOf(err) != fault.PlatformDown {
			t.Errorf("%s: get: %v", kind, err)
		}
		if _, err := c.Put(t.Context(), "a", nil, 0); fault.KindOf(err) != fault.PlatformDown {
			t.Errorf("%s: put: %v", kind, err)
		}
		if _, err := c.List(t.Context(), ""); fault.KindOf(err) != fault.PlatformDown {
			t.Errorf("%s: list: %v", kind, err)
		}
		if _, err := c.ListVMs(t.Context()); fault.KindOf(err) != fault.PlatformDown {
			t.Errorf("%s: vms: %v", kind, err)
		}
	}
	api.SetFaults(objapi.Faults{})
	withDefaultTimeout := store.NewHTTP(base, nil)
	if o, err := withDefaultTimeout.Get(t.Context(), "a"); err != nil || o.Version != 0 {
		t.Errorf("a write during an outage took effect: %+v, %v", o, err)
	}
}

// Guards against a watch that misses a change, does not end after its wait, or continues
// during an outage.
func TestWatch(t *testing.T) {
	api, c, _ := start(t, store.WithWait(30*time.Second))
	v1, _ := c.Put(t.Context(), "a", []byte("one"), 0)
	if o, err := c.Watch(t.Context(), "a", 0); err != nil || o.Version != v1 {
		t.Fatalf("watch of an older version: %+v, %v", o, err)
	}
	got := make(chan store.Object, 1)
	go func() {
		o, _ := c.Watch(t.Context(), "a", v1)
		got <- o
	}()
	v2, _ := c.Put(t.Context(), "a", []byte("two"), v1)
	if o := <-got; o.Version != v2 || string(o.Value) != "two" {
		t.Fatalf("watch returned %+v", o)
	}
	short := store.NewHTTP("http://platform", &http.Client{Transport: api.Transport()}, store.WithWait(10*time.Millisecond))
	if o, err := short.Watch(t.Context(), "a", v2); err != nil || o.Version != v2 {
		t.Fatalf("watch without a change: %+v, %v", o, err)
	}
	synctest.Test(t, func(t *testing.T) {
		api := objapi.New(store.NewMemory())
		c := store.NewHTTP("http://platform", &http.Client{Transport: api.Transport()})
		begin := time.Now()
		time.AfterFunc(time.Second, func() { api.SetFaults(objapi.Faults{Outage: objapi.OutageDrop}) })
		_, err := c.Watch(t.Context(), "a", 7)
		if fault.KindOf(err) != fault.PlatformDown || time.Since(begin) != time.Second {
			t.Errorf("watch during an outage ended after %v: %v", time.Since(begin), err)
		}
	})
}

// Guards against control calls that fail during an outage, and against unknown faults
// that are accepted.
func TestControl(t *testing.T) {
	api, c, base := start(t)
	put := func(path, body string, want int) {
		t.Helper()
		req, _ := http.NewRequest(http.MethodPut, base+path, strings.NewReader(body))
		if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != want {
			t.Fatalf("%s: %v, %v", body, resp, err)
		}
	}
	put("/control/faults", `{"outage":"drop","latency":1,"lost":3,"seed":9}`, http.StatusNoContent)
	if want := (objapi.Faults{Outage: objapi.OutageDrop, Latency: 1, Lost: 3, Seed: 9}); api.Faults() != want {
		t.Fatalf("faults %+v", api.Faults())
	}
	put("/control/faults", `{"outage":"maybe"}`, http.StatusBadRequest)
	put("/control/faults", `{"typo":1}`, http.StatusBadRequest)
	put("/control/faults", `{}`, http.StatusNoContent)
	put("/control/vms", `[{"id":"vm1","zone":"a","peer":"127.0.0.1:1","entry":"127.0.0.1:2","leaving":true}]`,
		http.StatusNoContent)
	vms, err := c.ListVMs(t.Context())
	if err != nil || len(vms) != 1 || vms[0].Zone != "a" || !vms[0].Leaving {
		t.Fatalf("VMs: %+v, %v", vms, err)
	}
}

// Guards against waiting watches that are missing from the read rate, against rates that
// are kept without bound, and against latency that is not added.
func TestRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := objapi.New(store.NewMemory())
		call := func(method, path string) {
			r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader("x"))
			r.Header.Set("If-None-Match", "*")
			api.ServeHTTP(httptest.NewRecorder(), r)
		}
		call(http.MethodPut, "/v1/objects/a")
		call(http.MethodGet, "/v1/objects/a")
		for range 2 {
			go call(http.MethodGet, "/v1/objects/a?watch=1&wait=2500ms")
		}
		time.Sleep(5 * time.Second)
		want := [][2]int{{3, 1}, {2, 0}, {2, 0}, {0, 0}, {0, 0}, {0, 0}}
		got := api.Rates()
		for i, w := range want {
			if got[i].Reads != w[0] || got[i].Writes != w[1] {
				t.Errorf("second %d: %+v, want %v", i, got[i], w)
			}
		}
		begin := time.Now()
		api.SetFaults(objapi.Faults{Latency: 700})
		call(http.MethodGet, "/v1/vms")
		if took := time.Since(begin); took != 700*time.Millisecond {
			t.Errorf("call took %v", took)
		}
		time.Sleep(time.Hour)
		if n := len(api.Rates()); n != 600 {
			t.Errorf("rates of %d seconds are kept, want 600", n)
		}
	})
}
