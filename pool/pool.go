// Package pool keeps connections to one backend server and runs one exchange at a
// time on each. It speaks HTTP/1.1 on connections of its own, because http.Transport
// retries some requests by itself when a reused connection turns out to be closed.
package pool

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
)

// Defaults of Options.
const (
	defaultConns          = 16
	defaultIdleTimeout    = 30 * time.Second
	defaultConnectTimeout = 500 * time.Millisecond // Opening a connection takes about 1 ms.
	defaultHeaderBytes    = 64 << 10               // Bytes.
)

// Options configures a pool. Zero values select the defaults.
type Options struct {
	Service        string        // Name of the service in samples.
	Conns          int           // Maximum number of open connections, 16 by default.
	IdleTimeout    time.Duration // Idle connections are closed after this time, 30 s by default.
	ConnectTimeout time.Duration // Time limit for opening a connection, 500 ms by default.
	Header         int64         // Maximum size of a response header in bytes, 64 KiB by default.
	Dialect        *Dialect      // DefaultDialect by default.
	// Server is the id of the server process at the address. It is the value of
	// Dialect.ExpectedInstanceHeader; empty when it is not known.
	Server string
	// Dial opens a connection. The default is the method of a zero net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Sample receives the outcome of each exchange, except those that tell nothing
	// about the backend server. May be nil.
	Sample func(board.Sample)
	// StatedRate receives what each response says of the request rate that the backend
	// server accepts, as soon as its header has arrived. It must not block. May be nil.
	StatedRate func(board.StatedRate)
	// Stated receives what a response says of the server process, if it says something, as
	// soon as its header has arrived. It must not block. May be nil.
	Stated func(Stated)
}

// Pool holds the connections to one backend server.
type Pool struct {
	addr string
	opts Options

	mu        sync.Mutex
	maxConns  int
	idle      []*serverConn // Least recently used first.
	open      int           // Open connections, including those that are being opened.
	inflight  int           // Exchanges in flight.
	waiting   waitList
	idleTimer *time.Timer
	closed    bool

	endCheck endCheck
}

// New returns a pool for the backend server at addr ("ip:port").
func New(addr string, opts Options) *Pool {
	if opts.Conns <= 0 {
		opts.Conns = defaultConns
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.ConnectTimeout <= 0 {
		opts.ConnectTimeout = defaultConnectTimeout
	}
	if opts.Header <= 0 {
		opts.Header = defaultHeaderBytes
	}
	if opts.Dial == nil {
		opts.Dial = new(net.Dialer).DialContext
	}
	if opts.Dialect == nil {
		opts.Dialect = DefaultDialect()
	}
	if opts.Sample == nil {
		opts.Sample = func(board.Sample) {}
	}
	if opts.StatedRate == nil {
		opts.StatedRate = func(board.StatedRate) {}
	}
	if opts.Stated == nil {
		opts.Stated = func(Stated) {}
	}
	return &Pool{addr: addr, opts: opts, maxConns: opts.Conns}
}

// Addr returns the address of the backend server.
func (p *Pool) Addr() string { return p.addr }

// InflightStats returns the number of exchanges in flight and when the longest current
// wait for the backend server began. An exchange does not wait while the reader of its
// response is not reading; each read of the body starts a new wait.
func (p *Pool) InflightStats() board.InflightStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := board.InflightStats{Service: p.opts.Service, Server: p.addr, Count: p.inflight}
	if first := p.waiting.first; first != nil {
		f.OldestStart = first.waitingSince
	}
	return f
}

// Conns returns how many connections are open and how many of them are idle.
func (p *Pool) Conns() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// SetMaxConns changes the maximum number of open connections. Connections beyond it stay
// open until they are not needed any more.
func (p *Pool) SetMaxConns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = n
}

// Close closes idle connections now and each other connection when its exchange ends.
// Exchanges may still start after Close, but their connections are not reused.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// acquire returns an idle connection. It opens a new one when requireNew is set or
// no idle connection can be reused.
func (p *Pool) acquire(ctx context.Context, requireNew bool) (*serverConn, error) {
	for !requireNew {
		c := p.popIdle()
		if c == nil {
			break
		}
		if !c.keepAliveExpired(time.Now()) && c.isOpen() {
			return c, nil
		}
		p.discard(c)
	}
	evicted, ok := p.reserveSlot()
	if !ok {
		return nil, fault.New(fault.NoServer, "all connections to %s are in use", p.addr)
	}
	if evicted != nil {
		evicted.close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.ConnectTimeout)
	defer cancel()
	conn, err := p.opts.Dial(ctx, "tcp", p.addr)
	if err != nil {
		p.releaseSlot()
		return nil, fault.Wrap(fault.Unreachable, err, "connect")
	}
	return newServerConn(conn, evicted), nil
}

// popIdle removes the most recently used connection from the idle ones and returns
// it. It returns nil when there is none.
func (p *Pool) popIdle() *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// reserveSlot reserves a slot for one more connection. When the maximum is reached, it
// evicts the least recently used idle connection and returns it to be closed. It
// reports false when all connections are in use.
func (p *Pool) reserveSlot() (evicted *serverConn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxConns {
		p.open++
		return nil, true
	}
	if len(p.idle) == 0 {
		return nil, false
	}
	evicted = p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	return evicted, true
}

func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) discard(c *serverConn) {
	c.close()
	p.releaseSlot()
}

// putIdle adds a connection to the idle ones after a complete exchange.
func (p *Pool) putIdle(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.maxConns {
		c.close()
		p.open--
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	if p.idleTimer == nil {
		p.idleTimer = time.AfterFunc(p.opts.IdleTimeout, p.expireIdle)
	}
}

// expireIdle closes connections that have reached the idle timeout. It restarts the
// timer only while connections are idle, so that an unused pool holds no timer.
func (p *Pool) expireIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) >= p.opts.IdleTimeout {
		p.idle[0].close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.open--
	}
	if len(p.idle) == 0 {
		p.idleTimer = nil
		return
	}
	p.idleTimer.Reset(p.opts.IdleTimeout - now.Sub(p.idle[0].idleSince))
}

// beginWait records that an exchange waits for the backend server from now on. It
// counts the exchange as in flight when newExchange is set.
func (p *Pool) beginWait(w *waiter, now time.Time, newExchange bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if newExchange {
		p.inflight++
	}
	p.waiting.push(w, now)
}

// endWait records that an exchange no longer waits for the backend server. The exchange
// is no longer in flight when exchangeEnded is set.
func (p *Pool) endWait(w *waiter, exchangeEnded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if exchangeEnded {
		p.inflight--
	}
	p.waiting.remove(w)
}

// waiter is the list element of an exchange that waits for the backend server. It is
// embedded in the exchange, so that waiting does not allocate.
type waiter struct {
	waitingSince time.Time
	prev, next   *waiter
	listed       bool
}

// waitList is a doubly linked list of waiters, the longest waiting first.
type waitList struct{ first, last *waiter }

func (l *waitList) push(w *waiter, now time.Time) {
	w.waitingSince, w.prev, w.next, w.listed = now, l.last, nil, true
	if l.last == nil {
		l.first = w
	} else {
		l.last.next = w
	}
	l.last = w
}

// remove removes w from the list. It does nothing when w is not listed.
func (l *waitList) remove(w *waiter) {
	if !w.listed {
		return
	}
	if w.prev == nil {
		l.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		l.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.listed = nil, nil, false
}
