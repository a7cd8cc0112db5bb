package idem

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

func testRequest(n int) keyedRequest {
	return keyedRequest{key: digest{byte(n)}, account: fmt.Sprint(n % 3), expiry: time.Now().Add(KeyTTL)}
}

func respondsWith(body string) RunFunc {
	return func(context.Context) (*Response, error) { return NewResponse(200, nil, []byte(body)), nil }
}

func failsWith(kind fault.Kind) RunFunc {
	return func(context.Context) (*Response, error) { return nil, fault.New(kind, "x") }
}

func mustNotRun(t *testing.T) RunFunc {
	return func(context.Context) (*Response, error) {
		t.Error("the request ran a second time")
		return NewResponse(200, nil, nil), nil
	}
}

// Guards against a second run after a run with an unknown outcome, and against a key that
// stays unusable although its request did not run.
func TestLedgerAfterRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		run    RunFunc
		first  fault.Kind
		reruns bool // Whether a repeat runs the key again.
	}{
		{"refused", failsWith(fault.ServerRefused), fault.ServerRefused, true},
		{"timeout", failsWith(fault.Timeout), fault.Timeout, false},
		{"plain error", func(context.Context) (*Response, error) { return nil, context.Canceled }, fault.Internal, false},
		{"panic", func(context.Context) (*Response, error) { panic("x") }, fault.Internal, false},
		{"exit", func(context.Context) (*Response, error) { runtime.Goexit(); return nil, nil }, fault.Internal, false},
		{"nothing", func(context.Context) (*Response, error) { return nil, nil }, fault.Internal, false},
		{"error after the run timeout", func(context.Context) (*Response, error) {
			time.Sleep(maxRunTime + 2*runGrace)
			return nil, fault.New(fault.ServerRefused, "x")
		}, fault.Timeout, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			l, req := NewLedger(t.Context(), 10, 100), testRequest(1)
			_, err := l.runOnce(t.Context(), req, c.run)
			wantKind(t, c.name, err, c.first)
			time.Sleep(10 * time.Minute)
			if c.reruns {
				if _, err := l.runOnce(t.Context(), req, respondsWith("x")); err != nil || l.Len() != 1 {
					t.Errorf("repeat: %v", err)
				}
				return
			}
			for range 5 {
				_, err = l.runOnce(t.Context(), req, mustNotRun(t))
				wantKind(t, c.name+", repeat", err, c.first)
				time.Sleep(10 * time.Minute)
			}
			_, err = l.runOnce(t.Context(), req, mustNotRun(t))
			wantKind(t, c.name+", after the expiry", err, fault.KeyExpired)
		})
	}
}

// Guards against a run that stops, or a response that is lost, when the caller that
// started it is canceled, and against waiting without bound for a run that ignores its
// context.
func TestLedgerCallerCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base, stop := context.WithCancel(t.Context())
		l := NewLedger(base, 10, 100)
		slow := func(ctx context.Context) (*Response, error) {
			select {
			case <-time.After(time.Second):
				return NewResponse(200, nil, []byte("slow")), nil
			case <-ctx.Done():
				return nil, fault.New(fault.Timeout, "x")
			}
		}
		ignoresContext := func(context.Context) (*Response, error) { time.Sleep(time.Minute); return nil, nil }
		start := func(n int, deadline, cancelAfter time.Duration, run RunFunc, want fault.Kind) {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			time.AfterFunc(cancelAfter, cancel)
			_, err := l.runOnce(ctx, testRequest(n), run)
			wantKind(t, fmt.Sprint("caller ", n), err, want)
		}
		start(1, 2*time.Second, 100*time.Millisecond, slow, fault.Canceled)
		start(1, 100*time.Millisecond, time.Second, mustNotRun(t), fault.Timeout)
		if response, err := l.runOnce(t.Context(), testRequest(1), mustNotRun(t)); err != nil || string(response.Body()) != "slow" {
			t.Errorf("repeat: %v", err)
		}
		start(2, 500*time.Millisecond, time.Second, slow, fault.Timeout)
		start(3, 500*time.Millisecond, time.Second, ignoresContext, fault.Timeout)
		time.Sleep(runGrace)
		begin := time.Now()
		for n := range 2 {
			_, err := l.runOnce(t.Context(), testRequest(2+n), mustNotRun(t))
			wantKind(t, "run past its deadline", err, fault.Timeout)
		}
		if time.Since(begin) != 0 {
			t.Errorf("waited %v for a run past its deadline", time.Since(begin))
		}
		time.AfterFunc(100*time.Millisecond, stop)
		_, err := l.runOnce(t.Context(), testRequest(4), slow)
		wantKind(t, "VM shutdown", err, fault.Timeout)
		time.Sleep(time.Minute)
	})
}

// Guards against stored responses without a limit in bytes or time, and against a key
// that is removed together with its response.
func TestLedgerDropsResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger(t.Context(), 100, 100)
		large := string(make([]byte, 200))
		for n, body := range []string{large, "0", "1234567890", large[:95], "x"} {
			response, err := l.runOnce(t.Context(), testRequest(n), respondsWith(body))
			if err != nil || string(response.Body()) != body || l.size > 100 {
				t.Errorf("response %d: %v, %d bytes stored", n, err, l.size)
			}
		}
		for n, dropped := range []bool{true, true, true, false, false} {
			_, err := l.runOnce(t.Context(), testRequest(n), mustNotRun(t))
			if dropped {
				wantKind(t, fmt.Sprint("old ", n), err, fault.AnswerDropped)
			} else if err != nil {
				t.Errorf("new %d: %v", n, err)
			}
		}
		time.Sleep(responseTTL)
		_, err := l.runOnce(t.Context(), testRequest(4), mustNotRun(t))
		wantKind(t, "after 10 min", err, fault.AnswerDropped)
		if l.size != 0 {
			t.Errorf("%d bytes stored", l.size)
		}
	})
}

// Guards against unbounded memory use, a full ledger that evicts a key that ran, one
// account that fills the ledger, and an expired key that becomes valid again when the
// clock is set back.
func TestLedgerFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, first := NewLedger(t.Context(), 6, 100), testRequest(0)
		for range 2 {
			for n := range 6 {
				_, err := l.runOnce(t.Context(), testRequest(n), failsWith(fault.Timeout))
				wantKind(t, "key that may have run", err, fault.Timeout)
			}
			_, err := l.runOnce(t.Context(), testRequest(6), mustNotRun(t))
			wantKind(t, "new key", err, fault.QueueFull)
		}
		time.Sleep(KeyTTL + 2*time.Minute)
		for n, want := range []fault.Kind{fault.Timeout, fault.Timeout, fault.Timeout, fault.AccountLimited} {
			req := testRequest(n)
			req.account = "a"
			_, err := l.runOnce(t.Context(), req, failsWith(fault.Timeout))
			wantKind(t, "key of one account", err, want)
		}
		if l.Len() != 3 {
			t.Errorf("%d keys in the ledger", l.Len())
		}
		first.key = digest{99}
		_, _, err := l.startOrJoin(first.expiry.Add(-time.Second), first, false)
		wantKind(t, "clock set back", err, fault.KeyExpired)
	})
}
