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

// trip is a transport made of a function.
type trip func(r *http.Request) (*http.Response, error)

func (f trip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func respond(status int, tag, body string) *http.Response {
	return &http.Response{
		StatusCode: status, Header: http.Header{"Etag": {tag}}, Body: io.NopCloser(strings.NewReader(body)),
	}
}

// Guards against answers whose meaning is open being taken for a refusal, and
// refusals for an outage.
func TestKinds(t *testing.T) {
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
		c := store.NewHTTP("http://platform", &http.Client{Transport: trip(func(*http.Request) (*http.Response, error) {
			return tt.resp, nil
		})})
		if _, err := c.Put(t.Context(), "a", nil, 3); fault.KindOf(err) != tt.want {
			t.Errorf("%s: %v, want %s", tt.name, err, tt.want)
		}
	}
}

// Guards against a platform that makes the client read without bound.
func TestAnswerBound(t *testing.T) {
	c := store.NewHTTP("http://platform", &http.Client{Transport: trip(func(*http.Request) (*http.Response, error) {
		return respond(200, `"1"`, strings.Repeat("x", store.MaxValueBytes+1)), nil
	})})
	if _, err := c.Watch(t.Context(), "a", 0); fault.KindOf(err) != fault.PlatformDown {
		t.Errorf("value above the bound: %v", err)
	}
}

// Guards against reads that hammer a platform in an outage, and writes that are
// repeated although the first may have taken effect.
func TestRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var at []time.Duration
		begin := time.Now()
		c := store.NewHTTP("http://platform", &http.Client{Transport: trip(func(*http.Request) (*http.Response, error) {
			at = append(at, time.Since(begin))
			return nil, errors.New("no route")
		})}, store.WithRand(func() float64 { return 0.25 }))
		_, err := c.Get(t.Context(), "a")
		if fault.KindOf(err) != fault.PlatformDown || len(at) != 2 || at[1] != 75*time.Millisecond {
			t.Errorf("read: calls at %v, %v", at, err)
		}
		at = nil
		if _, err := c.Put(t.Context(), "a", nil, 0); fault.KindOf(err) != fault.PlatformDown || len(at) != 1 {
			t.Errorf("write: calls at %v, %v", at, err)
		}
	})
}

// Guards against calls that hang with the platform: each ends at its timeout, and
// a watch at its wait plus the timeout.
func TestTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := store.NewHTTP("http://platform", &http.Client{Transport: trip(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})}, store.WithTimeout(time.Second), store.WithWait(5*time.Second))
		ends := func(name string, want time.Duration, call func() error) {
			begin := time.Now()
			if err := call(); fault.KindOf(err) != fault.PlatformDown || time.Since(begin) != want {
				t.Errorf("%s: ended after %v: %v", name, time.Since(begin), err)
			}
		}
		ends("put", time.Second, func() error { _, err := c.Put(t.Context(), "a", nil, 0); return err })
		ends("watch", 6*time.Second, func() error { _, err := c.Watch(t.Context(), "a", 1); return err })
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		ends("canceled get", 300*time.Millisecond, func() error { _, err := c.Get(ctx, "a"); return err })
	})
}
