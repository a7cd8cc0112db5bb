package peer

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meter counts the bytes of a connection below TLS.
type meter struct {
	net.Conn
	sent     *metrics.Counter
	received *metrics.Counter
}

func (m *meter) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.received.Add(n)
	return n, err
}

func (m *meter) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	m.sent.Add(n)
	return n, err
}

const (
	muxHeaderSize = 12 // Bytes of a yamux frame header.
	muxTypeAt     = 1  // Offset of the frame type.
	muxLengthAt   = 8  // Offset of the length.
	muxData       = 0  // Frame type that is followed by a body.

	maxKept = 16 << 10 // Bytes of buffer that a connection keeps between writes.
)

// muxConn sits between yamux and TLS. yamux writes the header and the body of a
// frame separately; held back until the body, the header shares its TLS record
// and packet. Each write has a time limit, which ends the session of a peer that
// stops reading. Only yamux's send loop writes.
type muxConn struct {
	secure net.Conn
	raw    net.Conn
	header []byte
}

func (c *muxConn) Read(b []byte) (int, error) { return c.secure.Read(b) }

func (c *muxConn) Write(b []byte) (int, error) {
	if len(c.header) == 0 && hasBody(b) {
		c.header = append(c.header, b...)
		return len(b), nil
	}
	out := b
	if len(c.header) > 0 {
		out = append(c.header, b...)
		c.header = nil
		if cap(out) <= maxKept {
			c.header = out[:0]
		}
	}
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return 0, err
	}
	if _, err := c.secure.Write(out); err != nil {
		return 0, err
	}
	return len(b), nil
}

func hasBody(b []byte) bool {
	return len(b) == muxHeaderSize && b[muxTypeAt] == muxData && binary.BigEndian.Uint32(b[muxLengthAt:]) > 0
}

// Close closes the connection below TLS: a close alert would wait for a peer
// that has stopped reading, and frames carry their own length.
func (c *muxConn) Close() error { return c.raw.Close() }
