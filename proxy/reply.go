package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/pool"
)

const (
	maxBufferedBytes   = 256 << 10 // Bytes of a response buffered before its headers are sent.
	initialBufferBytes = 4 << 10
)

// bufferMode says how much of a response is buffered before any of it is passed on.
type bufferMode int

const (
	// bufferStart buffers up to maxBufferedBytes, and less when memory is short.
	bufferStart bufferMode = iota
	// bufferUnframed buffers a response of unknown length to its end.
	bufferUnframed
	// bufferWhole buffers the response to its end.
	bufferWhole
)

// response is the response of a backend server, either fully buffered or with a
// remainder to stream.
type response struct {
	index     int // Of the attempt within the call.
	status    int
	header    http.Header
	length    int64 // Content-Length, -1 when absent.
	body      []byte
	hold      memory.Hold    // Of body.
	remainder *pool.Response // Nil when body is complete.
	maxBytes  int64          // Limit on the size of the body.
	cancel    context.CancelFunc
	call      *call
	server    *server
	// counted is set when the attempt counts towards the concurrency limit of server.
	counted bool
	took    time.Duration
	outcome board.Outcome
	release func()
	closed  bool
	writing bool // The body is being written after close.
}

// close releases the connection, the concurrency slot and the queue slot of the
// response. Further calls do nothing.
func (r *response) close() {
	if r.closed {
		return
	}
	r.closed = true
	if r.remainder != nil {
		_ = r.remainder.Close()
	}
	r.cancel()
	if r.server.endAttempt(r.counted, r.took, r.outcome) {
		r.call.service.updateMaxRunning()
	}
	if r.release != nil {
		r.release()
	}
	if !r.writing {
		r.hold.Release()
	}
}

// read buffers the start of resp, or all of it, as mode says. It fails with AnswerTooLarge when
// the body is known to exceed maxBytes, or all of it is needed and memory is short.
func (r *response) read(resp *pool.Response, mode bufferMode, maxBytes int64) error {
	r.status, r.header, r.length = resp.Status(), removeFleetFields(resp.Header()), resp.Length()
	r.remainder, r.maxBytes = resp, maxBytes
	if r.length > maxBytes {
		return fault.New(fault.AnswerTooLarge, "%d bytes", r.length)
	}
	needsWhole := mode == bufferWhole || mode == bufferUnframed && r.length < 0
	bufferLimit := int64(maxBufferedBytes + 1) // The extra byte lets a body of exactly that size reach EOF.
	if needsWhole {
		bufferLimit = maxBytes + 1
	}
	size := int64(initialBufferBytes)
	if r.length >= 0 {
		size = min(r.length+1, maxBufferedBytes+1)
	}
	for r.growBody(size) {
		n, err := resp.Read(r.body[len(r.body):cap(r.body)])
		r.body = r.body[:len(r.body)+n]
		if errors.Is(err, io.EOF) {
			r.remainder = nil
			return r.checkSize()
		}
		if err != nil {
			return err
		}
		if int64(len(r.body)) >= bufferLimit {
			return r.checkSize()
		}
		size = min(2*int64(cap(r.body)), bufferLimit)
	}
	if needsWhole {
		return fault.New(fault.AnswerTooLarge, "no memory left after %d bytes", len(r.body))
	}
	return nil
}

// growBody gives a body without room a capacity of size. It reports false when there is no memory
// for that.
func (r *response) growBody(size int64) bool {
	used := int64(cap(r.body))
	if int64(len(r.body)) < used {
		return true
	}
	if !r.hold.Grow(size) {
		return false
	}
	grown := make([]byte, len(r.body), size)
	copy(grown, r.body)
	r.body = grown
	r.hold.Shrink(used)
	return true
}

func (r *response) checkSize() error {
	if int64(len(r.body)) > r.maxBytes {
		return fault.New(fault.AnswerTooLarge, "more than %d bytes", r.maxBytes)
	}
	return nil
}

// removeFleetFields deletes the fields that only the fleet itself may set for callers.
func removeFleetFields(h http.Header) http.Header {
	for name := range h {
		if strings.HasPrefix(name, fleetHeaderPrefix) {
			delete(h, name)
		}
	}
	return h
}

// write sends the response to the caller. If the response fails after its headers
// were sent, write panics with http.ErrAbortHandler, which resets the stream or
// closes the connection, so that the caller sees an incomplete response.
func (r *response) write(w http.ResponseWriter, c *call) {
	if r.remainder == nil {
		r.writing = true
		defer r.hold.Release()
		r.close() // A slow caller must not occupy a slot of the server.
		writeComplete(w, c, r.status, r.header, r.body)
		return
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(c.deadline.Add(responseWriteTimeout))
	copyHeader(w.Header(), r.header, c)
	w.WriteHeader(r.status)
	if err := r.stream(w, rc); err != nil {
		c.service.counters.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
	clearWriteDeadline(rc, c)
}

const (
	streamBufferBytes = 32 << 10 // Bytes.
	// responseWriteTimeout is how long a caller may take to read a buffered response,
	// and a streamed one beyond the deadline of the call.
	responseWriteTimeout = 10 * time.Second
)

func (r *response) stream(w http.ResponseWriter, rc *http.ResponseController) error {
	total := int64(len(r.body))
	if _, err := w.Write(r.body); err != nil {
		return err
	}
	r.body = nil
	r.hold.Release()
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := r.remainder.Read(buffer)
		if total += int64(n); total > r.maxBytes {
			return fault.New(fault.AnswerTooLarge, "more than %d bytes", r.maxBytes)
		}
		if _, failed := w.Write(buffer[:n]); failed != nil {
			return failed
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		_ = rc.Flush()
	}
}

// writeComplete writes a fully buffered response. After a failed write net/http
// closes the connection, so the error needs no handling here.
func writeComplete(w http.ResponseWriter, c *call, status int, header http.Header, body []byte) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	copyHeader(w.Header(), header, c)
	setContentLength(w.Header(), c.method, status, len(body))
	w.WriteHeader(status)
	if _, err := w.Write(body); err == nil {
		clearWriteDeadline(rc, c)
	}
}

// clearWriteDeadline resets the write deadline of an HTTP/1 connection, which would
// otherwise apply to the next response. With HTTP/2 the deadline belongs to the
// stream.
func clearWriteDeadline(rc *http.ResponseController, c *call) {
	if c.proto == 1 && rc.Flush() == nil {
		_ = rc.SetWriteDeadline(time.Time{})
	}
}

func copyHeader(out, in http.Header, c *call) {
	for name, values := range in {
		out[name] = values
	}
	if in["Content-Type"] == nil {
		out["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	out[c.handler.opts.Dialect.ID] = []string{c.id}
}

// setContentLength sets the Content-Length of a fully buffered body, where the method
// and the status allow one.
func setContentLength(out http.Header, method string, status, length int) {
	switch {
	case status == http.StatusNoContent:
		out.Del("Content-Length")
	case method != http.MethodHead && status != http.StatusNotModified:
		out.Set("Content-Length", strconv.Itoa(length))
	}
}
