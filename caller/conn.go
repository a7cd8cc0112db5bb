package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/limit"
)

// conn is one connection of a caller. One goroutine reads the requests; each request
// runs on a goroutine of its own.
type conn struct {
	server       *Server
	net          net.Conn
	ctx          context.Context    // Parent of the contexts of requests; ends with the server or the connection.
	disconnected context.Context    // Ends when the caller disconnects or the connection is aborted.
	disconnect   context.CancelFunc // Ends disconnected.
	limited      *limitedReader
	reader       *bufio.Reader
	writer       *bufio.Writer
	openedAt     time.Time     // When the connection was accepted.
	lastDone     chan struct{} // Closed when the response to the newest request has been written.
	requestSlots chan struct{} // Holds an element for each running request.

	mu       sync.Mutex
	inflight int  // Requests that were read and whose response is not complete.
	reading  bool // A request is being read.
	used     bool // The first byte of a request has arrived.
	closing  bool // No further request is run.
	// interrupted is set when the server ends. What is being read then is not waited for.
	interrupted bool
}

var errHeaderTooLarge = errors.New("request header is too large")

// limitedReader bounds the bytes that are read for a request header. It records read
// errors of the connection.
type limitedReader struct {
	conn      net.Conn
	remaining int   // Bytes that may still be read; negative for no limit.
	err       error // Last read error of the connection.
}

func (r *limitedReader) Read(b []byte) (int, error) {
	if r.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if r.remaining > 0 && len(b) > r.remaining {
		b = b[:r.remaining]
	}
	n, err := r.conn.Read(b)
	if r.remaining > 0 {
		r.remaining -= n
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.disconnect()
	for c.awaitRequest() {
		r, err := c.readRequest()
		if err != nil {
			c.refuse(c.endReading(err))
			break
		}
		if !c.dispatch(r) || r.Close {
			break
		}
	}
	c.watchRunning()
	c.drainAndClose()
}

// interruptReading ends the reading of a request, as the server ends.
func (c *conn) interruptReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	if c.reading {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// endReading records that a request could not be read, and returns the reason to tell the caller.
func (c *conn) endReading(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.interrupted {
		return fault.New(fault.Stopping, "the VM ends before it has read the request")
	}
	return err
}

// watchRunning discards what the caller sends while its last requests run, so that its
// disconnect still cancels them.
func (c *conn) watchRunning() {
	c.limited.remaining = -1
	c.mu.Lock()
	c.closing = true
	running := c.inflight > 0
	if running {
		_ = c.net.SetReadDeadline(time.Time{}) // requestFinished ends the read.
	}
	c.mu.Unlock()
	if !running {
		return
	}
	_, err := io.Copy(io.Discard, c.reader)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		c.cancelAbandoned()
	}
}

// awaitRequest waits for the first byte of the next request. It reports false when no
// further request is to be read. When the caller closes its connection, its requests
// are canceled.
func (c *conn) awaitRequest() bool {
	c.limited.remaining = -1
	c.resetIdleDeadline()
	_, err := c.reader.Peek(1)
	for err != nil {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			c.cancelAbandoned()
			return false
		}
		if !c.awaitsResponse() {
			return false
		}
		c.resetIdleDeadline()
		_, err = c.reader.Peek(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.used = true, true
	return !c.closing
}

// cancelAbandoned cancels the requests of a caller that has disconnected before it got
// its responses.
func (c *conn) cancelAbandoned() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inflight > 0 && c.disconnected.Err() == nil {
		c.server.count.abandoned.Inc()
		c.disconnect()
	}
}

// awaitsResponse reports whether the caller is waiting for a response, in which case the
// connection is not idle.
func (c *conn) awaitsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inflight > 0 && !c.closing
}

// resetIdleDeadline restarts the idle timeout of the connection. requestFinished restarts
// it again when no request is running any more.
func (c *conn) resetIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetIdleDeadlineLocked()
}

// resetIdleDeadlineLocked is resetIdleDeadline with c.mu held.
func (c *conn) resetIdleDeadlineLocked() { c.limitReadingLocked(c.server.Limits().IdleTime) }

// limitReading sets a time limit for reads, unless no further request is to be read.
func (c *conn) limitReading(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitReadingLocked(limit)
}

// limitReadingLocked is limitReading with c.mu held.
func (c *conn) limitReadingLocked(limit time.Duration) {
	if !c.closing && !c.interrupted {
		_ = c.net.SetReadDeadline(time.Now().Add(limit))
	}
}

// readRequest reads one request with its body.
func (c *conn) readRequest() (*http.Request, error) {
	limits := c.server.Limits()
	c.limited.err = nil
	c.limited.remaining = limits.HeaderBytes + readBufferBytes // The buffer may read past the end of the header.
	c.limitReading(limits.ReadTime)
	r, err := http.ReadRequest(c.reader)
	if err != nil && c.limited.err != nil {
		// When the connection ends within the request line, http.ReadRequest returns an
		// error for a malformed request.
		return nil, c.limited.err
	}
	if err != nil {
		return nil, headerFault(err)
	}
	c.limited.remaining = -1
	r.RemoteAddr = c.net.RemoteAddr().String()
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return nil, fault.New(fault.BadRequest, "Host header is missing")
	}
	if err := c.readBody(r, limits.BodyBytes); err != nil {
		return nil, err
	}
	return r, nil
}

// headerFault returns the fault for a request header that cannot be read.
func headerFault(err error) error {
	if errors.Is(err, errHeaderTooLarge) {
		return fault.Wrap(fault.HeaderTooLarge, err, "read request header")
	}
	return fault.Wrap(fault.BadRequest, err, "read request header")
}

