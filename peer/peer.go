// Package peer implements authenticated connections between entry VMs. Peers connect
// to one TCP port with TLS 1.3, authenticate by a proof of the shared key that is
// bound to the TLS session (or by mutual TLS), and exchange length-prefixed protobuf
// messages of limited size over yamux. A link carries heartbeats in both directions;
// each call uses a stream of a link or of a short-lived connection. Membership is
// decided elsewhere.
package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	handshakeTimeout = 3 * time.Second // Dial, TLS handshake and proof.
	writeTimeout     = 5 * time.Second // One write to a connection.
	helloTimeout     = 3 * time.Second // First message of a stream.
	// heartbeatTimeout ends a link on which no heartbeat arrives. It is longer than the
	// time after which membership declares a VM gone, so membership acts first.
	heartbeatTimeout = 15 * time.Second
	// maxHeartbeatAge is the maximum age of the last heartbeat of a link that calls use.
	// On a link that fails in one direction, each call would run into its deadline.
	maxHeartbeatAge = 2 * time.Second
	// callTimeout limits each call, also one whose context has no deadline.
	callTimeout = 60 * time.Second

	maxHandshakes       = 64  // Accepted connections in the handshake at a time.
	maxAcceptedSessions = 256 // Authenticated connections that peers opened, at a time.
	maxCallsPerSession  = 64  // Calls and links served at a time per connection.
	maxIDBytes          = 256 // Maximum size of the VM id in Hello.
)

// Options configures New. Calls for which no handler is set get no reply.
type Options struct {
	// SharedKey is the key that all VMs of the fleet share, at least 16 bytes.
	SharedKey []byte
	// CA, Cert and CertKey are PEM. When CA is set, mutual TLS replaces the
	// shared key.
	CA, Cert, CertKey []byte

	// Self returns this VM's own record for Hello. It is required.
	Self func() *wire.Member
	// Listen opens the listener for peers. If nil, no connections are accepted.
	Listen func() (net.Listener, error)
	// Dial opens a connection to a peer address. If nil, TCP is used.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	// OnFetch handles a Fetch of a peer. The context ends with Run or after 60 s.
	OnFetch func(ctx context.Context, f *wire.Fetch) (*wire.Chunks, error)
	// OnPull handles a Pull of a peer.
	OnPull func(p *wire.Pull) *wire.Changes
	// OnForward runs a forwarded request. The context ends with Run, at the deadline of
	// the request or after 60 s, but not with the connection: a request that has
	// started keeps running so that its response can be stored. An error is returned
	// to the peer as a Reply with its error kind.
	OnForward func(ctx context.Context, f *wire.Forward) (*wire.Reply, error)
	// OnHeartbeat is called for each received heartbeat, in order within a link, after
	// OnLink(l, true) and before OnLink(l, false).
	OnHeartbeat func(l *Link, h *wire.Heartbeat)
	// OnLink is called when a link comes up and when it goes down.
	OnLink func(l *Link, up bool)

	// Metrics is the set that the counters are added to. If nil, a private set is used.
	Metrics *metrics.Set
	// Memory bounds the messages of calls that are held at a time. Nil means no bound.
	Memory *memory.Budget
}

// Peer opens and accepts links and calls between this VM and others.
type Peer struct {
	opts           Options
	authenticator  *authenticator
	counters       *peerMetrics
	ctx            context.Context // Ends with Run.
	cancel         context.CancelFunc
	handshakeSlots chan struct{}
	sessionSlots   chan struct{}

	mu         sync.Mutex
	closed     bool
	goroutines sync.WaitGroup
	sessions   map[*session]struct{}
	links      map[string][]*Link // By peer address, newest last.
}

// SetSharedKey replaces the key that all VMs of the fleet share. It applies to connections
// that begin later; those that are up stay. The error is fault.Invalid if the key is too short
// or the VMs authenticate by mutual TLS.
func (p *Peer) SetSharedKey(key []byte) error {
	if p.authenticator.sharedKey.Load() == nil {
		return fault.New(fault.Invalid, "the VMs share no key")
	}
	if len(key) < minSharedKeyBytes {
		return fault.New(fault.Invalid, "the shared key has %d bytes, at least %d are needed", len(key), minSharedKeyBytes)
	}
	p.authenticator.sharedKey.Store(&key)
	return nil
}

// New returns a Peer. The error is fault.Invalid if the shared key is too short, the
// certificates are unusable or Self is nil.
func New(o Options) (*Peer, error) {
	a, err := newAuthenticator(o)
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
		opts:           o,
		authenticator:  a,
		counters:       newPeerMetrics(o.Metrics),
		handshakeSlots: make(chan struct{}, maxHandshakes),
		sessionSlots:   make(chan struct{}, maxAcceptedSessions),
		sessions:       map[*session]struct{}{},
		links:          map[string][]*Link{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

// Run accepts connections until ctx ends, then closes every session and waits for all
// goroutines. It returns the error of ctx, or fault.Internal if Listen fails.
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

const acceptRetryDelay = 50 * time.Millisecond // Delay after an error of Accept, such as too many open files.

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
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		p.startHandshake(conn)
	}
}

// startHandshake starts the handshake of an accepted connection, or closes the
// connection if too many handshakes are in progress.
func (p *Peer) startHandshake(conn net.Conn) {
	select {
	case p.handshakeSlots <- struct{}{}:
	default:
		p.counters.refused.Inc()
		_ = conn.Close()
		return
	}
	started := p.startGoroutine(func() {
		s, err := p.authenticate(conn)
		<-p.handshakeSlots
		if err != nil {
			p.counters.failedHandshakes.Inc()
			_ = conn.Close()
			return
		}
		p.serve(s)
	})
	if !started {
		<-p.handshakeSlots
		_ = conn.Close()
	}
}

func (p *Peer) authenticate(conn net.Conn) (*session, error) {
	raw := p.metered(conn)
	secure, err := p.authenticator.authenticateAccepted(p.ctx, raw)
	if err != nil {
		return nil, err
	}
	return newSession(p, raw, secure, false)
}

// serve runs an accepted session until it ends.
func (p *Peer) serve(s *session) {
	select {
	case p.sessionSlots <- struct{}{}:
	default:
		p.counters.refused.Inc()
		s.close()
		return
	}
	defer func() { <-p.sessionSlots }()
	s.run()
}

func (p *Peer) metered(conn net.Conn) net.Conn {
	return &meteredConn{Conn: conn, connSentBytes: p.counters.connSentBytes, connReceivedBytes: p.counters.connReceivedBytes}
}

// startGoroutine runs fn on a goroutine that Run waits for. It returns false without
// running fn if Run has begun to shut down.
func (p *Peer) startGoroutine(fn func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.goroutines.Go(fn)
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
	p.goroutines.Wait()
}

// connect opens an authenticated session to addr, which must be run or closed.
func (p *Peer) connect(ctx context.Context, addr string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(p.ctx, cancel)
	defer stop()
	conn, err := p.opts.Dial(ctx, addr)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err, "dial peer")
	}
	raw := p.metered(conn)
	secure, err := p.authenticator.authenticateDialed(ctx, raw)
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

func (p *Peer) removeLink(l *Link) {
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

// liveLink returns the newest link to addr with a heartbeat within maxHeartbeatAge, or
// nil.
func (p *Peer) liveLink(addr string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range slices.Backward(p.links[addr]) {
		if l.hasRecentHeartbeat(time.Now()) {
			return l
		}
	}
	return nil
}
