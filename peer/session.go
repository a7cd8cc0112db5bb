package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	streamBacklog   = 32        // Streams that wait to be accepted.
	streamWindow    = 256 << 10 // Bytes in flight on one stream.
	streamOpenTime  = 10 * time.Second
	streamCloseTime = 10 * time.Second
)

// session is one authenticated connection.
type session struct {
	peer   *Peer
	mux    *yamux.Session
	calls  chan struct{} // Room for calls that this VM serves.
	linked atomic.Bool   // A link uses this session.
}

// newSession starts yamux on an authenticated connection. From here the session
// owns the connection.
func newSession(p *Peer, raw, secure net.Conn, client bool) (*session, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = streamBacklog
	config.EnableKeepAlive = false // Heartbeats show whether the peer is there.
	config.ConnectionWriteTimeout = writeTime
	config.MaxStreamWindowSize = streamWindow
	config.StreamOpenTimeout = streamOpenTime
	config.StreamCloseTimeout = streamCloseTime
	config.LogOutput = io.Discard
	conn := &muxConn{secure: secure, raw: raw}
	open := yamux.Server
	if client {
		open = yamux.Client
	}
	mux, err := open(conn, config)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "start yamux")
	}
	s := &session{peer: p, mux: mux, calls: make(chan struct{}, maxCalls)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = mux.Close()
		return nil, fault.New(fault.Unreachable, "this VM has stopped its links")
	}
	p.sessions[s] = struct{}{}
	return s, nil
}

// close ends the session and everything on it.
func (s *session) close() {
	s.peer.mu.Lock()
	delete(s.peer.sessions, s)
	s.peer.mu.Unlock()
	_ = s.mux.Close()
}

// run accepts the peer's streams until the session ends.
func (s *session) run() {
	defer s.close()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		select {
		case s.calls <- struct{}{}:
		default:
			s.peer.count.refused.Inc()
			s.peer.goWork(func() { _ = stream.Close() })
			continue
		}
		started := s.peer.goWork(func() {
			s.handle(stream)
			_ = stream.Close()
			<-s.calls
		})
		if !started {
			return
		}
	}
}

// handle serves one stream of the peer.
func (s *session) handle(stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(helloTime))
	req := &wire.Request{}
	n, err := readFrame(stream, req, maxMessage)
	if err != nil {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch call := req.GetCall().(type) {
	case *wire.Request_Hello:
		s.peer.count.flows[kindHello].received(n)
		s.handleHello(stream, call.Hello)
	case *wire.Request_Fetch:
		s.peer.count.flows[kindFetch].received(n)
		s.handleFetch(stream, call.Fetch)
	case *wire.Request_Forward:
		s.peer.count.flows[kindForward].received(n)
		s.handleForward(stream, call.Forward)
	}
}

// handleHello answers with this VM's own Hello and runs the link.
func (s *session) handleHello(stream *yamux.Stream, h *wire.Hello) {
	if !isNamed(h) || !s.linked.CompareAndSwap(false, true) {
		s.peer.count.refused.Inc()
		return
	}
	reply := &wire.Hello{Self: s.peer.opts.Self()}
	if err := s.write(stream, reply, kindHello, maxHeartbeat); err != nil {
		return
	}
	newLink(s, stream, h.GetSelf(), "").run()
}

func isNamed(h *wire.Hello) bool {
	id := h.GetSelf().GetId()
	return id != "" && len(id) <= maxID
}

func (s *session) handleFetch(stream *yamux.Stream, f *wire.Fetch) {
	if s.peer.opts.OnFetch == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.peer.ctx, callTime)
	defer cancel()
	chunks, err := s.peer.opts.OnFetch(ctx, f)
	if err != nil || chunks == nil {
		return
	}
	// A chunk that is left out counts as not held, and the caller asks again.
	for proto.Size(chunks) > maxMessage && len(chunks.GetChunks()) > 0 {
		chunks = &wire.Chunks{Head: chunks.GetHead(), Chunks: chunks.GetChunks()[:len(chunks.GetChunks())-1]}
	}
	_ = s.write(stream, chunks, kindFetch, maxMessage)
}

func (s *session) handleForward(stream *yamux.Stream, f *wire.Forward) {
	if s.peer.opts.OnForward == nil {
		return
	}
	limit := callTime
	if d := time.Duration(f.GetDeadline()) * time.Millisecond; d > 0 && d < limit {
		limit = d
	}
	ctx, cancel := context.WithTimeout(s.peer.ctx, limit)
	defer cancel()
	reply, err := s.peer.opts.OnForward(ctx, f)
	switch {
	case err != nil:
		kind := fault.KindOf(err)
		reply = &wire.Reply{Kind: kind.String(), Text: kind.Response().Text()}
	case reply == nil:
		return
	case proto.Size(reply) > maxMessage:
		kind := fault.AnswerTooLarge
		reply = &wire.Reply{Kind: kind.String(), Text: kind.Response().Text()}
	}
	_ = s.write(stream, reply, kindForward, maxMessage)
}

func (s *session) write(w io.Writer, m proto.Message, k kind, limit int) error {
	frame, err := encodeFrame(m, limit)
	if err != nil {
		return err
	}
	if _, err := w.Write(frame); err != nil {
		return err
	}
	s.peer.count.flows[k].sent(len(frame))
	return nil
}
