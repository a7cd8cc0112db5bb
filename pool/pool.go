// Package pool keeps connections to one backend server and runs one exchange at
// a time on each. It writes HTTP/1.1 on its own connections, because
// http.Transport resends some requests by itself when a kept connection turns
// out to be closed.
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
	defaultConns   = 16
	defaultIdle    = 30 * time.Second
	defaultConnect = 500 * time.Millisecond // A connection takes about 1 ms.
	defaultHeader  = 64 << 10               // Bytes.
)

// Options configures a pool. Zero values take defaults.
type Options struct {
	Service        string        // For samples.
	Conns          int           // Open connections at most, 16 by default.
	IdleTimeout    time.Duration // An unused connection is closed after it, 30 s by default.
	ConnectTimeout time.Duration // Time limit to open a connection, 500 ms by default.
	Header         int64         // Response header in bytes at most, 64 KiB by default.
	Dialect        *Dialect      // Own by default.
	// Server is the id of the process at the address, for Dialect.Expect; empty when
	// it is not known.
	Server string
	// Dial opens a connection; net.Dialer by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Sample takes the outcome of each exchange that reached for the server.
	Sample func(board.Sample)
}

// Pool holds the connections to one backend server.
type Pool struct {
	addr string
	opts Options

	mu      sync.Mutex
	idle    []*link // Longest unused first.
	open    int     // Connections, with those being opened.
	count   int     // Exchanges in flight.
	waiting waitList
	sweeper *time.Timer
	closed  bool
}

// New returns a pool for the backend server at addr, "ip:port".
func New(addr string, opts Options) *Pool {
	if opts.Conns <= 0 {
		opts.Conns = defaultConns
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = defaultIdle
	}
	if opts.ConnectTimeout <= 0 {
		opts.ConnectTimeout = defaultConnect
	}
	if opts.Header <= 0 {
		opts.Header = defaultHeader
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
	return &Pool{addr: addr, opts: opts}
}

// Addr returns the address of the backend server.
func (p *Pool) Addr() string { return p.addr }

// InflightStats returns how many exchanges are in flight and the start of the one that
// has waited longest for the backend server. Time in which the reader of a
// response does not read is not waiting; a read that waits counts from its own
// start.
func (p *Pool) InflightStats() board.InflightStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := board.InflightStats{Service: p.opts.Service, Server: p.addr, Count: p.count}
	if first := p.waiting.first; first != nil {
		f.OldestStart = first.since
	}
	return f
}

// Conns returns how many connections are open and how many of them are idle.
func (p *Pool) Conns() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// Close closes idle connections now and each other one when its exchange ends.
// Exchanges may still start after Close; their connections are not kept.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.closed = true
	p.mu.Unlock()
	for _, l := range idle {
		l.close()
	}
}

// acquire returns a kept connection, or opens one when fresh is set or none is
// kept.
func (p *Pool) acquire(ctx context.Context, fresh bool) (*link, error) {
	for !fresh {
		l := p.take()
		if l == nil {
			break
		}
		if !l.expired(time.Now()) && l.alive() {
			return l, nil
		}
		p.drop(l)
	}
	evicted, ok := p.reserve()
	if !ok {
		return nil, fault.New(fault.NoServer, "all %d connections to %s are in use", p.opts.Conns, p.addr)
	}
	if evicted != nil {
		evicted.close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.opts.ConnectTimeout)
	defer cancel()
	conn, err := p.opts.Dial(ctx, "tcp", p.addr)
	if err != nil {
		p.release()
		return nil, fault.Wrap(fault.Unreachable, err, "connect")
	}
	return newLink(conn, evicted), nil
}

// take removes the connection that was used last from the idle ones.
func (p *Pool) take() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	l := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return l
}

// reserve makes room for one more connection, at the cost of an idle one when
// the bound is reached. That one is returned, for its owner to close.
func (p *Pool) reserve() (evicted *link, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.opts.Conns {
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

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) drop(l *link) {
	l.close()
	p.release()
}

// keep makes a connection idle after a complete exchange.
func (p *Pool) keep(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		l.close()
		p.open--
		return
	}
	l.since = time.Now()
	p.idle = append(p.idle, l)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.opts.IdleTimeout, p.sweep)
	}
}

// sweep closes connections that were idle for too long and returns when none is
// idle any more, so that an unused pool holds no timer.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].since) >= p.opts.IdleTimeout {
		p.idle[0].close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.open--
	}
	if len(p.idle) == 0 {
		p.sweeper = nil
		return
	}
	p.sweeper.Reset(p.opts.IdleTimeout - now.Sub(p.idle[0].since))
}

// wait notes that an exchange waits for the backend server from now on.
func (p *Pool) wait(w *waiter, now time.Time, begin bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if begin {
		p.count++
	}
	p.waiting.push(w, now)
}

// unwait notes that an exchange no longer waits.
func (p *Pool) unwait(w *waiter, end bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if end {
		p.count--
	}
	p.waiting.remove(w)
}

// waiter is the place of an exchange in the list of those that wait. It is part
// of the exchange, so that waiting allocates nothing.
type waiter struct {
	since      time.Time
	prev, next *waiter
	listed     bool
}

// waitList lists waiters, the one that has waited longest first.
type waitList struct{ first, last *waiter }

func (l *waitList) push(w *waiter, now time.Time) {
	w.since, w.prev, w.next, w.listed = now, l.last, nil, true
	if l.last == nil {
		l.first = w
	} else {
		l.last.next = w
	}
	l.last = w
}

// remove takes w out of the list; a waiter that is not listed is left alone.
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
