package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkRequest compares a request through the handler with a direct request to
// the backend server, both over loopback with persistent connections.
func BenchmarkRequest(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, "a response of some bytes")
	}))
	defer server.Close()
	f := newFixture(b, nil, &backend{Listener: server.Listener})
	front := httptest.NewServer(f)
	defer front.Close()
	for _, c := range []struct{ name, method, url string }{
		{"direct", "GET", server.URL + "/look/x"},
		{"proxied", "GET", front.URL + "/look/x"},
		{"proxied-action", "POST", front.URL + "/act"},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, _ := http.NewRequest(c.method, c.url, nil)
				resp, err := front.Client().Do(r)
				if err != nil {
					b.Fatal(err)
				}
				if resp.StatusCode != 200 {
					b.Fatal(resp.Status)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