// readBody reads the body of r into memory, so that the request can run while the next
// one is read. A body for which there is no room is not read: the handler then finds the reason in
// its place, and the connection ends with the response.
func (c *conn) readBody(r *http.Request, maxBytes int64) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > maxBytes {
		return fault.New(fault.BodyTooLarge, "Content-Length is %d bytes", r.ContentLength)
	}
	hold, err := c.admit(r)
	if err != nil {
		r.Body, r.Close = memory.NotRead(err), true
		return nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if err := c.sendContinue(); err != nil {
			return err
		}
	}
	c.limitReading(bodyReadTimeout)
	body, err := memory.ReadBody(c.ctx, r.Body, r.ContentLength, maxBytes, hold)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return fault.Wrap(fault.BodyTimeout, err, "read request body")
	case fault.KindOf(err) == fault.MemoryFull:
		r.Body, r.Close = memory.NotRead(err), true
		return nil
	case err != nil:
		return err
	}
	data, _ := body.Bytes()
	r.Body, r.ContentLength, r.TransferEncoding = body, int64(len(data)), nil
	return nil
}

// admit returns the hold for the body of r. That of a small one needs no decision.
func (c *conn) admit(r *http.Request) (memory.Hold, error) {
	if r.ContentLength >= 0 && r.ContentLength <= memory.SmallBytes {
		return c.server.memory.Hold(memory.Bodies, "", limit.Normal), nil
	}
	return c.server.Admit(r)
}

// sendContinue sends an interim response with status 100, after the responses to earlier
// requests, so that the caller sends the request body.
func (c *conn) sendContinue() error {
	select {
	case <-c.lastDone:
	case <-c.disconnected.Done():
		return c.disconnected.Err()
	}
	if _, err := c.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return c.writer.Flush()
}

// dispatch starts a request. It reports false when no further request of the connection
// is to be read. A request that arrives after a response with "Connection: close" is not
// run; the caller has to retry it on another connection.
func (c *conn) dispatch(r *http.Request) bool {
	select {
	case c.requestSlots <- struct{}{}:
	case <-c.disconnected.Done():
		releaseBody(r)
		return false
	}
	c.mu.Lock()
	c.reading = false
	if c.closing {
		c.mu.Unlock()
		releaseBody(r)
		return false
	}
	if c.inflight > 0 {
		c.server.count.pipelined.Inc()
	}
	c.inflight++
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(c.ctx)
	w := &response{
		conn: c, request: r.WithContext(ctx), header: http.Header{},
		previousDone: c.lastDone, done: make(chan struct{}),
	}
	c.lastDone = w.done
	go func() {
		defer cancel()
		w.run()
		releaseBody(r)
		<-c.requestSlots
	}()
	return true
}

// releaseBody gives back the memory of the body of r.
func releaseBody(r *http.Request) {
	if body, ok := r.Body.(*memory.Body); ok {
		body.Release()
	}
}

// requestFinished records that a request has ended.
func (c *conn) requestFinished() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inflight--
	switch {
	case c.inflight > 0:
	case c.closing:
		c.stopReadingLocked()
	case !c.reading:
		c.resetIdleDeadlineLocked()
	}
}

// decideClose decides whether the connection ends with the response that is about to be
// written. requested is set when the request asks for it. With keep-alives disabled it stops
// reading requests, as a caller that always sends the next one early would otherwise never be
// told to leave; the connection then ends with the response to the last request that was read.
func (c *conn) decideClose(requested bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if requested || c.server.keepAlivesDisabled.Load() {
		c.stopReadingLocked()
	}
	return c.closing && c.inflight == 1
}

// stopReadingLocked stops the reading of requests, so that no further request is run.
// c.mu must be held.
func (c *conn) stopReadingLocked() {
	c.closing = true
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // A deadline in the past ends a blocked read.
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// stopReading is stopReadingLocked without c.mu held.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReadingLocked()
}

// firstRequestWait is how long a connection may take until its first request arrives before
// a shutdown takes it for idle. Callers open a connection when they have a request to send.
const firstRequestWait = 500 * time.Millisecond

// closeIdle ends the connection when no request is running, being read or about to come.
func (c *conn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	expected := !c.used && now.Sub(c.openedAt) < firstRequestWait
	if c.inflight == 0 && !c.reading && !c.closing && !expected {
		c.stopReadingLocked()
	}
}

// abort closes the connection without completing the responses, because a truncated
// response must not look complete.
func (c *conn) abort() {
	c.stopReading()
	_ = c.net.Close()
	c.disconnect()
}

// refuse responds with the fault of a request that cannot be read, after the responses
// to earlier requests, and ends the connection. An error that is not a fault means that
// the caller has disconnected. A request whose reading the end of the connection has interrupted
// gets no response, as the caller learns of that end from an earlier one.
func (c *conn) refuse(err error) {
	if c.isClosing() {
		return
	}
	if fault.KindOf(err) == fault.Internal {
		c.disconnect()
		return
	}
	c.server.count.malformed.Inc()
	select {
	case <-c.lastDone:
	case <-c.disconnected.Done():
		return
	}
	r := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	c.mu.Lock()
	c.inflight++
	c.mu.Unlock()
	w := &response{conn: c, request: r.WithContext(c.ctx), header: http.Header{}, previousDone: closedChan, done: make(chan struct{})}
	fault.WriteResponse(w, err, "")
	w.finish()
}

// drainAndClose waits for the outstanding responses and closes the connection. It closes
// the write side first and discards what the caller still sends: closing a connection
// with unread bytes resets it, which can destroy a response in transit.
func (c *conn) drainAndClose() {
	<-c.lastDone
	if tcp, ok := c.net.(interface{ CloseWrite() error }); ok && c.disconnected.Err() == nil && tcp.CloseWrite() == nil {
		_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.net)
	}
	_ = c.net.Close()
}
