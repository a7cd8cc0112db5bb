package objapi

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// errAborted stands for a connection that ended without an answer.
var errAborted = errors.New("connection closed without an answer")

// Transport returns a transport that hands each request to the server within the
// process, without a network, as the demo and tests with a paused clock need it.
// The host of a request does not matter.
func (s *Server) Transport() http.RoundTripper { return local{handler: s} }

type local struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (l local) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	in := r.Clone(r.Context()) // The mux writes to the request, which a transport must not do.
	in.RequestURI = r.URL.RequestURI()
	if in.Body == nil {
		in.Body = http.NoBody
	}
	defer func() { _ = in.Body.Close() }()
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
	l.handler.ServeHTTP(w, in)
	return w.response(r), nil
}

// recorder keeps an answer.
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
