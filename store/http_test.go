package store_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/store"
)

// roundTripper adapts a function to http.RoundTripper.
type roundTripper func(r *http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func respond(status int, etag, body string) *http.Response {
	return &http.Response{
		StatusCode: status, Header: http.Header{"Etag": {etag}}, Body: io.NopCloser(strings.NewReader(body)),
	}
}

// Guards against reporting a response that leaves the effect of a write unknown as a
// refusal, and a refusal as an outage.
func TestErrorKinds(t *testing.T) {
	for _, tt := range []struct {
		name string
		resp *http.Response
		want fault.Kind
	}{
		{"precondition", respond(412, "", ""), fault.Conflict},
		{"too large", respond(413, "", ""), fault.Invalid},
		{"unavailable", respond(503, "", ""), fault.PlatformDown},
		{"rate", respond(429, "", ""), fault.PlatformDown},
		{"no version", respond(204, "", ""), fault.PlatformDown},
		{"version 0", respond(204, `"0"`, ""), fault.PlatformDown},
		{"refused", respond(403, "", ""), fault.Internal},
	} {
		c := store.NewHTTP("http://platform", &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
			return tt.resp, nil
		})})
		if _, err := c.Put(t.Context(), "a", nil, 3); fault.KindOf(err) != tt.want {
			t.Errorf("%s: %v, want %s", tt.name, err, tt.want)
		}
	}
}

// Guards against reading a response of unlimited size from the platform.
func TestResponseSizeLimit(t *testing.T) {
	c := store.NewHTTP("http://platform", &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
		return respond(200, `"1"`, strings.Repeat("x", store.MaxValueBytes+1)), nil
	})})
	if _, err := c.Watch(t.Context(), "a", 0); fault.KindOf(err) != fault.PlatformDown {
		t.Errorf("value above the size limit: %v", err)
	}
}

// Guards against reads that overload the platform with retries in an outage, and against
// retries of a write whose first attempt may have taken effect.
func TestRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var callTimes []time.Duration
		begin := time.Now()
		c := store.NewHTTP("http://platform", &http.Client{Transport: roundTripper(func(*http.Request) (*http.Response, error) {
			callTimes = append(callTimes, time.Since(begin))
			return nil, errors.New("no route")
		})}, store.WithRand(func() float64 { return 0.25 }))
		_, err := c.Get(t.Context(), "a")
		if fault.KindOf(err) != fault.PlatformDown || len(callTimes) != 2 || callTimes[1] != 75*time.Millisecond {
			t.Errorf("read: calls at %v, %v", callTimes, err)
		}
		callTimes = nil
		if _, err := c.Put(t.Context(), "a", nil, 0); fault.KindOf(err) != fault.PlatformDown || len(callTimes) != 1 {
			t.Errorf("write: calls at %v, %v", callTimes, err)
		}
	})
}

// Guards against calls that hang when the platform does not respond: each ends at its
// timeout, and a watch at its wait plus the timeout.
func TestTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := store.NewHTTP("http://platform", &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})}, store.WithTimeout(time.Second), store.WithWait(5*time.Second))
		wantEnd := func(name string, want time.Duration, call func() error) {
			begin := time.Now()
			if err := call(); fault.KindOf(err) != fault.PlatformDown || time.Since(begin) != want {
				t.Errorf("%s: ended after %v: %v", name, time.Since(begin), err)
			}
		}
		wantEnd("put", time.Second, func() error { _, err := c.Put(t.Context(), "a", nil, 0); return err })
		wantEnd("watch", 6*time.Second, func() error { _, err := c.Watch(t.Context(), "a", 1); return err })
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		wantEnd("canceled get", 300*time.Millisecond, func() error { _, err := c.Get(ctx, "a"); return err })
	})
}
