// Package flood is a server for tests that sends bytes without end.
package flood

import (
	"context"
	"io"
	"net"
	"sync/atomic"
)

// Server sends First and then Piece again and again, on each connection until it is closed.
type Server struct {
	First, Piece string

	sent atomic.Int64
}

// Dial opens a connection in memory, so that nothing but the client buffers what is sent.
func (s *Server) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	go func() {
		defer func() { _ = server.Close() }()
		for text := s.First; ; text = s.Piece {
			n, err := io.WriteString(server, text)
			s.sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return client, nil
}

// Sent returns the bytes that clients have taken.
func (s *Server) Sent() int64 { return s.sent.Load() }
