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
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	streamBacklog      = 32        // Maximum number of streams that are not yet accepted.
	streamWindowBytes  = 256 << 10 // Flow-control window of one stream.
	streamOpenTimeout  = 10 * time.Second
	streamCloseTimeout = 10 * time.Second
)

// session is one authenticated connection, multiplexed by yamux.
type session struct {
	peer      *Peer
	mux       *yamux.Session
	host      string        // IP address of the peer.
	callSlots chan struct{} // Semaphore for streams that this VM serves.
	hasLink   atomic.Bool   // Set once a link uses the session.
}

// newSession starts yamux on an authenticated connection and registers the session,
// which then owns the connection.
func newSession(p *Peer, raw, secure net.Conn, client bool) (*session, error) {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = streamBacklog
	config.EnableKeepAlive = false // Heartbeats detect a lost peer.
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindowBytes
	config.StreamOpenTimeout = streamOpenTimeout
	config.StreamCloseTimeout = streamCloseTimeout
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
	host, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	s := &session{peer: p, mux: mux, host: host, callSlots: make(chan struct{}, maxCallsPerSession)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = mux.Close()
		return nil, fault.New(fault.Unreachable, "peer connections of this VM are shut down")
	}
	p.sessions[s] = struct{}{}
	return s, nil
}

// close closes the session with its connection and streams.
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
		case s.callSlots <- struct{}{}:
		default:
			s.peer.counters.refused.Inc()
			s.peer.startGoroutine(func() { _ = stream.Close() })
			continue
		}
		started := s.peer.startGoroutine(func() {
			s.handle(stream)
			_ = stream.Close()
			<-s.callSlots
		})
		if !started {
			return
		}
	}
}

// handle serves one stream that the peer opened.
func (s *session) handle(stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(helloTimeout))
	req := &wire.Request{}
	hold := s.peer.opts.Memory.Hold(memory.Messages, s.host, limit.Normal)
	defer hold.Release()
	n, err := readFrame(stream, req, maxMessageBytes, &hold)
	if err != nil {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch call := req.GetCall().(type) {
	case *wire.Request_Hello:
		s.peer.counters.byKind[kindHello].received(n)
		s.handleHello(stream, call.Hello)
	case *wire.Request_Fetch:
		s.peer.counters.byKind[kindFetch].received(n)
		s.handleFetch(stream, call.Fetch)
	case *wire.Request_Forward:
		s.peer.counters.byKind[kindForward].received(n)
		s.handleForward(stream, call.Forward)
	case *wire.Request_Pull:
		s.peer.counters.byKind[kindPull].received(n)
		s.handlePull(stream, call.Pull)
	}
}

// handleHello replies with this VM's own Hello and runs the link until it ends.
func (s *session) handleHello(stream *yamux.Stream, h *wire.Hello) {
	if !hasValidID(h) || !s.hasLink.CompareAndSwap(false, true) {
		s.peer.counters.refused.Inc()
		return
	}
	reply := &wire.Hello{Self: s.peer.opts.Self()}
	if err := s.write(stream, reply, kindHello, maxHeartbeatBytes); err != nil {
		return
	}
	newLink(s, stream, h.GetSelf(), "").run()
}

func hasValidID(h *wire.Hello) bool {
	id := h.GetSelf().GetId()
	return id != "" && len(id) <= maxIDBytes
}

func (s *session) handleFetch(stream *yamux.Stream, f *wire.Fetch) {
	if s.peer.opts.OnFetch == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.peer.ctx, callTimeout)
	defer cancel()
	chunks, err := s.peer.opts.OnFetch(ctx, f)
	if err != nil || chunks == nil {
		return
	}
	// The peer treats a missing chunk as unavailable here and fetches it again.
	for proto.Size(chunks) > maxMessageBytes && len(chunks.GetChunks()) > 0 {
		chunks = &wire.Chunks{Head: chunks.GetHead(), Chunks: chunks.GetChunks()[:len(chunks.GetChunks())-1]}
	}
	_ = s.write(stream, chunks, kindFetch, maxMessageBytes)
}

// handlePull replies with the changes that the peer asks for, or with none when they do
// not fit into a message; the peer then reads the platform.
func (s *session) handlePull(stream *yamux.Stream, pull *wire.Pull) {
	if s.peer.opts.OnPull == nil {
		return
	}
	changes := s.peer.opts.OnPull(pull)
	if proto.Size(changes) > maxMessageBytes {
		changes = &wire.Changes{}
	}
	_ = s.write(stream, changes, kindPull, maxMessageBytes)
}

func (s *session) handleForward(stream *yamux.Stream, f *wire.Forward) {
	if s.peer.opts.OnForward == nil {
		return
	}
	timeout := callTimeout
	if d := time.Duration(f.GetDeadline()) * time.Millisecond; d > 0 && d < timeout {
		timeout = d
	}
	ctx, cancel := context.WithTimeout(s.peer.ctx, timeout)
	defer cancel()
	reply, err := s.peer.opts.OnForward(ctx, f)
	switch {
	case err != nil:
		kind := fault.KindOf(err)
		reply = &wire.Reply{Kind: kind.String(), Text: kind.Response().Text()}
	case reply == nil:
		return
	case proto.Size(reply) > maxMessageBytes:
		kind := fault.AnswerTooLarge
		reply = &wire.Reply{Kind: kind.String(), Text: kind.Response().Text()}
	}
	_ = s.write(stream, reply, kindForward, maxMessageBytes)
}

func (s *session) write(w io.Writer, m proto.Message, k messageKind, maxBytes int) error {
	frame, err := encodeFrame(m, maxBytes)
	if err != nil {
		return err
	}
	if _, err := w.Write(frame); err != nil {
		return err
	}
	s.peer.counters.byKind[k].sent(len(frame))
	return nil
}
