package pool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
)

const (
	maxInlineBodyBytes  = 16 << 10 // Longer bodies are written on a goroutine while the response is read.
	maxInterimResponses = 8        // 1xx responses that are accepted in one exchange.
)

// Request is one request to the backend server.
type Request struct {
	Method string
	Host   string
	Target string      // Path and query.
	Header http.Header // Do changes the map, but not the values in it.
	Body   []byte
	ID     string // Request id of this exchange, which a response echoes.
	Echo   string // note.EchoRequired, note.EchoChecked or note.EchoOpen.
	// RequireNewConn makes the exchange use a new connection. The backend server may
	// close an idle one just as the request is sent, which leaves unknown whether the
	// request ran.
	RequireNewConn bool
	// OnEnd receives the same sample as Options.Sample, on the goroutine that ends the
	// exchange. It is not called for an exchange that tells nothing about the backend
	// server. May be nil.
	OnEnd func(board.Sample)
	// AllowSend is called immediately before the first byte is written. When it returns
	// false, no byte is written. Nil allows the exchange.
	AllowSend func() bool
}

// exchange is the state of one request and its response.
type exchange struct {
	pool             *Pool
	ctx              context.Context
	req              *Request
	httpReq          *http.Request // The HTTP request that is sent for req.
	serverConn       *serverConn
	bodyWritten      chan struct{} // Closed when a body above maxInlineBodyBytes is written; nil when written inline.
	stopContextWatch func() bool   // Keeps the end of ctx from closing the connection; false when it has.
	start            time.Time
	pausedAt         time.Time     // When the reader of the response last stopped reading.
	pausedTotal      time.Duration // Total time in which the response was not being read.
	waiter           waiter        // In Pool.waiting while the exchange waits for the backend server.
	keepConn         bool          // The connection may be reused after the exchange.
	ended            bool
}

// Do runs one exchange. The error is a fault whose kind says that the request did not
// run exactly when no byte was sent or the backend server refused before starting. The
// response must be read to its end or closed. When ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	x := &exchange{pool: p, ctx: ctx, req: r, start: time.Now()}
	p.beginWait(&x.waiter, x.start, true)
	var err error
	x.serverConn, err = p.acquire(ctx, r.RequireNewConn)
	if err != nil {
		return nil, x.failConnect(err)
	}
	x.stopContextWatch = context.AfterFunc(ctx, x.serverConn.close)
	if err := x.write(); err != nil {
		return nil, err
	}
	return x.read()
}

// failConnect ends an exchange that got no connection and returns its fault.
func (x *exchange) failConnect(err error) error {
	switch {
	case fault.KindOf(err) == fault.NoServer:
		x.endWithoutSample()
	case errors.Is(x.ctx.Err(), context.Canceled):
		x.end(board.Canceled)
		return fault.Wrap(fault.DeadlineShort, err, "canceled while connecting")
	default:
		x.end(board.Unreachable)
	}
	return err
}

// write sends the request. A write that fails after some bytes were sent is not an
// error here, because the backend server may respond before it has read the whole
// request.
func (x *exchange) write() error {
	httpReq, err := x.newHTTPRequest()
	if err != nil {
		x.endWithoutSample()
		return err
	}
	x.httpReq = httpReq
	x.serverConn.sentBytes.Store(0)
	if x.req.AllowSend != nil && !x.req.AllowSend() {
		x.keepConn = true
		x.endWithoutSample()
		return fault.New(fault.DeadlineShort, "the request was withdrawn before it was sent")
	}
	if len(x.req.Body) > maxInlineBodyBytes {
		x.bodyWritten = make(chan struct{})
		go func(c *serverConn, done chan struct{}) {
			defer close(done)
			if c.send(httpReq) != nil {
				c.writeFailed.Store(true)
			}
		}(x.serverConn, x.bodyWritten)
		return nil
	}
	err = x.serverConn.send(httpReq)
	if err == nil || x.serverConn.sentBytes.Load() > 0 {
		return nil
	}
	if !x.serverConn.writeFailed.Load() {
		x.endWithoutSample()
		return fault.Wrap(fault.BadRequest, err, "request cannot be written")
	}
	return x.failUnsent(err)
}

// noUserAgent keeps net/http from adding a User-Agent of its own.
var noUserAgent = []string{""}

