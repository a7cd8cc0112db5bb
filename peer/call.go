package peer

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/wire"
)

// Fetch asks the peer at addr for the head and chunks of its release. Errors are
// as for Forward.
func (p *Peer) Fetch(ctx context.Context, addr string, f *wire.Fetch) (*wire.Chunks, error) {
	reply := &wire.Chunks{}
	req := &wire.Request{Call: &wire.Request_Fetch{Fetch: f}}
	if err := p.call(ctx, addr, req, reply, kindFetch); err != nil {
		return nil, err
	}
	return reply, nil
}

// Forward hands a request to the peer at addr, over a link to it or a
// short-lived connection. The error is fault.Unreachable when no byte of the
// request was sent and none will be, fault.BodyTooLarge when the request is too
// large to be sent, and fault.OwnerLost when the peer may have received it.
func (p *Peer) Forward(ctx context.Context, addr string, f *wire.Forward) (*wire.Reply, error) {
	reply := &wire.Reply{}
	req := &wire.Request{Call: &wire.Request_Forward{Forward: f}}
	if err := p.call(ctx, addr, req, reply, kindForward); err != nil {
		return nil, err
	}
	return reply, nil
}

// States of an exchange. Only one transition out of pending succeeds, so an
// answer "nothing was sent" stays true.
const (
	pending uint32 = iota
	sent
	abandoned
)

// exchange is one request and its reply on a stream of its own.
type exchange struct {
	session *session
	frame   []byte
	reply   proto.Message
	kind    kind
	limit   time.Time
	state   atomic.Uint32
	done    chan struct{}
	err     error // Valid after done.
}

func (p *Peer) call(ctx context.Context, addr string, req *wire.Request, reply proto.Message, k kind) error {
	frame, err := encodeFrame(req, maxMessage)
	if err != nil {
		return fault.Wrap(fault.BodyTooLarge, err, "request to peer")
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return fault.Wrap(fault.Unreachable, err, "request to peer")
	}
	s, done, err := p.sessionTo(ctx, addr)
	if err != nil {
		return fault.Wrap(fault.Unreachable, err, "connect to peer")
	}
	defer done()
	limit, _ := ctx.Deadline()
	e := &exchange{session: s, frame: frame, reply: reply, kind: k, limit: limit, done: make(chan struct{})}
	if !p.goWork(e.run) {
		return fault.New(fault.Unreachable, "this VM has stopped its links")
	}
	return e.wait(ctx)
}

// sessionTo returns a session to addr and what to call after its use.
func (p *Peer) sessionTo(ctx context.Context, addr string) (*session, func(), error) {
	if l := p.freshLink(addr); l != nil {
		return l.session, func() {}, nil
	}
	s, err := p.connect(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	return s, s.close, nil
}

// wait returns the outcome of the exchange. The exchange may still be running
// when ctx ends; the reply then belongs to it alone, and wait returns an error.
func (e *exchange) wait(ctx context.Context) error {
	select {
	case <-e.done:
		return e.fault(e.err)
	case <-ctx.Done():
		e.state.CompareAndSwap(pending, abandoned)
		return e.fault(ctx.Err())
	}
}

func (e *exchange) fault(err error) error {
	if e.state.Load() == sent {
		return fault.Wrap(fault.OwnerLost, err, "no reply from peer")
	}
	return fault.Wrap(fault.Unreachable, err, "request not sent to peer")
}

func (e *exchange) run() {
	defer close(e.done)
	stream, err := e.session.mux.OpenStream()
	if err != nil {
		e.err = err
		return
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(e.limit)
	if !e.state.CompareAndSwap(pending, sent) {
		return
	}
	if _, e.err = stream.Write(e.frame); e.err != nil {
		return
	}
	flow := e.session.peer.count.flows[e.kind]
	flow.sent(len(e.frame))
	n, err := readFrame(stream, e.reply, maxMessage)
	if err != nil {
		e.err = err
		return
	}
	flow.received(n)
}
