package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/strict"
)

func call(h http.Handler, method, path, body, token string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+token)
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	data, _ := io.ReadAll(rec.Body)
	return rec.Code, string(data)
}

// Guards against refusals that hide the reason from operators: each problem with its path,
// or the current generation on a conflict.
func TestPublishRefusals(t *testing.T) {
	var ps strict.Problems
	ps.Add("added.services[0].floor", 30, "0 to 20")
	tests := []struct {
		name   string
		err    error
		status int
		text   string
	}{
		{"problems", ps, http.StatusUnprocessableEntity, "added.services[0].floor"},
		{"conflict", fault.New(fault.Conflict, "generation 7 is in effect"), http.StatusConflict, "generation 7"},
		{"platform", fault.New(fault.PlatformDown, "no answer"), http.StatusServiceUnavailable, `"ran":"unknown"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := New(Options{Publish: func(context.Context, []byte) (uint64, error) { return 0, tt.err }})
			status, body := call(h, http.MethodPost, "/v1/releases", "{}", "")
			if status != tt.status || !strings.Contains(body, tt.text) {
				t.Errorf("got %d %s, want %d with %q", status, body, tt.status, tt.text)
			}
		})
	}
}

// Guards against paths that are served without the bearer token; only /livez and /readyz are
// public.
func TestTokenRequiredExceptHealthChecks(t *testing.T) {
	h := New(Options{
		Token: "operators' token",
		Dump:  func(context.Context) (any, error) { return map[string]int{"generation": 3}, nil },
		Ready: func() error { return nil },
	})
	for path, want := range map[string]int{"/v1/dump": 401, "/metrics": 401, "/readyz": 200, "/livez": 200, "/openapi.json": 401} {
		if status, _ := call(h, http.MethodGet, path, "", "wrong"); status != want {
			t.Errorf("%s with a wrong token = %d, want %d", path, status, want)
		}
	}
	if status, body := call(h, http.MethodGet, "/v1/dump", "", "operators' token"); status != 200 || !strings.Contains(body, `"generation":3`) {
		t.Errorf("dump = %d %s", status, body)
	}
}

// Guards against a request that stays in quarantine although an operator has freed it, and
// against a malformed digest that is taken for another request.
func TestFree(t *testing.T) {
	freed := ""
	server := httptest.NewServer(New(Options{Free: func(request string) (bool, error) {
		if request == "bad" {
			return false, fault.New(fault.Invalid, "not a digest")
		}
		freed = request
		return true, nil
	}}))
	defer server.Close()
	client := NewClient("", "http://127.0.0.1:1", server.URL)
	if known, err := client.Free(t.Context(), "00000000000000ff"); err != nil || !known || freed != "00000000000000ff" {
		t.Errorf("freed %q, %v, %v", freed, known, err)
	}
	var p *Problem
	if _, err := client.Free(t.Context(), "bad"); !errors.As(err, &p) || p.Kind != "Invalid" {
		t.Errorf("got %v", err)
	}
}
