package objapi

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// errAborted is the error for a connection that was closed without a response.
var errAborted = errors.New("connection closed without an answer")

// Transport returns a transport that calls the server within the process, without a
// network. The demo uses it, and so do tests with the fake clock of testing/synctest, which
// does not advance while a goroutine waits for network I/O. The host of a request is
// ignored.
func (s *Server) Transport() http.RoundTripper { return localTransport{handler: s} }

type localTransport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (l localTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	clone := r.Clone(r.Context()) // The mux writes to the request, which a transport must not do.
	clone.RequestURI = r.URL.RequestURI()
	if clone.Body == nil {
		clone.Body = http.NoBody
	}
	defer func() { _ = clone.Body.Close() }()
	defer func() {
		switch p := recover(); p {
		case nil:
		case http.ErrAbortHandler:
			resp, err = nil, errAborted
		default:
			panic(p)
		}
	}()
	w := &recorder{header: http.Header{}}
	l.handler.ServeHTTP(w, clone)
	return w.response(r), nil
}

// recorder records a response in memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *recorder) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(data)
}

// response returns the recorded response to r.
func (w *recorder) response(r *http.Request) *http.Response {
	w.WriteHeader(http.StatusOK)
	return &http.Response{
		Status:        http.StatusText(w.status),
		StatusCode:    w.status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        w.header,
		Body:          io.NopCloser(&w.body),
		ContentLength: int64(w.body.Len()),
		Request:       r,
	}
}
