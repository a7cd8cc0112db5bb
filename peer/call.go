package peer

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/wire"
)

// Fetch requests the head and chunks of the release from the peer at addr. Errors
// are as for Forward.
func (p *Peer) Fetch(ctx context.Context, addr string, f *wire.Fetch) (*wire.Chunks, error) {
	reply := &wire.Chunks{}
	req := &wire.Request{Call: &wire.Request_Fetch{Fetch: f}}
	if err := p.call(ctx, addr, req, reply, kindFetch); err != nil {
		return nil, err
	}
	return reply, nil
}

// Pull requests the changes of a feed from the peer at addr. Errors are as for Forward.
func (p *Peer) Pull(ctx context.Context, addr string, pull *wire.Pull) (*wire.Changes, error) {
	reply := &wire.Changes{}
	req := &wire.Request{Call: &wire.Request_Pull{Pull: pull}}
	if err := p.call(ctx, addr, req, reply, kindPull); err != nil {
		return nil, err
	}
	return reply, nil
}

// Forward sends a request to the peer at addr, over an existing link or a short-lived
// connection, and returns its reply. The error is fault.Unreachable if no byte of the
// request was or will be sent, fault.BodyTooLarge if the request exceeds the message
// size limit, and fault.OwnerLost if the peer may have received the request.
func (p *Peer) Forward(ctx context.Context, addr string, f *wire.Forward) (*wire.Reply, error) {
	reply := &wire.Reply{}
	req := &wire.Request{Call: &wire.Request_Forward{Forward: f}}
	if err := p.call(ctx, addr, req, reply, kindForward); err != nil {
		return nil, err
	}
	return reply, nil
}

// States of an exchange. Only one transition out of pending succeeds, so a request
// that was reported as not sent is never sent later.
const (
	pending uint32 = iota
	sent
	abandoned
)

// exchange is one request and its reply on a dedicated stream.
type exchange struct {
	session     *session
	frame       []byte
	reply       proto.Message
	messageKind messageKind
	deadline    time.Time
	state       atomic.Uint32
	done        chan struct{}
	err         error // Valid once done is closed.
}

func (p *Peer) call(ctx context.Context, addr string, req *wire.Request, reply proto.Message, k messageKind) error {
	frame, err := encodeFrame(req, maxMessageBytes)
	if err != nil {
		return fault.Wrap(fault.BodyTooLarge, err, "request to peer")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return fault.Wrap(fault.Unreachable, err, "request to peer")
	}
	s, done, err := p.sessionTo(ctx, addr)
	if err != nil {
		return fault.Wrap(fault.Unreachable, err, "connect to peer")
	}
	defer done()
	deadline, _ := ctx.Deadline()
	e := &exchange{session: s, frame: frame, reply: reply, messageKind: k, deadline: deadline, done: make(chan struct{})}
	if !p.startGoroutine(e.run) {
		return fault.New(fault.Unreachable, "peer connections of this VM are shut down")
	}
	return e.wait(ctx)
}

// sessionTo returns a session to addr and a function that releases it.
func (p *Peer) sessionTo(ctx context.Context, addr string) (*session, func(), error) {
	if l := p.liveLink(addr); l != nil {
		return l.session, func() {}, nil
	}
	s, err := p.connect(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	return s, s.close, nil
}

// wait waits for the end of the exchange or of ctx and returns its error. If ctx ends
// first, run may still write to the reply, so the reply must not be read.
func (e *exchange) wait(ctx context.Context) error {
	select {
	case <-e.done:
		return e.fault(e.err)
	case <-ctx.Done():
		e.state.CompareAndSwap(pending, abandoned)
		return e.fault(ctx.Err())
	}
}

// fault wraps err as fault.OwnerLost if the request may have been sent, and as
// fault.Unreachable otherwise. It returns nil if err is nil.
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
	_ = stream.SetDeadline(e.deadline)
	if !e.state.CompareAndSwap(pending, sent) {
		return
	}
	if _, e.err = stream.Write(e.frame); e.err != nil {
		return
	}
	kindCounters := e.session.peer.counters.byKind[e.messageKind]
	kindCounters.sent(len(e.frame))
	hold := e.session.peer.opts.Memory.Hold(memory.Messages, e.session.host, limit.Urgent)
	defer hold.Release()
	n, err := readFrame(stream, e.reply, maxMessageBytes, &hold)
	if err != nil {
		e.err = err
		return
	}
	kindCounters.received(n)
}
