package worker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func newRequest(method, key string) *http.Request {
	r := httptest.NewRequest(method, "/orders", strings.NewReader("plate 7"))
	r.Header.Set(headerID, "id-1")
	r.Header.Set(headerKey, key)
	return r
}

// Guards against a worker that starts the action of a request which it then refuses:
// the proxy retries refused requests, so the action would run twice.
func TestRefusedRequestStartsNoAction(t *testing.T) {
	tests := []struct {
		name  string
		setup func(*Server)
		want  string
	}{
		{"cold", func(s *Server) { s.opts.Cold = time.Minute }, refusedCold},
		{"draining", func(s *Server) { s.Drain() }, refusedDraining},
		{"shed", func(s *Server) {
			for range s.opts.Slots {
				s.slots <- struct{}{}
			}
		}, refusedShed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(Options{Slots: 3, Median: time.Millisecond})
			tt.setup(s)
			rec := httptest.NewRecorder()
			s.Handler().ServeHTTP(rec, newRequest(http.MethodPost, "k"))
			if got := rec.Header().Get(headerRefused); got != tt.want {
				t.Errorf("refused = %q, want %q", got, tt.want)
			}
			if n := s.RunsByKey()["k"]; n != 0 {
				t.Errorf("action started %d times, want 0", n)
			}
		})
	}
}

// Guards against a stalled worker that fails its health checks or completes requests:
// it would not reproduce a gray failure.
func TestStallPassesHealthChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Slots: 3, Median: time.Millisecond})
		s.SetBehavior(Behavior{Mode: Stall})
		rec := httptest.NewRecorder()
		s.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/healthz", nil))
		if rec.Code != http.StatusOK {
			t.Errorf("health check status = %d, want 200", rec.Code)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		rec = httptest.NewRecorder()
		s.Handler().ServeHTTP(rec, newRequest(http.MethodPost, "k").WithContext(ctx))
		if rec.Code != http.StatusGatewayTimeout {
			t.Errorf("status = %d after the deadline, want 504", rec.Code)
		}
		if took := time.Since(start); took != time.Minute {
			t.Errorf("request ended after %v, want 1m0s, the deadline of its context", took)
		}
		if n := s.RunsByKey()["k"]; n != 1 {
			t.Errorf("action started %d times, want 1", n)
		}
	})
}

// Guards against a flapping worker that applies its mode outside the first half of
// each period.
func TestBehaviorFlaps(t *testing.T) {
	b := Behavior{Mode: Stall, Period: 2 * time.Second}
	for elapsed, want := range map[time.Duration]bool{0: true, 1500 * time.Millisecond: false, 2100 * time.Millisecond: true} {
		if got := b.active(elapsed); got != want {
			t.Errorf("active(%v) = %v, want %v", elapsed, got, want)
		}
	}
}

// Guards against a worker that states its rate in served requests only, or goes on with it.
func TestStatedRate(t *testing.T) {
	s := New(Options{Slots: 1, Median: time.Millisecond})
	header := func() string {
		rec := httptest.NewRecorder()
		s.Handler().ServeHTTP(rec, newRequest(http.MethodGet, ""))
		return rec.Header().Get(headerRate)
	}
	s.SetBehavior(Behavior{Rate: 2.5})
	if got := header(); got != "2.5" {
		t.Errorf("stated rate %q, want 2.5", got)
	}
	s.slots <- struct{}{}
	if got := header(); got != "2.5" {
		t.Errorf("stated rate %q in a refusal, want 2.5", got)
	}
	<-s.slots
	s.SetBehavior(Behavior{})
	if got := header(); got != "" {
		t.Errorf("stated rate %q after its end", got)
	}
}

// Guards against a worker that states something else than it does, so that tests of the fleet
// would pass for the wrong reason.
func TestStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Slots: 1, Median: time.Millisecond, Leave: time.Hour, Away: 250 * time.Millisecond})
		for _, c := range []struct {
			name          string
			behavior      Behavior
			after         time.Duration
			full          bool
			status        int
			leaving, away string
		}{
			{"nothing", Behavior{}, 0, false, 200, "", ""},
			{"full", Behavior{}, 0, true, 503, "", "0.25"},
			{"leaving", Behavior{Leaving: true}, 0, false, 200, "1", ""},
			{"away", Behavior{Away: 3 * time.Second}, 0, false, 503, "", "3"},
			{"leaving by time", Behavior{}, time.Hour, false, 200, "1", ""},
		} {
			time.Sleep(c.after)
			s.SetBehavior(c.behavior)
			if c.full {
				s.slots <- struct{}{}
			}
			rec := httptest.NewRecorder()
			s.Handler().ServeHTTP(rec, newRequest(http.MethodPost, c.name))
			if c.full {
				<-s.slots
			}
			if h := rec.Header(); rec.Code != c.status || h.Get(headerLeaving) != c.leaving || h.Get(headerAway) != c.away {
				t.Errorf("%s: status %d, leaving %q, away %q", c.name, rec.Code, h.Get(headerLeaving), h.Get(headerAway))
			}
			if runs := s.RunsByKey()[c.name]; (runs == 1) != (c.status == 200) {
				t.Errorf("%s: %d runs", c.name, runs)
			}
		}
	})
}

// Guards against a stand-in that ends under other requests, or before it runs the deadly one.
func TestDeadlyRequestEndsWorker(t *testing.T) {
	ended := 0
	s := New(Options{Slots: 1, Median: time.Millisecond, Deadly: "/orders", End: func() { ended++ }})
	other := httptest.NewRequest(http.MethodGet, "/signs", nil)
	s.Handler().ServeHTTP(httptest.NewRecorder(), other)
	if ended != 0 {
		t.Error("ended under another request")
	}
	s.Handler().ServeHTTP(httptest.NewRecorder(), newRequest(http.MethodPost, "k"))
	if ended != 1 || s.RunsByKey()["k"] != 1 {
		t.Errorf("ended %d times, action started %d times", ended, s.RunsByKey()["k"])
	}
}
