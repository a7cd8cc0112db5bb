package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/wire"
)

// Link carries heartbeats in both directions between two mutually authenticated VMs.
type Link struct {
	session       *session
	stream        *yamux.Stream
	remote        *wire.Member
	dialedAddr    string        // Address that this VM dialed; empty if the peer dialed.
	lastHeartbeat atomic.Int64  // Unix time in nanoseconds at which the last heartbeat arrived.
	wake          chan struct{} // Signals that pendingBuild is set.

	mu           sync.Mutex
	pendingBuild func() *wire.Heartbeat // Builds the queued heartbeat; nil if none is queued.
}

func newLink(s *session, stream *yamux.Stream, remote *wire.Member, dialedAddr string) *Link {
	l := &Link{
		session:    s,
		stream:     stream,
		remote:     remote,
		dialedAddr: dialedAddr,
		wake:       make(chan struct{}, 1),
	}
	l.lastHeartbeat.Store(time.Now().UnixNano())
	return l
}

// Link opens a link to addr and returns it once both VMs have exchanged Hello. The
// error is fault.Unreachable or fault.Unauthorized.
func (p *Peer) Link(ctx context.Context, addr string) (*Link, error) {
	s, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	l, err := p.exchangeHello(ctx, s, addr)
	if err != nil {
		s.close()
		return nil, fault.Wrap(fault.Unreachable, err, "exchange Hello")
	}
	if !p.startGoroutine(s.run) || !p.startGoroutine(l.run) {
		s.close()
		return nil, fault.New(fault.Unreachable, "peer connections of this VM are shut down")
	}
	return l, nil
}

func (p *Peer) exchangeHello(ctx context.Context, s *session, addr string) (*Link, error) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	s.hasLink.Store(true)
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Now().Add(helloTimeout))
	req := &wire.Request{Call: &wire.Request_Hello{Hello: &wire.Hello{Self: p.opts.Self()}}}
	if err := s.write(stream, req, kindHello, maxHeartbeatBytes); err != nil {
		return nil, err
	}
	reply := &wire.Hello{}
	n, err := readFrame(stream, reply, maxHeartbeatBytes, &memory.Hold{})
	if err != nil {
		return nil, err
	}
	p.counters.byKind[kindHello].received(n)
	if !hasValidID(reply) {
		return nil, fault.New(fault.Invalid, "the peer sent an empty or oversized VM id")
	}
	return newLink(s, stream, reply.GetSelf(), addr), nil
}

// Remote returns the peer's own record from its Hello.
func (l *Link) Remote() *wire.Member { return l.remote }

// DialedAddr returns the address that this VM dialed, or "" if the peer opened the
// link.
func (l *Link) DialedAddr() string { return l.dialedAddr }

// Close closes the link asynchronously.
func (l *Link) Close() { go l.session.close() }

// Send queues a heartbeat and never blocks. The queue has room for one heartbeat; a
// newer one replaces it. build is called when the link is ready to write, so that the
// heartbeat is as recent as possible; it may return nil to send nothing.
func (l *Link) Send(build func() *wire.Heartbeat) {
	l.mu.Lock()
	if l.pendingBuild != nil {
		l.session.peer.counters.replacedHeartbeats.Inc()
	}
	l.pendingBuild = build
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Link) hasRecentHeartbeat(now time.Time) bool {
	return now.UnixNano()-l.lastHeartbeat.Load() < int64(maxHeartbeatAge)
}

func (l *Link) addrs() []string {
	if l.dialedAddr == "" || l.dialedAddr == l.remote.GetPeer() {
		return []string{l.remote.GetPeer()}
	}
	return []string{l.remote.GetPeer(), l.dialedAddr}
}

// run registers the link and reads heartbeats until the link ends.
func (l *Link) run() {
	p := l.session.peer
	defer l.session.close()
	if !p.startGoroutine(l.writeHeartbeats) {
		return
	}
	p.addLink(l)
	defer p.removeLink(l)
	if p.opts.OnLink != nil {
		p.opts.OnLink(l, true)
		defer p.opts.OnLink(l, false)
	}
	for {
		_ = l.stream.SetReadDeadline(time.Now().Add(heartbeatTimeout))
		h := &wire.Heartbeat{}
		n, err := readFrame(l.stream, h, maxHeartbeatBytes, &memory.Hold{})
		if err != nil {
			return
		}
		l.lastHeartbeat.Store(time.Now().UnixNano())
		p.counters.byKind[kindHeartbeat].received(n)
		if p.opts.OnHeartbeat != nil {
			p.opts.OnHeartbeat(l, h)
		}
	}
}

// writeHeartbeats writes queued heartbeats until the session ends. It is the only
// writer of the stream after the Hello.
func (l *Link) writeHeartbeats() {
	for {
		select {
		case <-l.wake:
		case <-l.session.mux.CloseChan():
			return
		}
		if h := l.buildPending(); h != nil {
			err := l.session.write(l.stream, h, kindHeartbeat, maxHeartbeatBytes)
			if fault.KindOf(err) == fault.Invalid {
				l.session.peer.counters.oversizedHeartbeats.Inc()
				continue
			}
			if err != nil {
				l.session.close()
				return
			}
		}
	}
}

// buildPending empties the queue and returns the heartbeat, or nil if there is none.
func (l *Link) buildPending() *wire.Heartbeat {
	l.mu.Lock()
	build := l.pendingBuild
	l.pendingBuild = nil
	l.mu.Unlock()
	if build == nil {
		return nil
	}
	return build()
}
