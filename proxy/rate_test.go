package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
)

// Guards against attempts beyond the bound on a server's rate: first ones, also when all
// other servers are busy, retries, hedges, and those of keyed requests.
func TestNoAttemptBeyondRate(t *testing.T) {
	failing := serveRaw(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		return respond(c, r, http.StatusInternalServerError, "", "")
	})
	bounded := serveRaw(t, echoBody)
	f := newFixture(t, func(s *note.Service) { s.Limits.Hedge = true }, failing, bounded)
	f.SetRate("s", bounded.Addr().String(), 0)
	for range 10 {
		f.do(http.MethodGet, "/look/1", "")
		f.do(http.MethodPost, "/act", "x", HeaderIdempotencyKey, strconv.FormatInt(time.Now().UnixNano(), 10))
	}
	failIf(t, bounded.requests.Load() != 0, "%d requests at a server with a rate of 0", bounded.requests.Load())
	failIf(t, failing.requests.Load() == 0, "no requests at the other server")
	for bounded.requests.Load() == 0 { // A grant expires on a machine that is too busy to use it.
		f.GrantTrial("s", bounded.Addr().String())
		f.do(http.MethodGet, "/look/1", "")
	}
	failIf(t, bounded.requests.Load() != 1, "%d requests after the grant of one", bounded.requests.Load())
	f.SetRate("s", bounded.Addr().String(), board.Unlimited)
	for range 3 {
		f.do(http.MethodGet, "/look/1", "")
	}
	failIf(t, bounded.requests.Load() != 4, "%d requests, want three more without a bound", bounded.requests.Load())
	f.expectIdle(t)
}

// Guards against a busy server without a bound that hands its requests to one at its bound:
// when all servers are at their concurrency limits, one of them is used anyway.
func TestBusyServersDoNotBreakRates(t *testing.T) {
	hold := make(chan struct{})
	bounded := serveRaw(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return echoBody(c, r, body)
	})
	f := newFixture(t, func(s *note.Service) { s.Servers[0].Slots = 1 }, bounded)
	f.SetRate("s", bounded.Addr().String(), 1e-9)
	target := f.state.Load().services["s"].servers[bounded.Addr().String()].target
	target.Rate().Return() // One attempt is allowed.
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.do(http.MethodGet, "/look/1", "")
	}()
	for end := time.Now().Add(10 * time.Second); bounded.requests.Load() == 0; time.Sleep(time.Millisecond) {
		failIf(t, time.Now().After(end), "the first request does not arrive")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	c := &call{
		handler: f.Handler, service: f.state.Load().services["s"], route: f.state.Load().table.Find("", "/look/1", http.MethodGet),
		repeatable: true, deadline: time.Now().Add(time.Hour), method: http.MethodGet, target: "/look/1", header: http.Header{},
	}
	d := &dispatch{call: c, ctx: ctx, results: make(chan result, 4)}
	v, _ := d.pickServer(nil)
	failIf(t, v != nil, "a server at its bound is picked")
	close(hold)
	<-done
}

// Guards against requests that wait for their turn when it comes too late, and against those
// that are refused although it comes soon.
func TestWaitForTurnAtLimitedServers(t *testing.T) {
	bounded := serveRaw(t, echoBody)
	f := newFixture(t, nil, bounded)
	for _, c := range []struct {
		name      string
		perSecond float64
		served    bool
	}{
		{"never", 0, false},
		{"after the deadline", 0.01, false},
		{"soon", 20, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.SetRate("s", bounded.Addr().String(), board.Unlimited)
			f.SetRate("s", bounded.Addr().String(), c.perSecond)
			before := bounded.requests.Load()
			resp := f.do(http.MethodGet, "/look/1", "")
			if c.served {
				failIf(t, resp.StatusCode != http.StatusOK, "status %d", resp.StatusCode)
				return
			}
			expectResponse(t, resp, http.StatusServiceUnavailable, "NoServer", "no")
			failIf(t, bounded.requests.Load() != before, "a refused request was sent")
			failIf(t, resp.Header.Get("Retry-After") == "", "no Retry-After")
		})
	}
	f.expectIdle(t)
}

