package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
