package proxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
)

// Guards against reporting "not run" for a request that was rejected before its
// idempotency key was looked up: an earlier request with the key may have run on
// another VM.
func TestEarlyRefusalOfKeyedRequest(t *testing.T) {
	rel := note.NewRelease(1, []note.Service{{Name: "s"}}, []note.Route{
		{Name: "orders", Service: "s", Path: "/orders/*", Methods: []string{"POST", "GET"}, IdempotencyKey: note.KeyRequired},
	}, nil)
	tests := []struct {
		name, method, key, account string
		ready                      bool
		kind                       fault.Kind
		ran                        string
	}{
		{"no release, keyed", "POST", "k", "", false, fault.NotReady, "unknown"},
		{"no release, no key", "POST", "", "", false, fault.NotReady, "no"},
		{"no release, lookup", "GET", "k", "", false, fault.NotReady, "no"},
		{"unknown account, keyed", "POST", "k", "x", true, fault.UnknownAccount, "unknown"},
		{"unknown account, no key", "POST", "", "x", true, fault.UnknownAccount, "no"},
		{"key missing", "POST", "", "", true, fault.KeyMissing, "no"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := New(Options{})
			if tt.ready {
				h.SetRelease(rel)
			}
			r := httptest.NewRequest(tt.method, "/orders/1", strings.NewReader("plate 7"))
			if tt.key != "" {
				r.Header.Set(HeaderIdempotencyKey, tt.key)
			}
			if tt.account != "" {
				r.Header.Set(HeaderAccount, tt.account)
			}
			rec := httptest.NewRecorder()
			h.ServeHTTP(rec, r)
			if got := rec.Header().Get(fault.HeaderError); got != tt.kind.String() {
				t.Errorf("kind %s, want %v", got, tt.kind)
			}
			if got := rec.Header().Get(fault.HeaderRan); got != tt.ran {
				t.Errorf("ran %s, want %s", got, tt.ran)
			}
			if rec.Code == http.StatusOK {
				t.Error("the request succeeded")
			}
		})
	}
}

// Guards against requests that must not run twice and are told that they did not run, or run at
// a second server, because a server sends an earlier refusal once more on a connection that it
// keeps open.
func TestRefusalSentOnceMore(t *testing.T) {
	var runs atomic.Int64
	var refused atomic.Bool
	faulty := serveRaw(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		const refusal = "HTTP/1.1 503 X\r\nAzuredeal-Refused: shed\r\nContent-Length: 0\r\n"
		if refused.CompareAndSwap(false, true) {
			_, _ = io.WriteString(c, refusal+"X-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n\r\n")
			time.Sleep(10 * time.Millisecond) // The connection is idle when it comes again.
			_, _ = io.WriteString(c, refusal+"\r\n")
			return true
		}
		runs.Add(1)
		return respond(c, r, 200, "", "ran")
	})
	spare := serveRaw(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		runs.Add(1)
		return respond(c, r, 200, "", "spare")
	})
	f := newFixture(t, func(s *note.Service) { s.Echo = note.EchoOpen }, faulty, spare)
	for i, want := range []string{"spare", "ran", "ran", "ran"} {
		runs.Store(0)
		if got := bodyOf(t, f.do("POST", "/act", "")); got != want || runs.Load() != 1 {
			t.Errorf("request %d got %q after %d runs, want %q", i, got, runs.Load(), want)
		}
	}
}
