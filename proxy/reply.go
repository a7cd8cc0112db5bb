package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/idem"
	"github.com/azuredeal/azuredeal/pick"
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
	target *pick.Target
	leave  func()
	closed bool
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
	p.target.End()
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
	hold := int64(bufferMost)
	if whole {
		hold = most + 1
	}
	size := int64(bufferStart)
	if p.length >= 0 {
		size = min(p.length+1, bufferMost)
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
	delete(h, fault.HeaderID)
	return h
}

// write gives the reply to the caller. Once headers are out, a response that
// cannot be completed ends with http.ErrAbortHandler, which resets the stream or
// closes the connection before the proper end.
func (p *reply) write(w http.ResponseWriter, c *call) error {
	setHeader(w.Header(), p.header, c.id)
	if p.rest == nil {
		setLength(w.Header(), c.method, p.status, len(p.body))
		w.WriteHeader(p.status)
		_, _ = w.Write(p.body)
		return nil
	}
	w.WriteHeader(p.status)
	if err := p.stream(w); err != nil {
		c.service.count.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
	return nil
}

const streamBuffer = 32 << 10 // Bytes.

func (p *reply) stream(w http.ResponseWriter) error {
	total := int64(len(p.body))
	if _, err := w.Write(p.body); err != nil {
		return err
	}
	p.body = nil
	rc := http.NewResponseController(w)
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

func writeAnswer(w http.ResponseWriter, c *call, a *idem.Answer) {
	setHeader(w.Header(), a.Header(), c.id)
	setLength(w.Header(), c.method, a.Status(), len(a.Body()))
	w.WriteHeader(a.Status())
	_, _ = w.Write(a.Body())
}

func setHeader(out, in http.Header, id string) {
	for name, values := range in {
		out[name] = values
	}
	if in["Content-Type"] == nil {
		out["Content-Type"] = nil // Otherwise the library guesses one.
	}
	out.Set(fault.HeaderID, id)
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
