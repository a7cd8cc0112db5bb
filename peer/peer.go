// Package peer gives entry VMs authenticated links to each other. One TCP port
// serves peers: TLS 1.3, a proof of the shared key bound to that TLS session (or
// mutual TLS), yamux, and length-prefixed protobuf messages with bounds. A link
// carries heartbeats both ways; calls use a stream of a link or of a short-lived
// connection. The package decides nothing about membership.
package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	handshakeTime = 3 * time.Second // Limit for TLS and the proof.
	writeTime     = 5 * time.Second // Limit for one write to a connection.
	helloTime     = 3 * time.Second // Limit for the first message of a stream.
	// linkSilence ends a link that has delivered no heartbeat. It is above the
	// time after which a VM is declared gone, so membership decides first.
	linkSilence = 15 * time.Second
	// freshTime is how recent the last heartbeat of a link must be for calls to
	// use it. A link that is cut one way would delay each call to its deadline.
	freshTime = 2 * time.Second
	// callTime bounds a call whose context has no deadline.
	callTime = 60 * time.Second

	maxUnproved = 64  // Connections in their handshake at a time.
	maxSessions = 256 // Authenticated connections that peers opened.
	maxCalls    = 64  // Calls served at a time for one connection.
	maxID       = 256 // Bytes of a VM id in Hello.
)

// Options configure New. Function fields are seams; a nil handler refuses what
// it would handle.
type Options struct {
	// SharedKey is shared by all VMs of the fleet, at least 16 bytes.
	SharedKey []byte
	// CA, Cert and CertKey are PEM. When CA is set, mutual TLS replaces the
	// shared key.
	CA, Cert, CertKey []byte

	// Self returns this VM's own record for Hello.
	Self func() *wire.Member
	// Listen opens the port for peers. Nil accepts no connections.
	Listen func() (net.Listener, error)
	// Dial opens a connection to a peer address. Nil dials TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// OnFetch answers Fetch. The context ends with Run, or after callTime.
	OnFetch func(ctx context.Context, f *wire.Fetch) (*wire.Chunks, error)
	// OnForward runs a forwarded request. Its context ends at the deadline of
	// the request and not with the connection: a request that has started keeps
	// running so that its response can be kept. An error becomes a Reply with
	// its fault kind.
	OnForward func(ctx context.Context, f *wire.Forward) (*wire.Reply, error)
	// OnHeartbeat receives each heartbeat. Heartbeats of one link come in order,
	// after OnLink(l, true) and before OnLink(l, false).
	OnHeartbeat func(l *Link, h *wire.Heartbeat)
	// OnLink is called when a link is up and when it is down.
	OnLink func(l *Link, up bool)

	// Metrics takes the counters; nil keeps them in a set of their own.
	Metrics *metrics.Set
}

// Peer serves and opens links and calls.
type Peer struct {
	opts     Options
	guard    *guard
	count    *counters
	ctx      context.Context // Ends with Run.
	cancel   context.CancelFunc
	unproved chan struct{}
	accepted chan struct{}

	mu       sync.Mutex
	closed   bool
	work     sync.WaitGroup
	sessions map[*session]struct{}
	links    map[string][]*Link // By peer address, newest last.
}

// New returns a Peer. It fails with fault.Invalid for a short key or unusable
// certificates.
func New(o Options) (*Peer, error) {
	g, err := newGuard(o)
	if err != nil {
		return nil, err
	}
	if o.Self == nil {
		return nil, fault.New(fault.Invalid, "Self is not set")
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	p := &Peer{
		opts:     o,
		guard:    g,
		count:    newCounters(o.Metrics),
		unproved: make(chan struct{}, maxUnproved),
		accepted: make(chan struct{}, maxSessions),
		sessions: map[*session]struct{}{},
		links:    map[string][]*Link{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

// Run accepts connections until ctx ends, then closes every link and returns
// once all work has ended. It returns the context's error, or that of Listen.
func (p *Peer) Run(ctx context.Context) error {
	defer p.shutdown()
	if p.opts.Listen == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ln, err := p.opts.Listen()
	if err != nil {
		return fault.Wrap(fault.Internal, err, "listen for peers")
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer func() { _ = ln.Close() }()
	return p.accept(ctx, ln)
}

const acceptPause = 50 * time.Millisecond // After an error of Accept, such as too many open files.

func (p *Peer) accept(ctx context.Context, ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			if conn != nil {
				_ = conn.Close()
			}
			return ctx.Err()
		}
		if err != nil {
			select {
			case <-time.After(acceptPause):
			case <-ctx.Done():
			}
			continue
		}
		p.admit(conn)
	}
}

// admit starts the handshake of an accepted connection, unless too many
// connections are in theirs.
func (p *Peer) admit(conn net.Conn) {
	select {
	case p.unproved <- struct{}{}:
	default:
		p.count.refused.Inc()
		_ = conn.Close()
		return
	}
	started := p.goWork(func() {
		s, err := p.authenticate(conn)
		<-p.unproved
		if err != nil {
			p.count.unauthorized.Inc()
			_ = conn.Close()
			return
		}
		p.serve(s)
	})
	if !started {
		<-p.unproved
		_ = conn.Close()
	}
}

func (p *Peer) authenticate(conn net.Conn) (*session, error) {
	raw := p.metered(conn)
	secure, err := p.guard.accepted(p.ctx, raw)
	if err != nil {
		return nil, err
	}
	return newSession(p, raw, secure, false)
}

// serve runs an accepted session until it ends.
func (p *Peer) serve(s *session) {
	select {
	case p.accepted <- struct{}{}:
	default:
		p.count.refused.Inc()
		s.close()
		return
	}
	defer func() { <-p.accepted }()
	s.run()
}

func (p *Peer) metered(conn net.Conn) net.Conn {
	return &meter{Conn: conn, sent: p.count.sent, received: p.count.received}
}

// goWork runs fn on a goroutine that Run waits for. It reports false when Run
// has ended.
func (p *Peer) goWork(fn func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.work.Go(fn)
	return true
}

func (p *Peer) shutdown() {
	p.mu.Lock()
	p.closed = true
	open := make([]*session, 0, len(p.sessions))
	for s := range p.sessions {
		open = append(open, s)
	}
	p.mu.Unlock()
	p.cancel()
	for _, s := range open {
		s.close()
	}
	p.work.Wait()
}

// connect opens an authenticated session to addr. The caller runs or closes it.
func (p *Peer) connect(ctx context.Context, addr string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTime)
	defer cancel()
	stop := context.AfterFunc(p.ctx, cancel)
	defer stop()
	conn, err := p.opts.Dial(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, "dial peer")
	}
	raw := p.metered(conn)
	secure, err := p.guard.dialed(ctx, raw)
	if err == nil {
		var s *session
		if s, err = newSession(p, raw, secure, true); err == nil {
			return s, nil
		}
	}
	_ = conn.Close()
	return nil, err
}

func (p *Peer) addLink(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range l.addrs() {
		p.links[addr] = append(p.links[addr], l)
	}
}

func (p *Peer) dropLink(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range l.addrs() {
		rest := slices.DeleteFunc(p.links[addr], func(other *Link) bool { return other == l })
		if len(rest) == 0 {
			delete(p.links, addr)
			continue
		}
		p.links[addr] = rest
	}
}

// freshLink returns the newest link to addr that has delivered a heartbeat
// lately, or nil.
func (p *Peer) freshLink(addr string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range slices.Backward(p.links[addr]) {
		if l.isFresh(time.Now()) {
			return l
		}
	}
	return nil
}