// Guards against a queue that admits as many requests as the slots of servers that accept
// only a part of them, and against one without room for a request that waits for its turn: turns
// would be lost while the requests before it run.
func TestQueueFollowsRates(t *testing.T) {
	bounded, free := serveRaw(t, echoBody), serveRaw(t, echoBody)
	f := newFixture(t, nil, bounded, free)
	s := f.state.Load().services["s"]
	admitted := func() int {
		n := 0
		for _, v := range s.servers {
			n += v.limit.Limit()
		}
		return n
	}
	failIf(t, s.queue.MaxRunning() != admitted(), "%d admitted without a bound, want %d", s.queue.MaxRunning(), admitted())
	f.SetRate("s", bounded.Addr().String(), 0)
	want := s.servers[free.Addr().String()].limit.Limit()
	failIf(t, s.queue.MaxRunning() != want, "%d admitted, want %d", s.queue.MaxRunning(), want)
	f.SetRate("s", bounded.Addr().String(), 1)
	failIf(t, s.queue.MaxRunning() != want+1, "%d admitted, want %d and one that waits for its turn", s.queue.MaxRunning(), want)
	f.SetRate("s", bounded.Addr().String(), board.Unlimited)
	failIf(t, s.queue.MaxRunning() != admitted(), "%d admitted after the end of the bound, want %d", s.queue.MaxRunning(), admitted())
}

// Guards against a bound that is lost when a release replaces what the handler knows of a
// server, and against one that a new process at the address takes over.
func TestRateAcrossReleases(t *testing.T) {
	bounded := serveRaw(t, echoBody)
	f := newFixture(t, nil, bounded)
	addr := bounded.Addr().String()
	rate := func() float64 { return f.state.Load().services["s"].servers[addr].target.Rate().PerSecond() }
	f.SetRate("s", addr, 2)
	for name, edit := range map[string]func(*note.Service){
		"slots":       func(s *note.Service) { s.Servers[0].Slots++ },
		"connections": func(s *note.Service) { s.Servers[0].Conns++ },
		"zone":        func(s *note.Service) { s.Servers[0].Zone = "other" },
	} {
		f.SetRelease(release(edit, bounded))
		failIf(t, rate() != 2, "rate %v after a change of %s", rate(), name)
	}
	f.SetRelease(release(func(s *note.Service) { s.Servers[0].InstanceID = "i-2" }, bounded))
	failIf(t, rate() != board.Unlimited, "a new process has the rate %v of the former one", rate())
}

// Guards against statements of rates that are lost, or posted for each response of servers
// that state none.
func TestStatedRatesArePassedOn(t *testing.T) {
	limited := true
	server := serveRaw(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		if limited {
			return respond(c, r, http.StatusOK, "Azuredeal-Rate-Limit: 3.5\r\n", "")
		}
		return respond(c, r, http.StatusOK, "", "")
	})
	f := newFixture(t, nil, server)
	var got []board.StatedRate
	f.opts.StatedRate = func(r board.StatedRate) { got = append(got, r) }
	f.do(http.MethodGet, "/look/1", "")
	failIf(t, len(got) != 1 || got[0].PerSecond != 3.5 || got[0].Service != "s", "got %+v", got)
	f.SetRate("s", server.Addr().String(), 1e6)
	time.Sleep(time.Millisecond) // A token comes each microsecond.
	limited = false
	f.do(http.MethodGet, "/look/1", "")
	failIf(t, len(got) != 2 || got[1].PerSecond != board.Unlimited, "got %+v, want the end of the limit", got)
	f.SetRate("s", server.Addr().String(), board.Unlimited)
	f.do(http.MethodGet, "/look/1", "")
	failIf(t, len(got) != 2, "got %+v from a server that states no limit", got[2:])
}

// Guards against VMs of a large fleet that together open more connections to a server than it
// accepts, and against a change of their number that does not reach open pools.
func TestConnsFollowUsers(t *testing.T) {
	for _, c := range []struct{ all, users, want int }{
		{390, 1, 16}, {390, 18, 16}, {390, 50, 5}, {1680, 50, 25}, {390, 178, 1}, {100, 178, 1},
	} {
		if got := connsPerVM(c.all, max(defaultUsers, c.users)); got != c.want {
			t.Errorf("%d connections, %d users: %d for each, want %d", c.all, c.users, got, c.want)
		}
	}
	hold := make(chan struct{})
	server := serveRaw(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-hold
		return echoBody(c, r, body)
	})
	f := newFixture(t, nil, server)
	f.SetUsers("s", 200)
	statuses := make(chan int, 3)
	for range cap(statuses) {
		go func() { statuses <- f.do(http.MethodGet, "/look/1", "").StatusCode }()
	}
	refused := 0
	for range cap(statuses) - 1 { // One connection is open, the other requests find none.
		if <-statuses == http.StatusServiceUnavailable {
			refused++
		}
	}
	close(hold)
	failIf(t, refused != 2 || <-statuses != http.StatusOK, "%d requests refused, want 2 of 3", refused)
	failIf(t, server.conns.Load() != 1, "%d connections, want 1", server.conns.Load())
}
