// Package caller serves the HTTP/1.1 connections of callers. It reads ahead of
// the responses, so that pipelined requests run side by side and a caller that
// goes away is noticed at once, writes the responses in the order of the requests,
// and ends connections so that no request that was read goes without its response.
//
// net/http's server reads the next request only after it has written a response.
// Until then it can neither take a pipelined request nor tell whether the caller
// has left while bytes of the next request wait.
package caller

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/sleep"
)

// Limits bounds what a caller may send and hold.
type Limits struct {
	HeaderBytes int           // Request line and header fields of one request, in bytes.
	BodyBytes   int64         // Body of one request, in bytes.
	ReadTime    time.Duration // Time from the first byte of a request to the end of its header.
	IdleTime    time.Duration // Time that a connection may stay without a request.
	Conns       int           // Open connections; the listener accepts no more.
}

const (
	bodyTime      = 10 * time.Second // Time to read a request body.
	pipelined     = 16               // Requests of one connection that run side by side.
	lingerTime    = 500 * time.Millisecond
	acceptPause   = 50 * time.Millisecond // After an error of Accept, such as too many open files.
	closeCheck    = 20 * time.Millisecond
	readBuffer    = 4 << 10 // Bytes.
	writeBuffer   = 4 << 10
	lateWriteTime = 10 * time.Second // Time for a caller to take a response.
)

// Server serves connections.
type Server struct {
	handler http.Handler
	limits  atomic.Pointer[Limits]
	leaving atomic.Bool
	room    chan struct{} // A token for each open connection.

	mu    sync.Mutex
	conns map[*conn]struct{}
	count counters
}

type counters struct {
	accepted, malformed, abandoned, pipelined *metrics.Counter
}

// New returns a server that hands requests to handler. Their bodies have been
// read when the handler is called.
func New(handler http.Handler, limits Limits, set *metrics.Set) *Server {
	s := &Server{
		handler: handler,
		room:    make(chan struct{}, max(1, limits.Conns)),
		conns:   map[*conn]struct{}{},
		count: counters{
			accepted:  set.GetOrCreateCounter("azuredeal_caller_connections_total"),
			malformed: set.GetOrCreateCounter("azuredeal_caller_malformed_total"),
			abandoned: set.GetOrCreateCounter("azuredeal_caller_abandoned_total"),
			pipelined: set.GetOrCreateCounter("azuredeal_caller_pipelined_total"),
		},
	}
	s.limits.Store(&limits)
	return s
}

// SetLimits replaces the limits but for Conns. Requests that are being read keep
// theirs.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// Limits returns the limits in effect.
func (s *Server) Limits() Limits { return *s.limits.Load() }

// Serve accepts connections until ctx ends, which also ends the work of all
// connections. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		select {
		case s.room <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		nc, err := listener.Accept()
		if err == nil {
			s.start(ctx, nc)
			continue
		}
		<-s.room
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		sleep.For(ctx, acceptPause)
	}
}

func (s *Server) start(ctx context.Context, nc net.Conn) {
	s.count.accepted.Inc()
	c := &conn{server: s, net: nc, last: closedChan, slots: make(chan struct{}, pipelined)}
	c.gone, c.cancel = context.WithCancel(context.Background())
	var end context.CancelFunc
	c.ctx, end = context.WithCancel(ctx)
	context.AfterFunc(c.gone, end)
	c.limited = &limitedReader{conn: nc}
	c.reader = bufio.NewReaderSize(c.limited, readBuffer)
	c.writer = bufio.NewWriterSize(nc, writeBuffer)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		<-s.room
	}()
}

// closedChan is the turn of the first request of a connection.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// DisableKeepAlives ends connections by agreement from now on: each response says that it is
// the last one of its connection, unless further requests have been read.
func (s *Server) DisableKeepAlives() { s.leaving.Store(true) }

// Shutdown closes connections that have no request, now and as their requests
// end, and returns when none is left. It returns the error of ctx when that ends
// first. Close the listener before it.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	for {
		s.mu.Lock()
		open := make([]*conn, 0, len(s.conns))
		for c := range s.conns {
			open = append(open, c)
		}
		s.mu.Unlock()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.closeIdle()
		}
		if !sleep.For(ctx, closeCheck) {
			return ctx.Err()
		}
	}
}
