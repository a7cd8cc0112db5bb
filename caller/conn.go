package caller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/fault"
)

// conn is one connection of a caller. One goroutine reads requests; each request
// runs on a goroutine of its own.
type conn struct {
	server  *Server
	net     net.Conn
	ctx     context.Context    // Of all requests; ends with the server or the connection.
	gone    context.Context    // Ends when the caller has left or the connection is broken off.
	cancel  context.CancelFunc // Ends gone.
	limited *limitedReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	last    chan struct{} // Closed when the newest request has been answered.
	slots   chan struct{} // A token for each request that runs.

	mu      sync.Mutex
	running int  // Requests that were read and not answered.
	busy    bool // A request is being read.
	closing bool // No further request is run.
}

var errHeaderSize = errors.New("request header is too large")

// limitedReader bounds the bytes of a request header.
type limitedReader struct {
	conn net.Conn
	left int   // Bytes; negative for no bound.
	err  error // Of the connection, once it has ended.
}

func (r *limitedReader) Read(b []byte) (int, error) {
	if r.left == 0 {
		return 0, errHeaderSize
	}
	if r.left > 0 && len(b) > r.left {
		b = b[:r.left]
	}
	n, err := r.conn.Read(b)
	if r.left > 0 {
		r.left -= n
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.cancel()
	for c.await() {
		r, err := c.read()
		if err != nil {
			c.refuse(err)
			break
		}
		if !c.dispatch(r) {
			break
		}
	}
	c.finish()
}

// await waits for the first byte of the next request. It reports false when there
// will be none. A caller that closes its connection has given up what it asked
// for, so its requests end.
func (c *conn) await() bool {
	c.limited.left = -1
	c.idleDeadline()
	_, err := c.reader.Peek(1)
	for err != nil {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			c.abandon()
			return false
		}
		if !c.isWaiting() {
			return false
		}
		c.idleDeadline()
		_, err = c.reader.Peek(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return !c.closing
}

// abandon ends the requests of a caller that has left.
func (c *conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running > 0 {
		c.server.count.abandoned.Inc()
		c.cancel()
	}
}

// isWaiting reports whether the caller waits for a response, so that the
// connection is not idle.
func (c *conn) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running > 0 && !c.closing
}

// idleDeadline lets the connection be idle for the limit, counted from now. While
// requests run it is counted again when they have been answered.
func (c *conn) idleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armIdle()
}

// armIdle is idleDeadline for callers that hold the lock.
func (c *conn) armIdle() {
	if !c.closing {
		_ = c.net.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTime))
	}
}

// read reads one request with its body.
func (c *conn) read() (*http.Request, error) {
	limits := c.server.Limits()
	c.limited.err = nil
	c.limited.left = limits.HeaderBytes + readBuffer // The buffer may read ahead of the header.
	_ = c.net.SetReadDeadline(time.Now().Add(limits.ReadTime))
	r, err := http.ReadRequest(c.reader)
	if err != nil && c.limited.err != nil {
		// The library takes a request line that ends with the connection for malformed.
		return nil, c.limited.err
	}
	if err != nil {
		return nil, headerFault(err)
	}
	c.limited.left = -1
	r.RemoteAddr = c.net.RemoteAddr().String()
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return nil, fault.New(fault.BadRequest, "no host")
	}
	if err := c.readBody(r, limits.BodyBytes); err != nil {
		return nil, err
	}
	return r, nil
}

// headerFault returns the fault for a header that could not be read.
func headerFault(err error) error {
	if errors.Is(err, errHeaderSize) {
		return fault.Wrap(fault.HeaderTooLarge, err, "request header")
	}
	return fault.Wrap(fault.BadRequest, err, "request header")
}

// readBody replaces the body of r by one that is in memory. The request can then
// run while the next one is read.
func (c *conn) readBody(r *http.Request, most int64) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > most {
		return fault.New(fault.BodyTooLarge, "%d bytes", r.ContentLength)
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if err := c.invite(); err != nil {
			return err
		}
	}
	_ = c.net.SetReadDeadline(time.Now().Add(bodyTime))
	body := r.Body
	var buffer bytes.Buffer
	n, err := io.Copy(&buffer, io.LimitReader(body, most+1))
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return fault.Wrap(fault.BodyTimeout, err, "request body")
	case err != nil:
		return err
	case n > most:
		return fault.New(fault.BodyTooLarge, "more than %d bytes", most)
	}
	_ = body.Close()
	r.Body = io.NopCloser(&buffer)
	r.ContentLength, r.TransferEncoding = n, nil
	return nil
}

// invite asks the caller to send the body that it has announced, after the
// responses that are due.
func (c *conn) invite() error {
	select {
	case <-c.last:
	case <-c.gone.Done():
		return c.gone.Err()
	}
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}

// dispatch starts a request. It reports false when no further request follows on
// the connection. A request that comes after the last response has been agreed on
// is not run; its caller sends it again elsewhere.
func (c *conn) dispatch(r *http.Request) bool {
	select {
	case c.slots <- struct{}{}:
	case <-c.gone.Done():
		return false
	}
	c.mu.Lock()
	c.busy = false
	if c.closing {
		c.mu.Unlock()
		return false
	}
	if c.running > 0 {
		c.server.count.pipelined.Inc()
	}
	c.running++
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(c.ctx)
	w := &response{
		conn: c, request: r.WithContext(ctx), header: http.Header{},
		turn: c.last, done: make(chan struct{}),
	}
	c.last = w.done
	go func() {
		defer cancel()
		w.run()
		<-c.slots
	}()
	return true
}

// answered notes that a request has been answered.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if c.running == 0 && !c.busy {
		c.armIdle()
	}
}

// isLast decides whether the response that is about to be written is the last
// one of the connection. wanted is set when the request asks for it.
func (c *conn) isLast(wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running > 1 && !wanted {
		return false
	}
	if wanted || c.server.leaving.Load() {
		c.end()
	}
	return c.closing
}

// end lets no further request run and stops the reading. The lock is held.
func (c *conn) end() {
	c.closing = true
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // The past: a read that waits ends now.
}

// stop is end for callers that do not hold the lock.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// closeIdle ends the connection when no request runs or is being read.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == 0 && !c.busy && !c.closing {
		c.end()
	}
}

// abort breaks the connection off: a response that cannot be completed must not
// look whole.
func (c *conn) abort() {
	c.stop()
	_ = c.net.Close()
	c.cancel()
}

// refuse answers a request that could not be read, after the responses that are
// due, and ends the connection. Errors other than faults mean that the caller has
// left.
func (c *conn) refuse(err error) {
	if fault.KindOf(err) == fault.Internal {
		c.cancel()
		return
	}
	c.server.count.malformed.Inc()
	select {
	case <-c.last:
	case <-c.gone.Done():
		return
	}
	r := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	c.mu.Lock()
	c.running++
	c.mu.Unlock()
	w := &response{conn: c, request: r.WithContext(c.ctx), header: http.Header{}, turn: closedChan, done: make(chan struct{})}
	fault.WriteResponse(w, err, "")
	w.finish()
}

// finish waits for the responses that are due and closes the connection. The
// write side is closed first: closing a connection with unread bytes resets it,
// which can destroy a response on its way.
func (c *conn) finish() {
	<-c.last
	if tcp, ok := c.net.(interface{ CloseWrite() error }); ok && c.gone.Err() == nil && tcp.CloseWrite() == nil {
		_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.net)
	}
	_ = c.net.Close()
}
