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

func testItem(n int) item {
	return item{key: digest{byte(n)}, account: fmt.Sprint(n % 3), expiry: time.Now().Add(KeyTTL)}
}

func gives(body string) RunFunc {
	return func(context.Context) (*Response, error) { return NewResponse(200, nil, []byte(body)), nil }
}

func fails(kind fault.Kind) RunFunc {
	return func(context.Context) (*Response, error) { return nil, fault.New(kind, "x") }
}

func never(t *testing.T) RunFunc {
	return func(context.Context) (*Response, error) {
		t.Error("a second run")
		return NewResponse(200, nil, nil), nil
	}
}

// Guards against a second run after one whose end is unknown, and against a key
// that stays blocked although its request did not run.
func TestLedgerAfterRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		run   RunFunc
		first fault.Kind
		again bool // The key runs again.
	}{
		{"refused", fails(fault.ServerRefused), fault.ServerRefused, true},
		{"timeout", fails(fault.Timeout), fault.Timeout, false},
		{"plain error", func(context.Context) (*Response, error) { return nil, context.Canceled }, fault.Internal, false},
		{"panic", func(context.Context) (*Response, error) { panic("x") }, fault.Internal, false},
		{"exit", func(context.Context) (*Response, error) { runtime.Goexit(); return nil, nil }, fault.Internal, false},
		{"nothing", func(context.Context) (*Response, error) { return nil, nil }, fault.Internal, false},
		{"too late to be believed", func(context.Context) (*Response, error) {
			time.Sleep(runMost + 2*runGrace)
			return nil, fault.New(fault.ServerRefused, "x")
		}, fault.Timeout, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			l, it := NewLedger(t.Context(), 10, 100), testItem(1)
			_, err := l.do(t.Context(), it, c.run)
			wantKind(t, c.name, err, c.first)
			time.Sleep(10 * time.Minute)
			if c.again {
				if _, err := l.do(t.Context(), it, gives("x")); err != nil || l.Len() != 1 {
					t.Errorf("repeat: %v", err)
				}
				return
			}
			for range 5 {
				_, err = l.do(t.Context(), it, never(t))
				wantKind(t, c.name+", repeat", err, c.first)
				time.Sleep(10 * time.Minute)
			}
			_, err = l.do(t.Context(), it, never(t))
			wantKind(t, c.name+", after the expiry", err, fault.KeyExpired)
		})
	}
}

// Guards against a run that stops, or an answer that is lost, when the caller
// who started it leaves; and against a run that never stops.
func TestLedgerCallerLeaves(t *testing.T) {
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
		deaf := func(context.Context) (*Response, error) { time.Sleep(time.Minute); return nil, nil }
		start := func(n int, deadline, leaves time.Duration, run RunFunc, want fault.Kind) {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			time.AfterFunc(leaves, cancel)
			_, err := l.do(ctx, testItem(n), run)
			wantKind(t, fmt.Sprint("caller ", n), err, want)
		}
		start(1, 2*time.Second, 100*time.Millisecond, slow, fault.Canceled)
		start(1, 100*time.Millisecond, time.Second, never(t), fault.Timeout)
		if answer, err := l.do(t.Context(), testItem(1), never(t)); err != nil || string(answer.Body()) != "slow" {
			t.Errorf("repeat: %v", err)
		}
		start(2, 500*time.Millisecond, time.Second, slow, fault.Timeout)
		start(3, 500*time.Millisecond, time.Second, deaf, fault.Timeout)
		time.Sleep(runGrace)
		begin := time.Now()
		for n := range 2 {
			_, err := l.do(t.Context(), testItem(2+n), never(t))
			wantKind(t, "run beyond its deadline", err, fault.Timeout)
		}
		if time.Since(begin) != 0 {
			t.Errorf("waited %v for a run beyond its deadline", time.Since(begin))
		}
		time.AfterFunc(100*time.Millisecond, stop)
		_, err := l.do(t.Context(), testItem(4), slow)
		wantKind(t, "end of the VM", err, fault.Timeout)
		time.Sleep(time.Minute)
	})
}

// Guards against answers without bound in bytes or time, and against a key that
// is forgotten with its answer.
func TestLedgerDropsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger(t.Context(), 100, 100)
		large := string(make([]byte, 200))
		for n, body := range []string{large, "0", "1234567890", large[:95], "x"} {
			answer, err := l.do(t.Context(), testItem(n), gives(body))
			if err != nil || string(answer.Body()) != body || l.size > 100 {
				t.Errorf("answer %d: %v, %d bytes kept", n, err, l.size)
			}
		}
		for n, dropped := range []bool{true, true, true, false, false} {
			_, err := l.do(t.Context(), testItem(n), never(t))
			if dropped {
				wantKind(t, fmt.Sprint("old ", n), err, fault.AnswerDropped)
			} else if err != nil {
				t.Errorf("new %d: %v", n, err)
			}
		}
		time.Sleep(answerLife)
		_, err := l.do(t.Context(), testItem(4), never(t))
		wantKind(t, "after 10 min", err, fault.AnswerDropped)
		if l.size != 0 {
			t.Errorf("%d bytes kept", l.size)
		}
	})
}

// Guards against memory without bound, against a full ledger that forgets a key
// that ran, against one account that fills it, and against a clock that is set
// back and revives a key.
func TestLedgerFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, first := NewLedger(t.Context(), 6, 100), testItem(0)
		for range 2 {
			for n := range 6 {
				_, err := l.do(t.Context(), testItem(n), fails(fault.Timeout))
				wantKind(t, "key that may have run", err, fault.Timeout)
			}
			_, err := l.do(t.Context(), testItem(6), never(t))
			wantKind(t, "new key", err, fault.QueueFull)
		}
		time.Sleep(KeyTTL + 2*time.Minute)
		for n, want := range []fault.Kind{fault.Timeout, fault.Timeout, fault.Timeout, fault.AccountLimited} {
			it := testItem(n)
			it.account = "a"
			_, err := l.do(t.Context(), it, fails(fault.Timeout))
			wantKind(t, "key of one account", err, want)
		}
		if l.Len() != 3 {
			t.Errorf("%d keys remembered", l.Len())
		}
		first.key = digest{99}
		_, _, err := l.begin(first.expiry.Add(-time.Second), first, false)
		wantKind(t, "clock set back", err, fault.KeyExpired)
	})
}
