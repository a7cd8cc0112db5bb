package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var testLimits = Limits{HeaderBytes: 2 << 10, BodyBytes: 1 << 10, ReadTime: time.Second, IdleTime: time.Minute, Conns: 16}

// fixture serves a handler on a loopback listener.
type fixture struct {
	*Server
	addr string
	stop context.CancelFunc
}

func serve(t *testing.T, limits Limits, handler http.HandlerFunc) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &fixture{Server: New(handler, limits, metrics.NewSet()), addr: listener.Addr().String(), stop: stop}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = f.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return f
}

func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// read returns status, body and whether the response ends the connection.
func read(t *testing.T, r *bufio.Reader) (status int, body string, last bool) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data), resp.Close
}

// Guards against pipelined requests that wait for each other, and against
// responses in the order in which they were ready.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	second := make(chan struct{})
	f := serve(t, testLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second // The first one can end only while the second one runs.
		} else {
			close(second)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, r := f.dial(t)
	send(t, c, get("/1")+get("/2"))
	for _, want := range []string{"/1", "/2"} {
		if status, body, _ := read(t, r); status != 200 || body != want {
			t.Fatalf("got %d %q, want %q", status, body, want)
		}
	}
}

// Guards against work for callers that have left.
func TestLeavingCallerEndsItsRequests(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	f := serve(t, testLimits, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	c, _ := f.dial(t)
	// Bytes of a further request must not hide the close.
	send(t, c, get("/1")+"GET /2 HT")
	<-began
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the request still runs")
	}
}

// Guards against requests that are lost because the server closes a connection on
// which it has read them: while it leaves, the last response that is due says so,
// and what comes after it is not run.
func TestLeaveEndsConnectionsByAgreement(t *testing.T) {
	release := make(chan struct{})
	f := serve(t, testLimits, func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c, r := f.dial(t)
	send(t, c, get("/1")+get("/2"))
	for !f.hasRunning(2) {
		time.Sleep(time.Millisecond)
	}
	f.DisableKeepAlives()
	close(release)
	if _, body, last := read(t, r); body != "/1" || last {
		t.Fatalf("got %q, last %v", body, last)
	}
	if _, body, last := read(t, r); body != "/2" || !last {
		t.Fatalf("got %q, last %v", body, last)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("connection is open: %v", err)
	}
}

func (f *fixture) hasRunning(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		running := c.running
		c.mu.Unlock()
		if running == n {
			return true
		}
	}
	return false
}

// Guards against a shutdown that waits for idle connections or cuts busy ones.
func TestShutdown(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	f := serve(t, testLimits, func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	_, idle := f.dial(t)
	busy, r := f.dial(t)
	send(t, busy, get("/"))
	<-began
	done := make(chan error, 1)
	go func() { done <- f.Shutdown(context.Background()) }()
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Fatalf("idle connection: %v", err)
	}
	close(release)
	if status, body, last := read(t, r); status != 200 || body != "whole" || !last {
		t.Fatalf("got %d %q, last %v", status, body, last)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against a response that ends early and looks whole.
func TestBrokenResponse(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"short": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "five!")
		},
		"chunked": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := serve(t, testLimits, handler)
			c, r := f.dial(t)
			send(t, c, get("/"))
			resp, err := http.ReadResponse(r, nil)
			if err == nil {
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
			}
			if err == nil {
				t.Fatal("the response looks whole")
			}
		})
	}
}

// Guards against limits that hold no more, and against refusals before the
// responses that are due.
func TestLimits(t *testing.T) {
	long := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"header":    {"GET / HTTP/1.1\r\nHost: h\r\nX: " + long + "\r\n\r\n", 431},
		"length":    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", 413},
		"chunks":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + long[:0x800] + "\r\n0\r\n\r\n", 413},
		"malformed": {"GET\r\n\r\n", 400},
		"no host":   {"GET / HTTP/1.1\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			f := serve(t, testLimits, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "first") })
			conn, r := f.dial(t)
			send(t, conn, get("/")+c.request)
			if status, body, _ := read(t, r); status != 200 || body != "first" {
				t.Fatalf("first response: %d %q", status, body)
			}
			if status, _, last := read(t, r); status != c.status || !last {
				t.Fatalf("got %d, last %v; want %d", status, last, c.status)
			}
		})
	}
}

// Guards against bodies that change on their way, whatever their framing.
func TestBodies(t *testing.T) {
	f := serve(t, testLimits, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%d %s", r.ContentLength, body)
	})
	c, r := f.dial(t)
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none")
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nt\r\n2\r\nwo\r\n0\r\n\r\n")
	send(t, c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	for _, want := range []string{"3 one", "3 two"} {
		if _, body, _ := read(t, r); body != want {
			t.Fatalf("got %q, want %q", body, want)
		}
	}
	if line, _ := r.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("got %q", line)
	}
	_, _ = r.ReadString('\n')
	send(t, c, "three")
	if _, body, _ := read(t, r); body != "5 three" {
		t.Fatalf("got %q", body)
	}
}

// Guards against idle connections that stay for ever, and against an idle limit
// that ends a connection whose caller waits.
func TestIdle(t *testing.T) {
	limits := testLimits
	limits.IdleTime = 50 * time.Millisecond
	f := serve(t, limits, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(3 * limits.IdleTime)
		_, _ = io.WriteString(w, "late")
	})
	c, r := f.dial(t)
	send(t, c, get("/"))
	if _, body, _ := read(t, r); body != "late" {
		t.Fatalf("got %q", body)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Fatalf("idle connection: %v", err)
	}
}
