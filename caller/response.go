package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// response is the http.ResponseWriter of one request. The first byte waits until
// the responses before it have been written.
type response struct {
	conn     *conn
	request  *http.Request
	header   http.Header
	turn     <-chan struct{} // Closed when the responses before have been written.
	done     chan struct{}   // Closed when this one has.
	until    time.Time       // For the writes; zero for none.
	began    bool
	chunked  bool
	bodyless bool
	last     bool
	left     int64 // Bytes of the announced body that are still due.
	failed   error
}

var errShort = errors.New("response body is shorter than announced")

// run serves the request. A handler that panics has its connection broken off.
func (w *response) run() {
	defer close(w.done)
	defer w.conn.answered()
	defer func() {
		if p := recover(); p != nil {
			<-w.turn
			w.conn.abort()
			if p != http.ErrAbortHandler { //nolint:errorlint // The value itself is thrown.
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
	if w.began {
		return
	}
	w.began = true
	select {
	case <-w.turn:
	case <-w.conn.gone.Done():
		w.failed = w.conn.gone.Err()
		return
	}
	w.last = w.conn.isLast(w.request.Close)
	w.frame(status)
	if w.until.IsZero() {
		w.until = time.Now().Add(lateWriteTime)
	}
	_ = w.conn.net.SetWriteDeadline(w.until)
	out := w.conn.writer
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	_ = w.header.Write(out)
	_, w.failed = out.WriteString("\r\n")
}

// frame sets the fields that say where the body ends.
func (w *response) frame(status int) {
	w.bodyless = w.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	switch {
	case w.bodyless:
	case err == nil && length >= 0:
		w.left = length
	case w.request.ProtoAtLeast(1, 1):
		w.header.Del("Content-Length")
		w.header.Set("Transfer-Encoding", "chunked")
		w.chunked = true
	default:
		// Only the end of the connection tells a caller with HTTP/1.0 where the body ends.
		w.last = true
		w.left = -1
	}
	if w.last {
		w.header.Set("Connection", "close")
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.failed != nil {
		return 0, w.failed
	}
	if w.bodyless || len(b) == 0 {
		return len(b), nil
	}
	out := w.conn.writer
	switch {
	case w.chunked:
		_, _ = fmt.Fprintf(out, "%x\r\n", len(b))
		_, _ = out.Write(b)
		_, w.failed = out.WriteString("\r\n")
	case w.left >= 0 && int64(len(b)) > w.left:
		return 0, http.ErrContentLength
	default:
		if w.left > 0 {
			w.left -= int64(len(b))
		}
		_, w.failed = out.Write(b)
	}
	if w.failed != nil {
		return 0, w.failed
	}
	return len(b), nil
}

// FlushError sends what has been written. http.ResponseController calls it.
func (w *response) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if w.failed == nil {
		w.failed = w.conn.writer.Flush()
	}
	return w.failed
}

// SetWriteDeadline bounds the writes of this response. http.ResponseController
// calls it; before the turn of the response it takes effect with its first byte.
func (w *response) SetWriteDeadline(t time.Time) error {
	w.until = t
	if !w.began {
		return nil
	}
	return w.conn.net.SetWriteDeadline(t)
}

// SetReadDeadline does nothing, as the request has been read.
func (w *response) SetReadDeadline(time.Time) error { return nil }

// finish completes the response and breaks the connection off when it cannot.
func (w *response) finish() {
	w.WriteHeader(http.StatusOK)
	if w.failed == nil && w.chunked {
		_, w.failed = w.conn.writer.WriteString("0\r\n\r\n")
	}
	if w.failed == nil {
		w.failed = w.conn.writer.Flush()
	}
	if w.failed == nil && w.left > 0 {
		w.failed = errShort
	}
	if w.failed != nil {
		w.conn.abort()
		return
	}
	if w.last {
		w.conn.stop()
	}
}
