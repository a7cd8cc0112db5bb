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

// Buffers of a connection, in bytes.
const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

var errHeaderSize = errors.New("response header is too large")

// link is one connection with what is known of its current exchange.
type link struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time // Idle since.
	until  time.Time // When the backend server may close it; zero when not said.
	room   int64     // Bytes that may still be read, while a header is read.
	sent   atomic.Int64
	failed atomic.Bool // A write failed.
}

// newLink returns a link that takes over the buffers of another one, which may be
// nil. That one must have been idle: its last exchange has ended, so nothing reads
// or writes its buffers any more.
func newLink(conn net.Conn, idle *link) *link {
	l := &link{conn: conn}
	if idle != nil {
		l.reader, l.writer = idle.reader, idle.writer
		l.reader.Reset(readSide{l})
		l.writer.Reset(l)
		return l
	}
	l.reader = bufio.NewReaderSize(readSide{l}, readBuffer)
	l.writer = bufio.NewWriterSize(l, writeBuffer)
	return l
}

// Write counts what reached the operating system, so that "no byte was sent"
// is known after a failure.
func (l *link) Write(b []byte) (int, error) {
	n, err := l.conn.Write(b)
	l.sent.Add(int64(n))
	if err != nil {
		l.failed.Store(true)
	}
	return n, err
}

// send writes a request. A request that cannot be written leaves bytes in the
// buffer, so its connection must not be kept.
func (l *link) send(r *http.Request) error {
	if err := r.Write(l.writer); err != nil {
		return err
	}
	return l.writer.Flush()
}

// idleMargin is how long before the stated end of a kept connection it is no
// longer used: a request that meets the close has an unknown outcome. The stated
// time is in whole seconds, cut off.
const idleMargin = 500 * time.Millisecond

// promised notes until when the backend server keeps the connection open. A time
// of 0 s means less than one second.
func (l *link) promised(h http.Header, now time.Time) {
	l.until = time.Time{}
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31); err == nil {
			l.until = now.Add(time.Duration(seconds)*time.Second - idleMargin)
		}
	}
}

// expired reports whether the backend server may close the connection about now.
func (l *link) expired(now time.Time) bool { return !l.until.IsZero() && now.After(l.until) }

func (l *link) close() { _ = l.conn.Close() }

// limit bounds what may be read until unlimit. The buffer may read ahead of the
// header, so its size is added.
func (l *link) limit(n int64) { l.room = n + readBuffer }

func (l *link) unlimit() { l.room = math.MaxInt64 }

// readSide is the reading half of a link below its buffer.
type readSide struct{ l *link }

func (r readSide) Read(b []byte) (int, error) {
	if r.l.room <= 0 {
		return 0, errHeaderSize
	}
	if int64(len(b)) > r.l.room {
		b = b[:r.l.room]
	}
	n, err := r.l.conn.Read(b)
	r.l.room -= int64(n)
	return n, err
}

// alive reports whether an idle connection is still open with nothing to read.
// A backend server that closed it, or sent bytes that nobody asked for, makes
// it unusable. The check does not block; connections without a file descriptor
// count as alive.
func (l *link) alive() bool {
	sys, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var peek error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		var n int
		n, _, peek = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if peek == nil {
			peek = io.EOF
			if n > 0 {
				peek = errUnasked
			}
		}
		return true
	})
	return err == nil && errors.Is(peek, syscall.EAGAIN)
}

var errUnasked = errors.New("bytes without a request")
