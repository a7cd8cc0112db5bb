package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// response is the http.ResponseWriter of one request. Its first byte is written after
// the responses to earlier requests.
type response struct {
	conn          *conn
	request       *http.Request
	header        http.Header
	previousDone  <-chan struct{} // Closed when the response to the previous request has been written.
	done          chan struct{}   // Closed when this response has been written.
	writeDeadline time.Time       // Zero until it is set.
	wroteHeader   bool
	chunked       bool
	bodyless      bool
	closeConn     bool  // The connection ends with this response.
	remaining     int64 // Body bytes still missing to Content-Length; negative when the body ends with the connection.
	writeErr      error
}

var errShortBody = errors.New("response body is shorter than its Content-Length")

// run serves the request. It aborts the connection when the handler panics.
func (w *response) run() {
	defer close(w.done)
	defer w.conn.requestFinished()
	defer func() {
		if p := recover(); p != nil {
			<-w.previousDone
			w.conn.abort()
			if p != http.ErrAbortHandler { //nolint:errorlint // The panic value is http.ErrAbortHandler itself, not wrapped.
				panic(p)
			}
		}
	}()
	w.conn.server.handler.ServeHTTP(w, w.request)
	w.finish()
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *response) WriteHeader(status int) {
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	select {
	case <-w.previousDone:
	case <-w.conn.disconnected.Done():
		w.writeErr = w.conn.disconnected.Err()
		return
	}
	w.closeConn = w.conn.decideClose(w.request.Close)
	w.setFraming(status)
	if w.writeDeadline.IsZero() {
		w.writeDeadline = time.Now().Add(defaultWriteTimeout)
	}
	_ = w.conn.net.SetWriteDeadline(w.writeDeadline)
	out := w.conn.writer
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	_ = w.header.Write(out)
	_, w.writeErr = out.WriteString("\r\n")
}

// setFraming sets the header fields that determine where the body ends.
func (w *response) setFraming(status int) {
	w.bodyless = w.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	switch {
	case w.bodyless:
	case err == nil && length >= 0:
		w.remaining = length
	case w.request.ProtoAtLeast(1, 1):
		w.header.Del("Content-Length")
		w.header.Set("Transfer-Encoding", "chunked")
		w.chunked = true
	default:
		// An HTTP/1.0 caller detects the end of the body by the end of the connection.
		w.closeConn = true
		w.remaining = -1
	}
	w.header.Del("Connection") // Only the server knows whether a further response follows.
	if w.closeConn {
		w.header.Set("Connection", "close")
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.writeErr != nil {
		return 0, w.writeErr
	}
	if w.bodyless || len(b) == 0 {
		return len(b), nil
	}
	out := w.conn.writer
	switch {
	case w.chunked:
		_, _ = fmt.Fprintf(out, "%x\r\n", len(b))
		_, _ = out.Write(b)
		_, w.writeErr = out.WriteString("\r\n")
	case w.remaining >= 0 && int64(len(b)) > w.remaining:
		return 0, http.ErrContentLength
	default:
		if w.remaining > 0 {
			w.remaining -= int64(len(b))
		}
		_, w.writeErr = out.Write(b)
	}
	if w.writeErr != nil {
		return 0, w.writeErr
	}
	return len(b), nil
}

// FlushError sends buffered data to the caller. It is called through
// http.ResponseController.
func (w *response) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if w.writeErr == nil {
		w.writeErr = w.conn.writer.Flush()
	}
	return w.writeErr
}

// SetWriteDeadline sets the deadline for writing this response. It is called through
// http.ResponseController. Before the header is written, the deadline is stored and
// takes effect with the first byte.
func (w *response) SetWriteDeadline(t time.Time) error {
	w.writeDeadline = t
	if !w.wroteHeader {
		return nil
	}
	return w.conn.net.SetWriteDeadline(t)
}

// SetReadDeadline does nothing, because the whole request has been read.
func (w *response) SetReadDeadline(time.Time) error { return nil }

// finish completes the response. It aborts the connection when that fails.
func (w *response) finish() {
	w.WriteHeader(http.StatusOK)
	if w.writeErr == nil && w.chunked {
		_, w.writeErr = w.conn.writer.WriteString("0\r\n\r\n")
	}
	if w.writeErr == nil {
		w.writeErr = w.conn.writer.Flush()
	}
	if w.writeErr == nil && w.remaining > 0 {
		w.writeErr = errShortBody
	}
	if w.writeErr != nil {
		w.conn.abort()
		return
	}
	if w.closeConn {
		w.conn.stopReading()
	}
}
