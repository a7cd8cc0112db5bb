package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/wire"
)

// Link carries heartbeats both ways between two VMs that have authenticated
// each other.
type Link struct {
	session *session
	stream  *yamux.Stream
	remote  *wire.Member
	dialed  string        // Address that this VM dialed; empty when the peer did.
	heard   atomic.Int64  // Unix time of the last heartbeat, in nanoseconds.
	wake    chan struct{} // Signals that next is set.

	mu   sync.Mutex
	next func() *wire.Heartbeat // The heartbeat that waits to be sent.
}

func newLink(s *session, stream *yamux.Stream, remote *wire.Member, dialed string) *Link {
	l := &Link{
		session: s,
		stream:  stream,
		remote:  remote,
		dialed:  dialed,
		wake:    make(chan struct{}, 1),
	}
	l.heard.Store(time.Now().UnixNano())
	return l
}

// Link opens a link to addr and returns it once both VMs have said Hello.
// Errors are fault.Unreachable or fault.Unauthorized.
func (p *Peer) Link(ctx context.Context, addr string) (*Link, error) {
	s, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	l, err := p.greet(ctx, s, addr)
	if err != nil {
		s.close()
		return nil, fault.Wrap(fault.Unreachable, err, "hello")
	}
	if !p.goWork(s.run) || !p.goWork(l.run) {
		s.close()
		return nil, fault.New(fault.Unreachable, "this VM has stopped its links")
	}
	return l, nil
}

func (p *Peer) greet(ctx context.Context, s *session, addr string) (*Link, error) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	s.linked.Store(true)
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	_ = stream.SetReadDeadline(time.Now().Add(helloTime))
	req := &wire.Request{Call: &wire.Request_Hello{Hello: &wire.Hello{Self: p.opts.Self()}}}
	if err := s.write(stream, req, kindHello, maxHeartbeat); err != nil {
		return nil, err
	}
	reply := &wire.Hello{}
	n, err := readFrame(stream, reply, maxHeartbeat)
	if err != nil {
		return nil, err
	}
	p.count.flows[kindHello].received(n)
	if !isNamed(reply) {
		return nil, fault.New(fault.Invalid, "the peer has no usable id")
	}
	return newLink(s, stream, reply.GetSelf(), addr), nil
}

// Remote returns the record that the peer gave of itself in Hello.
func (l *Link) Remote() *wire.Member { return l.remote }

// DialedAddr returns the address that this VM dialed, or "" when the peer opened
// the link.
func (l *Link) DialedAddr() string { return l.dialed }

// Close ends the link without waiting.
func (l *Link) Close() { go l.session.close() }

// Send queues a heartbeat and never blocks. One heartbeat waits at most: a
// newer one replaces it. build runs when the link is ready to write, so the
// heartbeat is as recent as possible; it may return nil to send nothing.
func (l *Link) Send(build func() *wire.Heartbeat) {
	l.mu.Lock()
	if l.next != nil {
		l.session.peer.count.replaced.Inc()
	}
	l.next = build
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Link) isFresh(now time.Time) bool {
	return now.UnixNano()-l.heard.Load() < int64(freshTime)
}

func (l *Link) addrs() []string {
	if l.dialed == "" || l.dialed == l.remote.GetPeer() {
		return []string{l.remote.GetPeer()}
	}
	return []string{l.remote.GetPeer(), l.dialed}
}

// run reads heartbeats until the link ends.
func (l *Link) run() {
	p := l.session.peer
	defer l.session.close()
	if !p.goWork(l.send) {
		return
	}
	p.addLink(l)
	defer p.dropLink(l)
	if p.opts.OnLink != nil {
		p.opts.OnLink(l, true)
		defer p.opts.OnLink(l, false)
	}
	for {
		_ = l.stream.SetReadDeadline(time.Now().Add(linkSilence))
		h := &wire.Heartbeat{}
		n, err := readFrame(l.stream, h, maxHeartbeat)
		if err != nil {
			return
		}
		l.heard.Store(time.Now().UnixNano())
		p.count.flows[kindHeartbeat].received(n)
		if p.opts.OnHeartbeat != nil {
			p.opts.OnHeartbeat(l, h)
		}
	}
}

// send writes queued heartbeats. It is the only writer of the stream.
func (l *Link) send() {
	for {
		select {
		case <-l.wake:
		case <-l.session.mux.CloseChan():
			return
		}
		if h := l.take(); h != nil {
			err := l.session.write(l.stream, h, kindHeartbeat, maxHeartbeat)
			if fault.KindOf(err) == fault.Invalid {
				l.session.peer.count.unsent.Inc()
				continue
			}
			if err != nil {
				l.session.close()
				return
			}
		}
	}
}

func (l *Link) take() *wire.Heartbeat {
	l.mu.Lock()
	build := l.next
	l.next = nil
	l.mu.Unlock()
	if build == nil {
		return nil
	}
	return build()
}
