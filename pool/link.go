package pool

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Buffer sizes of a connection, in bytes.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// ErrHeaderTooLarge is the cause of a fault of kind AnswerTooLarge when the head of a
// response exceeds Options.Header. What follows may be no response at all.
var ErrHeaderTooLarge = errors.New("response header is too large")

// serverConn is one connection to the backend server, with the state of its current
// exchange.
type serverConn struct {
	conn        net.Conn
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleSince   time.Time    // When the last exchange ended.
	reuseUntil  time.Time    // The connection is not reused after it; zero for no limit.
	readQuota   int64        // Bytes that may still be read; bounded while a header is read.
	sentBytes   atomic.Int64 // Bytes of the current request that were sent.
	writeFailed atomic.Bool  // A write to the connection failed.
}

// newServerConn returns a connection that reuses the buffers of evicted, which may be
// nil. The evicted connection must have been idle: its last exchange has ended, so
// nothing reads or writes its buffers any more.
func newServerConn(conn net.Conn, evicted *serverConn) *serverConn {
	c := &serverConn{conn: conn}
	if evicted != nil {
		c.reader, c.writer = evicted.reader, evicted.writer
		c.reader.Reset(connReader{c})
		c.writer.Reset(c)
		return c
	}
	c.reader = bufio.NewReaderSize(connReader{c}, readBufferBytes)
	c.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c
}

// Write implements io.Writer. It counts the bytes that were handed to the operating
// system, so that a failed exchange can tell whether any byte was sent.
func (c *serverConn) Write(b []byte) (int, error) {
	n, err := c.conn.Write(b)
	c.sentBytes.Add(int64(n))
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// send writes a request. After an error the buffer may hold a part of the request, so
// the connection must not be reused.
func (c *serverConn) send(r *http.Request) error {
	if err := r.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// keepAliveMargin is how long before the announced keep-alive timeout a connection is
// no longer reused. A request that is sent while the backend server closes the
// connection has an unknown outcome. The announced timeout is truncated to whole
// seconds.
const keepAliveMargin = 500 * time.Millisecond

// recordKeepAlive sets reuseUntil from the timeout in the Keep-Alive field of a
// response. A timeout of 0 s means less than one second.
func (c *serverConn) recordKeepAlive(h http.Header, now time.Time) {
	c.reuseUntil = time.Time{}
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31); err == nil {
			c.reuseUntil = now.Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
}

// wasUsed reports whether there was an exchange on the connection before the current one.
func (c *serverConn) wasUsed() bool { return !c.idleSince.IsZero() }

// keepAliveExpired reports whether the keep-alive timeout that the backend server
// announced is about to end or has ended.
func (c *serverConn) keepAliveExpired(now time.Time) bool {
	return !c.reuseUntil.IsZero() && now.After(c.reuseUntil)
}

func (c *serverConn) close() { _ = c.conn.Close() }

// limitReads bounds the bytes that may be read until unlimitReads is called. The read
// buffer may read past the end of the header, so its size is added to n.
func (c *serverConn) limitReads(n int64) { c.readQuota = n + readBufferBytes }

func (c *serverConn) unlimitReads() { c.readQuota = math.MaxInt64 }

// connReader is the source of the read buffer. It enforces the bound that limitReads
// sets.
type connReader struct{ c *serverConn }

func (r connReader) Read(b []byte) (int, error) {
	if r.c.readQuota <= 0 {
		return 0, ErrHeaderTooLarge
	}
	if int64(len(b)) > r.c.readQuota {
		b = b[:r.c.readQuota]
	}
	n, err := r.c.conn.Read(b)
	r.c.readQuota -= int64(n)
	return n, err
}

// isOpen reports whether an idle connection is still open and has no unread data. A
// connection that the backend server has closed, or on which it sent data without a
// request, cannot be reused. The check does not block. Connections without a file
// descriptor count as open.
func (c *serverConn) isOpen() bool {
	sys, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		var n int
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if peekErr == nil {
			peekErr = io.EOF
			if n > 0 {
				peekErr = errUnsolicitedData
			}
		}
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}

var errUnsolicitedData = errors.New("backend server sent data without a request")