func (x *exchange) newHTTPRequest() (*http.Request, error) {
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
		header["User-Agent"] = noUserAgent
	}
	httpReq := &http.Request{
		Method: x.req.Method, URL: target, Host: x.req.Host, Header: header,
		Body: http.NoBody, ContentLength: int64(len(x.req.Body)),
	}
	if len(x.req.Body) > 0 {
		httpReq.Body = io.NopCloser(bytes.NewReader(x.req.Body))
	}
	return httpReq, nil
}

// failUnsent ends an exchange that sent no byte and returns its fault.
func (x *exchange) failUnsent(err error) error {
	if x.ctx.Err() != nil {
		x.end(board.Canceled)
		return fault.Wrap(fault.DeadlineShort, err, "no byte was sent in time")
	}
	x.end(board.Unreachable)
	return fault.Wrap(fault.Unreachable, err, "no byte was sent")
}

// read reads the head of the response, verifies it and decides whether the connection
// can be reused.
func (x *exchange) read() (*Response, error) {
	x.serverConn.limitReads(x.pool.opts.Header)
	head, err := x.head() //nolint:bodyclose // Closing a body reads the rest of it; Response closes the connection instead.
	if err != nil {
		return nil, x.failRead(err)
	}
	x.serverConn.unlimitReads()
	if err := x.checkOrigin(head); err != nil {
		x.end(board.Mismatch)
		return nil, err
	}
	x.keepConn = !head.Close && x.requestWritten()
	x.serverConn.recordKeepAlive(head.Header, time.Now())
	x.reportRate(head)
	if stated := x.pool.opts.Dialect.stated(head.StatusCode, head.Header); stated != (Stated{}) {
		x.pool.opts.Stated(stated)
	}
	if outcome, ok := x.pool.opts.Dialect.RefusalOutcome(head.StatusCode, head.Header); ok {
		if x.serverConn.wasUsed() && !x.hasRequestID(head.Header) {
			// It may be an earlier refusal that was sent once more.
			x.keepConn = false
			x.end(board.Mismatch)
			return nil, fault.New(fault.Mismatch, "refusal without a request id on a connection that was used before")
		}
		return nil, x.failRefused(head, outcome)
	}
	if x.req.Echo != note.EchoOpen && !x.pool.opts.Dialect.Unframed && hasUnframedBody(x.req.Method, head) {
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

// reportRate passes on what the response says of the request rate that the backend server
// accepts.
func (x *exchange) reportRate(head *http.Response) {
	opts := x.pool.opts
	if rate, ok := opts.Dialect.statedRate(head.StatusCode, head.Header); ok {
		opts.StatedRate(board.StatedRate{
			Service: opts.Service, Server: x.pool.addr, Instance: opts.Server, PerSecond: rate, At: time.Now(),
		})
	}
}

// head reads response heads until that of the final response.
func (x *exchange) head() (*http.Response, error) {
	for range maxInterimResponses {
		head, err := http.ReadResponse(x.serverConn.reader, x.httpReq)
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

// failRead ends an exchange whose response head cannot be read and returns its fault.
func (x *exchange) failRead(err error) error {
	x.serverConn.close()
	if x.bodyWritten != nil {
		<-x.bodyWritten
	}
	if x.serverConn.sentBytes.Load() == 0 {
		return x.failUnsent(err)
	}
	if kind, outcome, ok := x.contextOutcome(); ok {
		x.end(outcome)
		return fault.Wrap(kind, err, "response")
	}
	if errors.Is(err, ErrHeaderTooLarge) {
		x.end(board.Failure)
		return fault.Wrap(fault.AnswerTooLarge, err, "response header")
	}
	x.end(board.Reset)
	return fault.Wrap(fault.Interrupted, err, "response")
}

// contextOutcome returns the kind and the outcome for an exchange whose context has
// ended. It reports false while the context has not ended.
func (x *exchange) contextOutcome() (fault.Kind, board.Outcome, bool) {
	switch err := x.ctx.Err(); {
	case err == nil:
		return 0, 0, false
	case errors.Is(err, context.DeadlineExceeded):
		return fault.Timeout, board.Late, true
	default:
		return fault.ContextKind(x.ctx), board.Canceled, true
	}
}

// checkOrigin returns a fault unless the head is that of a response that the backend server made for
// this request, as far as the service and the dialect give a proof of it. A response that lacks its
// proof says nothing, not even that the request has not run.
func (x *exchange) checkOrigin(head *http.Response) error {
	proof := x.pool.opts.Dialect.ProofHeader
	switch {
	case !x.matchesRequestID(head.Header):
		return fault.New(fault.Mismatch, "response with status %d carries %d request ids, not the right one", head.StatusCode, len(head.Header[x.pool.opts.Dialect.ID]))
	case proof != "" && isSuccess(head.StatusCode) && head.Header.Get(proof) == "":
		return fault.New(fault.Mismatch, "response with status %d carries no proof of its server", head.StatusCode)
	case containsStatusLine(head):
		return fault.New(fault.Mismatch, "response has the status line of another one in its head")
	}
	return nil
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// containsStatusLine reports whether the status line of another response stands within a head, as
// when bytes that are no whole head precede it. What belongs to which cannot be told then.
func containsStatusLine(head *http.Response) bool {
	if strings.Contains(head.Status, "HTTP/1.") && statusLine.MatchString(head.Status) {
		return true
	}
	for _, values := range head.Header {
		for _, value := range values {
			if strings.Contains(value, "HTTP/1.") && statusLine.MatchString(value) {
				return true
			}
		}
	}
	return false
}

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// matchesRequestID reports whether a response with the header h belongs to the request.
// A missing id is accepted unless the service requires the echo.
func (x *exchange) matchesRequestID(h http.Header) bool {
	ids := h[x.pool.opts.Dialect.ID]
	for _, id := range ids {
		if id != x.req.ID {
			return false
		}
	}
	return len(ids) > 0 || x.req.Echo != note.EchoRequired
}

// hasRequestID reports whether a response with the header h states a request id.
func (x *exchange) hasRequestID(h http.Header) bool { return len(h[x.pool.opts.Dialect.ID]) > 0 }

// requestWritten reports whether the whole request has been written.
func (x *exchange) requestWritten() bool {
	if x.bodyWritten != nil {
		select {
		case <-x.bodyWritten:
		default:
			return false
		}
	}
	return !x.serverConn.writeFailed.Load()
}

// failRefused ends an exchange that the backend server refused and returns its fault.
// The connection is reused only when the whole body is already in the buffer, because
// waiting for it would delay the next attempt.
func (x *exchange) failRefused(head *http.Response, outcome board.Outcome) error {
	buffered := int64(x.serverConn.reader.Buffered())
	if head.ContentLength < 0 || head.ContentLength > buffered {
		x.keepConn = false
	} else {
		_, _ = io.Copy(io.Discard, head.Body)
	}
	x.end(outcome)
	return fault.New(fault.ServerRefused, "%s by %s", outcome, x.pool.addr)
}

// hasUnframedBody reports whether the response has a body that ends with the
// connection, so that a truncated body cannot be detected.
func hasUnframedBody(method string, head *http.Response) bool {
	bodyless := method == http.MethodHead || head.StatusCode == http.StatusNoContent ||
		head.StatusCode == http.StatusNotModified
	return !bodyless && head.ContentLength < 0 && len(head.TransferEncoding) == 0
}

// pause records that the response is not being read, so that the exchange does not wait
// for the backend server.
func (x *exchange) pause() {
	x.pool.endWait(&x.waiter, false)
	x.pausedAt = time.Now()
}

func (x *exchange) resume() {
	now := time.Now()
	x.pausedTotal += now.Sub(x.pausedAt)
	x.pool.beginWait(&x.waiter, now, false)
}

// end ends the exchange and reports the outcome as a sample. It does nothing when the
// exchange has ended before.
func (x *exchange) end(outcome board.Outcome) {
	if x.ended {
		return
	}
	x.endWithoutSample()
	took := time.Since(x.start) - x.pausedTotal
	s := board.Sample{
		Service: x.pool.opts.Service, Server: x.pool.addr,
		Start: x.start, Took: took, Outcome: outcome,
	}
	x.pool.opts.Sample(s)
	if x.req.OnEnd != nil {
		x.req.OnEnd(s)
	}
}

// endWithoutSample ends the exchange and returns its connection to the pool or closes it.
// It is called directly for an exchange that tells nothing about the backend server.
func (x *exchange) endWithoutSample() {
	x.ended = true
	x.pool.endWait(&x.waiter, true)
	if x.serverConn == nil {
		return
	}
	// Bytes after the response may belong to the response to another request, so a
	// connection that has them is not reused.
	if x.keepConn && x.stopContextWatch() && x.serverConn.reader.Buffered() == 0 {
		x.pool.putIdle(x.serverConn)
		return
	}
	x.stopContextWatch()
	x.pool.discard(x.serverConn)
}
