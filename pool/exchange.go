package pool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
)

const (
	inlineBody  = 16 << 10 // Bytes; a longer body is written while the response is awaited.
	interimMost = 8        // Interim responses of one exchange.
)

// Request is one request to the backend server.
type Request struct {
	Method string
	Host   string
	Target string      // Path and query.
	Header http.Header // Do changes the map, but not its values.
	Body   []byte
	ID     string // Request id of this exchange; the response must carry it.
	Echo   string // note.EchoRequired, note.EchoChecked or note.EchoOpen.
	// RequireNewConn demands a new connection. A kept one may be closed by the backend
	// server at the same moment, which leaves unknown whether the request ran.
	RequireNewConn bool
	// OnEnd takes the same sample as Options.Sample, on the goroutine that ends the
	// exchange. It is not called for one that says nothing about the server. May
	// be nil.
	OnEnd func(board.Sample)
	// AllowSend is asked immediately before the first byte is written; no byte is
	// written when it returns false. Nil means yes.
	AllowSend func() bool
}

// exchange is one request and its response.
type exchange struct {
	pool    *Pool
	ctx     context.Context
	req     *Request
	msg     *http.Request // What is written for req.
	link    *link
	wrote   chan struct{} // Closed when a long body is written; nil when written inline.
	stop    func() bool
	start   time.Time
	paused  time.Time     // Since when nobody reads the response.
	outside time.Duration // Time in which nobody read the response.
	waiter  waiter        // In the list of the pool while the exchange waits.
	reuse   bool
	ended   bool
}

// Do runs one exchange. The error is a fault: its kind says "not run" exactly
// when no byte was sent or the backend server refused before starting. The
// response must be read to its end or closed. When the context ends, the
// connection is closed.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	x := &exchange{pool: p, ctx: ctx, req: r, start: time.Now()}
	p.wait(&x.waiter, x.start, true)
	var err error
	x.link, err = p.acquire(ctx, r.RequireNewConn)
	if err != nil {
		return nil, x.unopened(err)
	}
	x.stop = context.AfterFunc(ctx, x.link.close)
	if err := x.write(); err != nil {
		return nil, err
	}
	return x.read()
}

// unopened ends an exchange that has no connection.
func (x *exchange) unopened(err error) error {
	switch {
	case fault.KindOf(err) == fault.NoServer:
		x.quit()
	case errors.Is(x.ctx.Err(), context.Canceled):
		x.end(board.Canceled)
		return fault.Wrap(fault.DeadlineShort, err, "canceled while connecting")
	default:
		x.end(board.Unreachable)
	}
	return err
}

// write sends the request. A write that fails after some bytes is no error
// here: the backend server may have responded before it read all of them.
func (x *exchange) write() error {
	msg, err := x.message()
	if err != nil {
		x.quit()
		return err
	}
	x.msg = msg
	x.link.sent.Store(0)
	if x.req.AllowSend != nil && !x.req.AllowSend() {
		x.reuse = true
		x.quit()
		return fault.New(fault.DeadlineShort, "the request was withdrawn before it was sent")
	}
	if len(x.req.Body) > inlineBody {
		x.wrote = make(chan struct{})
		go func(l *link, done chan struct{}) {
			defer close(done)
			if l.send(msg) != nil {
				l.failed.Store(true)
			}
		}(x.link, x.wrote)
		return nil
	}
	err = x.link.send(msg)
	if err == nil || x.link.sent.Load() > 0 {
		return nil
	}
	if !x.link.failed.Load() {
		x.quit()
		return fault.Wrap(fault.BadRequest, err, "request cannot be written")
	}
	return x.unsent(err)
}

// noAgent keeps the library from adding a User-Agent of its own.
var noAgent = []string{""}

func (x *exchange) message() (*http.Request, error) {
	target, err := url.ParseRequestURI(x.req.Target)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "target")
	}
	header := x.req.Header
	if header == nil {
		header = http.Header{}
	}
	removeHopByHop(header)
	dialect := x.pool.opts.Dialect
	header[dialect.ID] = []string{x.req.ID}
	if dialect.ExpectedInstanceHeader != "" && x.pool.opts.Server != "" {
		header[dialect.ExpectedInstanceHeader] = []string{x.pool.opts.Server}
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = noAgent
	}
	msg := &http.Request{
		Method: x.req.Method, URL: target, Host: x.req.Host, Header: header,
		Body: http.NoBody, ContentLength: int64(len(x.req.Body)),
	}
	if len(x.req.Body) > 0 {
		msg.Body = io.NopCloser(bytes.NewReader(x.req.Body))
	}
	return msg, nil
}

// unsent ends an exchange that wrote no byte.
func (x *exchange) unsent(err error) error {
	if x.ctx.Err() != nil {
		x.end(board.Canceled)
		return fault.Wrap(fault.DeadlineShort, err, "no byte was sent in time")
	}
	x.end(board.Unreachable)
	return fault.Wrap(fault.Unreachable, err, "no byte was sent")
}

