// Package caller serves the HTTP/1.1 connections of callers. It reads further requests
// while earlier ones run, so that pipelined requests run concurrently and a disconnect
// of the caller is detected at once. It writes the responses in the order of the
// requests, and closes connections in a way that every request that was run gets its
// response.
//
// The server of net/http reads the next request only after it has written the
// response. Until then it cannot run a pipelined request, and it cannot detect that the
// caller has disconnected while bytes of the next request are unread.
package caller

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/sleep"
)

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes int           // Maximum size of the request line and header of one request, in bytes.
	BodyBytes   int64         // Maximum size of one request body, in bytes.
	ReadTime    time.Duration // Time limit from the first byte of a request to the end of its header.
	IdleTime    time.Duration // A connection without a request is closed after this time.
	Conns       int           // Maximum number of open connections; no more are accepted.
}

const (
	bodyReadTimeout      = 10 * time.Second       // Time limit for reading a request body.
	maxPipelinedRequests = 16                     // Requests of one connection that run concurrently.
	lingerTimeout        = 500 * time.Millisecond // Time limit for the caller to close its side after the last response.
	acceptRetryDelay     = 50 * time.Millisecond  // Delay after an error of Accept, such as too many open files.
	shutdownPollInterval = 20 * time.Millisecond  // Between checks for idle connections in Shutdown.
	readBufferBytes      = 4 << 10
	writeBufferBytes     = 4 << 10
	defaultWriteTimeout  = 10 * time.Second // Time limit for writing a response for which the handler sets no deadline.
)

// Server serves the connections of callers.
type Server struct {
	// Admit decides on a request with a large body or one of unknown length, of which only the
	// header has been read, and returns the hold for the body. The handler is called also for a
	// request that is not admitted, with a body that returns the error of Admit; its connection ends
	// with the response. By default all are admitted. It must be set before Serve.
	Admit func(r *http.Request) (memory.Hold, error)

	handler            http.Handler
	memory             *memory.Budget
	limits             atomic.Pointer[Limits]
	keepAlivesDisabled atomic.Bool
	connSlots          chan struct{} // Holds an element for each open connection.

	mu    sync.Mutex
	conns map[*conn]struct{}
	count counters
}

type counters struct {
	accepted, malformed, abandoned, pipelined *metrics.Counter
}

// New returns a server that passes requests to handler and registers its counters with
// set. The body of a request is a *memory.Body, which has been read into the budget when the
// handler is called. A nil budget has no bound.
func New(handler http.Handler, limits Limits, budget *memory.Budget, set *metrics.Set) *Server {
	s := &Server{
		handler:   handler,
		memory:    budget,
		connSlots: make(chan struct{}, max(1, limits.Conns)),
		conns:     map[*conn]struct{}{},
		count: counters{
			accepted:  set.GetOrCreateCounter("azuredeal_caller_connections_total"),
			malformed: set.GetOrCreateCounter("azuredeal_caller_malformed_total"),
			abandoned: set.GetOrCreateCounter("azuredeal_caller_abandoned_total"),
			pipelined: set.GetOrCreateCounter("azuredeal_caller_pipelined_total"),
		},
	}
	s.limits.Store(&limits)
	s.Admit = func(r *http.Request) (memory.Hold, error) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		return s.memory.Hold(memory.Bodies, host, limit.Normal), nil
	}
	return s
}

// SetLimits replaces all limits except Conns. Requests that are being read keep the
// limits that they started with.
func (s *Server) SetLimits(l Limits) { s.limits.Store(&l) }

// Limits returns the limits in effect.
func (s *Server) Limits() Limits { return *s.limits.Load() }

// Serve accepts connections until ctx ends, which also cancels the requests of all
// connections and closes the listener. It returns the error of ctx, or nil when the
// listener was closed otherwise.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		select {
		case s.connSlots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		netConn, err := listener.Accept()
		if err == nil {
			s.startConn(ctx, netConn)
			continue
		}
		<-s.connSlots
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		sleep.For(ctx, acceptRetryDelay)
	}
}

func (s *Server) startConn(ctx context.Context, netConn net.Conn) {
	s.count.accepted.Inc()
	c := &conn{
		server: s, net: netConn, openedAt: time.Now(), lastDone: closedChan,
		requestSlots: make(chan struct{}, maxPipelinedRequests),
	}
	c.disconnected, c.disconnect = context.WithCancel(context.Background())
	var cancelRequests context.CancelFunc
	c.ctx, cancelRequests = context.WithCancel(ctx)
	context.AfterFunc(c.disconnected, cancelRequests)
	c.limited = &limitedReader{conn: netConn}
	c.reader = bufio.NewReaderSize(c.limited, readBufferBytes)
	c.writer = bufio.NewWriterSize(netConn, writeBufferBytes)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	ended := context.AfterFunc(ctx, c.interruptReading)
	go func() {
		c.serve()
		ended()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		<-s.connSlots
	}()
}

// closedChan is the value of previousDone for a request that waits for no other response.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// DisableKeepAlives makes each response from now on carry "Connection: close" and end its
// connection, unless further requests of the connection have been read.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Abort closes all connections, also those whose requests have not ended, and returns their number.
func (s *Server) Abort() int {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range open {
		c.abort()
	}
	return len(open)
}

// Shutdown closes idle connections at once and the others when their requests have
// ended or have not come within firstRequestWait, and returns nil when no connection is left. It returns the error of ctx when
// ctx ends first. The listener must be closed before the call.
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
			c.closeIdle(time.Now())
		}
		if !sleep.For(ctx, shutdownPollInterval) {
			return ctx.Err()
		}
	}
}
