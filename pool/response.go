package pool

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
)

var errResponseClosed = errors.New("response was closed")

// Response is the response of the backend server. It is complete once a read has
// returned io.EOF.
type Response struct {
	exchange *exchange
	head     *http.Response
	err      error // Returned by further reads once the exchange has ended.
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.head.StatusCode }

// Header returns the response header without hop-by-hop fields.
func (r *Response) Header() http.Header { return r.head.Header }

// Length returns the length of the body in bytes, or -1 when it is unknown.
func (r *Response) Length() int64 { return r.head.ContentLength }

// Read reads from the body. It returns io.EOF only at the end of a complete body. Other
// errors are faults of kind Truncated, Timeout or Canceled, or say that the response
// was closed.
func (r *Response) Read(b []byte) (int, error) {
	x := r.exchange
	if r.err != nil {
		return 0, r.err
	}
	x.resume()
	n, err := r.head.Body.Read(b)
	switch {
	case err == nil:
		x.pause()
		return n, nil
	case errors.Is(err, io.EOF):
		r.finish()
		return n, io.EOF
	}
	kind, outcome, ok := x.contextOutcome()
	switch {
	case !ok:
		kind, outcome = fault.Truncated, board.Truncated
	case outcome == board.Late && x.pausedTotal > time.Since(x.start)/2:
		outcome = board.Canceled // The reader caused most of the delay, not the backend server.
	}
	x.keepConn = false
	x.end(outcome)
	r.err = fault.Wrap(kind, err, "response body")
	return n, r.err
}

// Close ends the exchange. The connection is closed unless the body was read to its
// end. The error is always nil.
func (r *Response) Close() error {
	if r.err == nil {
		r.err = errResponseClosed
		r.exchange.keepConn = false
		r.exchange.end(board.Canceled)
	}
	return nil
}

func (r *Response) finish() {
	r.err = io.EOF
	if r.Status() >= http.StatusInternalServerError {
		r.exchange.end(board.Failure)
		return
	}
	r.exchange.end(board.Success)
}
