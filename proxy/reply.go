package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/pool"
)

const (
	bufferMost  = 256 << 10 // Bytes of a response that are held before headers go out.
	bufferStart = 4 << 10
)

// reply is the response of a backend server, whole or with a rest to stream.
type reply struct {
	index  int // Among the attempts of the call.
	status int
	header http.Header
	length int64 // Announced length, -1 when none.
	body   []byte
	rest   *pool.Response // Nil when body is whole.
	most   int64          // Bytes of the body at most.
	cancel context.CancelFunc
	call   *call
	server *server
	// counted says that the attempt counts in the limit of the server.
	counted bool
	took    time.Duration
	outcome board.Outcome
	leave   func()
	closed  bool
}

// close gives back all that the reply holds.
func (p *reply) close() {
	if p.closed {
		return
	}
	p.closed = true
	if p.rest != nil {
		_ = p.rest.Close()
	}
	p.cancel()
	if p.server.end(p.counted, p.took, p.outcome) {
		p.call.service.makeRoom()
	}
	if p.leave != nil {
		p.leave()
	}
}

// read buffers the response, to its end when whole is set.
func (p *reply) read(resp *pool.Response, whole bool, most int64) error {
	p.status, p.header, p.length = resp.Status(), backendHeader(resp.Header()), resp.Length()
	p.rest, p.most = resp, most
	if p.length > most {
		return fault.New(fault.AnswerTooLarge, "%d bytes", p.length)
	}
	hold := int64(bufferMost + 1) // One more byte, so that the end is seen.
	if whole {
		hold = most + 1
	}
	size := int64(bufferStart)
	if p.length >= 0 {
		size = min(p.length+1, bufferMost+1)
	}
	p.body = make([]byte, 0, size)
	for int64(len(p.body)) < hold {
		if len(p.body) == cap(p.body) {
			p.body = slices.Grow(p.body, len(p.body))
		}
		n, err := resp.Read(p.body[len(p.body):min(int64(cap(p.body)), hold)])
		p.body = p.body[:len(p.body)+n]
		if errors.Is(err, io.EOF) {
			p.rest = nil
			break
		}
		if err != nil {
			return err
		}
	}
	if int64(len(p.body)) > most {
		return fault.New(fault.AnswerTooLarge, "more than %d bytes", most)
	}
	return nil
}

// backendHeader drops what only the fleet may tell callers.
func backendHeader(h http.Header) http.Header {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
	return h
}

// write gives the reply to the caller. Once headers are out, a response that
// cannot be completed ends with http.ErrAbortHandler, which resets the stream or
// closes the connection before the proper end.
func (p *reply) write(w http.ResponseWriter, c *call) {
	if p.rest == nil {
		p.close() // A caller that reads slowly holds no slot.
		writeWhole(w, c, p.status, p.header, p.body)
		return
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(c.deadline.Add(writeTime))
	setHeader(w.Header(), p.header, c)
	w.WriteHeader(p.status)
	if err := p.stream(w, rc); err != nil {
		c.service.count.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
	clearDeadline(rc, c)
}

const (
	streamBuffer = 32 << 10 // Bytes.
	// writeTime is what a caller has to take a response that is ready.
	writeTime = 10 * time.Second
)

func (p *reply) stream(w http.ResponseWriter, rc *http.ResponseController) error {
	total := int64(len(p.body))
	if _, err := w.Write(p.body); err != nil {
		return err
	}
	p.body = nil
	buffer := make([]byte, streamBuffer)
	for {
		n, err := p.rest.Read(buffer)
		if total += int64(n); total > p.most {
			return fault.New(fault.AnswerTooLarge, "more than %d bytes", p.most)
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

// writeWhole writes a complete response. When the caller does not take it, the
// connection is closed by the server, so an error needs no handling here.
func writeWhole(w http.ResponseWriter, c *call, status int, header http.Header, body []byte) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTime))
	setHeader(w.Header(), header, c)
	setLength(w.Header(), c.method, status, len(body))
	w.WriteHeader(status)
	if _, err := w.Write(body); err == nil {
		clearDeadline(rc, c)
	}
}

// clearDeadline makes a connection of HTTP/1 usable for the next response. With
// HTTP/2 the deadline belongs to the stream.
func clearDeadline(rc *http.ResponseController, c *call) {
	if c.proto == 1 && rc.Flush() == nil {
		_ = rc.SetWriteDeadline(time.Time{})
	}
}

func setHeader(out, in http.Header, c *call) {
	for name, values := range in {
		out[name] = values
	}
	if in["Content-Type"] == nil {
		out["Content-Type"] = nil // Otherwise the library guesses one.
	}
	out[c.handler.opts.Dialect.ID] = []string{c.id}
}

// setLength announces the length of a whole body.
func setLength(out http.Header, method string, status, length int) {
	switch {
	case status == http.StatusNoContent:
		out.Del("Content-Length")
	case method != http.MethodHead && status != http.StatusNotModified:
		out.Set("Content-Length", strconv.Itoa(length))
	}
}