// read reads the head of the response and decides what it is worth.
func (x *exchange) read() (*Response, error) {
	x.link.limit(x.pool.opts.Header)
	head, err := x.head() //nolint:bodyclose // Closing a body reads on; Response closes the connection.
	if err != nil {
		return nil, x.lost(err)
	}
	x.link.unlimit()
	if !x.matches(head.Header) {
		x.end(board.Mismatch)
		return nil, fault.New(fault.Mismatch, "response carries another request id")
	}
	x.reuse = !head.Close && x.written()
	x.link.promised(head.Header, time.Now())
	if outcome, ok := x.pool.opts.Dialect.RefusalOutcome(head.StatusCode, head.Header); ok {
		return nil, x.refused(head, outcome)
	}
	if x.req.Echo != note.EchoOpen && unverifiable(x.req.Method, head) {
		x.end(board.Truncated)
		return nil, fault.New(fault.Truncated, "response has neither length nor chunked framing")
	}
	removeHopByHop(head.Header)
	r := &Response{exchange: x, head: head}
	if head.Body == http.NoBody || head.ContentLength == 0 {
		r.finish()
	} else {
		x.pause()
	}
	return r, nil
}

// head reads response heads until a final one.
func (x *exchange) head() (*http.Response, error) {
	for range interimMost {
		head, err := http.ReadResponse(x.link.reader, x.msg)
		if err != nil {
			return nil, err
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols")
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

// lost ends an exchange whose response cannot be read.
func (x *exchange) lost(err error) error {
	x.link.close()
	if x.wrote != nil {
		<-x.wrote
	}
	if x.link.sent.Load() == 0 {
		return x.unsent(err)
	}
	if kind, outcome, ok := x.over(); ok {
		x.end(outcome)
		return fault.Wrap(kind, err, "response")
	}
	if errors.Is(err, errHeaderSize) {
		x.end(board.Failure)
		return fault.Wrap(fault.AnswerTooLarge, err, "response header")
	}
	x.end(board.Reset)
	return fault.Wrap(fault.Interrupted, err, "response")
}

// over returns the kind and outcome of an exchange whose context has ended.
func (x *exchange) over() (fault.Kind, board.Outcome, bool) {
	switch err := x.ctx.Err(); {
	case err == nil:
		return 0, 0, false
	case errors.Is(err, context.DeadlineExceeded):
		return fault.Timeout, board.Late, true
	default:
		return fault.Canceled, board.Canceled, true
	}
}

// matches checks the request id of the response.
func (x *exchange) matches(h http.Header) bool {
	ids := h[x.pool.opts.Dialect.ID]
	for _, id := range ids {
		if id != x.req.ID {
			return false
		}
	}
	return len(ids) > 0 || x.req.Echo != note.EchoRequired
}

// written reports whether the whole request has been written.
func (x *exchange) written() bool {
	if x.wrote != nil {
		select {
		case <-x.wrote:
		default:
			return false
		}
	}
	return !x.link.failed.Load()
}

// refused ends an exchange with a refusal. Its connection is kept when the body
// is already here: waiting for it would delay the next attempt.
func (x *exchange) refused(head *http.Response, outcome board.Outcome) error {
	here := int64(x.link.reader.Buffered())
	if head.ContentLength < 0 || head.ContentLength > here {
		x.reuse = false
	} else {
		_, _ = io.Copy(io.Discard, head.Body)
	}
	x.end(outcome)
	return fault.New(fault.ServerRefused, "%s by %s", outcome, x.pool.addr)
}

// unverifiable reports whether the end of the body cannot be told from a
// closed connection.
func unverifiable(method string, head *http.Response) bool {
	bodyless := method == http.MethodHead || head.StatusCode == http.StatusNoContent ||
		head.StatusCode == http.StatusNotModified
	return !bodyless && head.ContentLength < 0 && len(head.TransferEncoding) == 0
}

// pause notes that nobody waits for the backend server.
func (x *exchange) pause() {
	x.pool.unwait(&x.waiter, false)
	x.paused = time.Now()
}

func (x *exchange) resume() {
	now := time.Now()
	x.outside += now.Sub(x.paused)
	x.pool.wait(&x.waiter, now, false)
}

// end closes or keeps the connection and reports the outcome.
func (x *exchange) end(outcome board.Outcome) {
	if x.ended {
		return
	}
	x.quit()
	took := time.Since(x.start) - x.outside
	s := board.Sample{
		Service: x.pool.opts.Service, Server: x.pool.addr,
		Start: x.start, Took: took, Outcome: outcome,
	}
	x.pool.opts.Sample(s)
	if x.req.OnEnd != nil {
		x.req.OnEnd(s)
	}
}

// quit ends an exchange without a sample: it says nothing about the server.
func (x *exchange) quit() {
	x.ended = true
	x.pool.unwait(&x.waiter, true)
	if x.link == nil {
		return
	}
	// A connection with bytes after the response cannot be told from one that
	// carries the response to another request.
	if x.reuse && x.stop() && x.link.reader.Buffered() == 0 {
		x.pool.keep(x.link)
		return
	}
	x.stop()
	x.pool.drop(x.link)
}
