package peer

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meteredConn counts the bytes that pass through a connection below TLS.
type meteredConn struct {
	net.Conn
	connSentBytes     *metrics.Counter
	connReceivedBytes *metrics.Counter
}

func (m *meteredConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.connReceivedBytes.Add(n)
	return n, err
}

func (m *meteredConn) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	m.connSentBytes.Add(n)
	return n, err
}

const (
	muxHeaderSize   = 12 // Bytes of a yamux frame header.
	muxTypeOffset   = 1  // Offset of the frame type.
	muxLengthOffset = 8  // Offset of the length.
	muxTypeData     = 0  // Frame type with a body after the header.

	maxKeptBufferBytes = 16 << 10 // A larger write buffer is not kept for the next write.
)

// muxConn is the connection between yamux and TLS. yamux writes the header and the
// body of a frame separately; muxConn buffers the header until the body follows, so
// that both share a TLS record and packet. Each write has a time limit, which ends
// the session of a peer that stops reading. Write is not safe for concurrent use;
// only yamux's send loop calls it.
type muxConn struct {
	secure        net.Conn
	raw           net.Conn
	pendingHeader []byte
}

func (c *muxConn) Read(b []byte) (int, error) { return c.secure.Read(b) }

func (c *muxConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) == 0 && announcesBody(b) {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	out := b
	if len(c.pendingHeader) > 0 {
		out = append(c.pendingHeader, b...)
		c.pendingHeader = nil
		if cap(out) <= maxKeptBufferBytes {
			c.pendingHeader = out[:0]
		}
	}
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	if _, err := c.secure.Write(out); err != nil {
		return 0, err
	}
	return len(b), nil
}

// announcesBody reports whether b is a frame header that a body follows.
func announcesBody(b []byte) bool {
	return len(b) == muxHeaderSize && b[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}

// Close closes the connection below TLS without a TLS close alert: sending the alert
// would block if the peer has stopped reading. Frames carry their length, so
// truncation is detected without it.
func (c *muxConn) Close() error { return c.raw.Close() }
