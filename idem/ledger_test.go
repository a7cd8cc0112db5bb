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
	return item{key: digest{byte(n), byte(n >> 8)}, account: fmt.Sprint(n % 3), expiry: time.Now().Add(KeyLife)}
}

func gives(body string) Run {
	return func(context.Context) (*Answer, error) { return NewAnswer(200, nil, []byte(body)), nil }
}

func fails(kind fault.Kind) Run {
	return func(context.Context) (*Answer, error) { return nil, fault.New(kind, "x") }
}

func never(t *testing.T) Run {
	return func(context.Context) (*Answer, error) {
		t.Error("a second run")
		return NewAnswer(200, nil, nil), nil
	}
}

// Guards against a second run after one whose end is unknown, and against a key
// that stays blocked although its request did not run.
func TestLedgerAfterRun(t *testing.T) {
	cases := []struct {
		name  string
		run   Run
		first fault.Kind
		again bool // The key runs again.
	}{
		{"refused", fails(fault.ServerRefused), fault.ServerRefused, true},
		{"unreachable", fails(fault.Unreachable), fault.Unreachable, true},
		{"timeout", fails(fault.Timeout), fault.Timeout, false},
		{"plain error", func(context.Context) (*Answer, error) { return nil, context.Canceled }, fault.Internal, false},
		{"panic", func(context.Context) (*Answer, error) { panic("x") }, fault.Internal, false},
		{"exit", func(context.Context) (*Answer, error) { runtime.Goexit(); return nil, nil }, fault.Internal, false},
		{"nothing", func(context.Context) (*Answer, error) { return nil, nil }, fault.Internal, false},
		{"deaf to its context", func(context.Context) (*Answer, error) {
			time.Sleep(runMost + 2*runGrace)
			return nil, fault.New(fault.ServerRefused, "too late to be believed")
		}, fault.Timeout, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, it := NewLedger(t.Context(), 10, 100), testItem(1)
				_, err := l.do(t.Context(), it, c.run)
				wantKind(t, "first", err, c.first)
				time.Sleep(10 * time.Minute)
				if c.again {
					if _, err := l.do(t.Context(), it, gives("x")); err != nil || l.Len() != 1 {
						t.Errorf("repeat: %v", err)
					}
					return
				}
				for range 5 {
					_, err = l.do(t.Context(), it, never(t))
					wantKind(t, "repeat", err, c.first)
					time.Sleep(10 * time.Minute)
				}
				_, err = l.do(t.Context(), it, never(t))
				wantKind(t, "after its expiry", err, fault.KeyExpired)
			})
		})
	}
}

// Guards against a run that stops, or an answer that is lost, when the caller
// who started it leaves; and against a run that never stops.
func TestLedgerCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, it := NewLedger(t.Context(), 10, 100), testItem(1)
		slow := func(ctx context.Context) (*Answer, error) {
			select {
			case <-time.After(time.Second):
				return NewAnswer(200, nil, []byte("slow")), nil
			case <-ctx.Done():
				return nil, fault.New(fault.Timeout, "x")
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := l.do(ctx, it, slow)
		wantKind(t, "caller that left", err, fault.Canceled)
		short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = l.do(short, it, never(t))
		wantKind(t, "repeat with a short deadline", err, fault.Timeout)
		if answer, err := l.do(t.Context(), it, never(t)); err != nil || string(answer.Body()) != "slow" {
			t.Errorf("repeat: %v", err)
		}
		bounded, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, _ = l.do(bounded, testItem(2), slow)
		_, err = l.do(t.Context(), testItem(2), never(t))
		wantKind(t, "run beyond its deadline", err, fault.Timeout)
		deaf := func(context.Context) (*Answer, error) { time.Sleep(time.Minute); return nil, nil }
		last, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, _ = l.do(last, testItem(3), deaf)
		time.Sleep(runGrace)
		begin := time.Now()
		_, err = l.do(t.Context(), testItem(3), never(t))
		wantKind(t, "run that ignores its deadline", err, fault.Timeout)
		if time.Since(begin) != 0 {
			t.Errorf("waited %v for it", time.Since(begin))
		}
		time.Sleep(time.Minute)
		base, stop := context.WithCancel(t.Context())
		l = NewLedger(base, 10, 100)
		time.AfterFunc(100*time.Millisecond, stop)
		_, err = l.do(t.Context(), it, slow)
		wantKind(t, "end of the VM", err, fault.Timeout)
	})
}

// Guards against answers without bound in bytes or time, and against a key that
// is forgotten with its answer.
func TestLedgerDropsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger(t.Context(), 100, 100)
		for n := range 20 {
			if _, err := l.do(t.Context(), testItem(n), gives("0123456789")); err != nil {
				t.Fatal(err)
			}
		}
		for n := range 20 {
			_, err := l.do(t.Context(), testItem(n), never(t))
			if n < 10 {
				wantKind(t, fmt.Sprint("old ", n), err, fault.AnswerDropped)
			} else if err != nil {
				t.Errorf("new %d: %v", n, err)
			}
		}
		large := make([]byte, 200)
		answer, err := l.do(t.Context(), testItem(50), gives(string(large)))
		if err != nil || len(answer.Body()) != 200 || l.size > 100 {
			t.Errorf("answer above the bound: %v, %d bytes kept", err, l.size)
		}
		_, _ = l.do(t.Context(), testItem(51), gives("x"))
		time.Sleep(answerLife)
		_, err = l.do(t.Context(), testItem(51), never(t))
		wantKind(t, "after 10 min", err, fault.AnswerDropped)
		if l.size != 0 {
			t.Errorf("%d bytes kept", l.size)
		}
	})
}

// Guards against memory without bound, against a full ledger that forgets a key
// that ran, and against one account that fills it.
func TestLedgerFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLedger(t.Context(), 6, 100)
		for n := range 6 {
			_, _ = l.do(t.Context(), testItem(n), fails(fault.Timeout))
		}
		_, err := l.do(t.Context(), testItem(6), never(t))
		wantKind(t, "new key", err, fault.QueueFull)
		for n := range 6 {
			_, err := l.do(t.Context(), testItem(n), never(t))
			wantKind(t, "key that may have run", err, fault.Timeout)
		}
		time.Sleep(KeyLife + 2*time.Minute)
		for n := range 4 {
			it := testItem(n)
			it.account = "a"
			_, err = l.do(t.Context(), it, gives("x"))
			if n < 3 && err != nil {
				t.Errorf("after the others expired: %v", err)
			}
		}
		wantKind(t, "fourth key of an account", err, fault.AccountLimited)
		if l.Len() != 3 {
			t.Errorf("%d keys remembered", l.Len())
		}
	})
}

// Guards against a clock that is set back and revives a key that has expired.
func TestLedgerClockSetBack(t *testing.T) {
	l := NewLedger(t.Context(), 10, 100)
	it := testItem(1)
	now := time.Now()
	if _, _, err := l.begin(now.Add(KeyLife+time.Second), it, false); fault.Of(err) != fault.KeyExpired {
		t.Fatal(err)
	}
	_, _, err := l.begin(now, it, false)
	wantKind(t, "clock set back", err, fault.KeyExpired)
}
