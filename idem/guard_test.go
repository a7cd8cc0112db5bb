package idem

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/wire"
)

// inFleet runs a test with three VMs, once with a caller's own key and once with
// a key that VM 0 issued.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet, call Call)) {
	for _, name := range []string{"own", "issued"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t.Context(), 3, testSeed)
				call := Call{Account: "a", Key: "order 17", Method: "POST", Target: "/orders", Body: []byte("2 signs")}
				if name == "issued" {
					call.Key = f.vm(0).guard.keys.Issue(time.Now())
				}
				test(t, f, call)
				time.Sleep(runMost + runGrace)
			})
		})
	}
}

func wantKind(t *testing.T, what string, err error, want fault.Kind) {
	t.Helper()
	if err == nil || fault.Of(err) != want {
		t.Errorf("%s: got %v, want %v", what, err, want)
	}
}

// Guards against a repeat that runs again or gets another answer.
func TestGuardGivesFirstAnswer(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, call Call) {
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() {
				time.Sleep(time.Duration(i/3) * 4 * time.Millisecond)
				answer, err := f.do(t.Context(), i%3, call)
				if err != nil || !strings.HasPrefix(string(answer.Body()), "run 1") {
					t.Errorf("repeat %d: %v", i, err)
				}
			})
		}
		group.Wait()
		if n := f.count("a" + call.Key); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

// Guards against a key that runs for another request than its first, and against
// an account that gets the answer of another.
func TestGuardScopesKeys(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, call Call) {
		if _, err := f.do(t.Context(), 0, call); err != nil {
			t.Fatal(err)
		}
		changes := map[string]func(*Call){
			"body":   func(c *Call) { c.Body = []byte("3 signs") },
			"method": func(c *Call) { c.Method = "PUT" },
			"target": func(c *Call) { c.Target = "/orders?copy" },
		}
		for name, change := range changes {
			other := call
			change(&other)
			for i := range 3 {
				_, err := f.do(t.Context(), i, other)
				wantKind(t, fmt.Sprint(name, " at VM ", i), err, fault.KeyReused)
			}
		}
		refused := Call{Account: "a", Key: "refused", Body: []byte("x")}
		_, err := f.vm(0).guard.Do(t.Context(), refused, fails(fault.ServerRefused))
		wantKind(t, "refused", err, fault.ServerRefused)
		refused.Body = []byte("y")
		_, err = f.do(t.Context(), 0, refused)
		wantKind(t, "another body than that of the claim", err, fault.KeyReused)
		call.Host = "10.0.0.2:80"
		if _, err := f.do(t.Context(), 2, call); err != nil {
			t.Errorf("another host: %v", err)
		}
		call.Account = "b"
		answer, err := f.do(t.Context(), 1, call)
		if err != nil || !strings.Contains(string(answer.Body()), "of b") {
			t.Errorf("another account: %v", err)
		}
	})
}

// Guards against a second run after the owner of a key is gone.
func TestGuardOwnerKilled(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, call Call) {
		if _, err := f.do(t.Context(), 0, call); err != nil {
			t.Fatal(err)
		}
		f.replace(0)
		for i := range 6 {
			_, err := f.do(t.Context(), i%3, call)
			wantKind(t, fmt.Sprint("VM ", i%3), err, fault.OwnerLost)
			time.Sleep(9 * time.Minute)
		}
		if n := f.count("a" + call.Key); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

// Guards against a second run when the owner pauses before it dispatches and
// resumes after another VM was asked.
func TestGuardOwnerPaused(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, call Call) {
		f.vm(0).resume.Store(time.Now().Add(2 * time.Minute).UnixNano())
		var group sync.WaitGroup
		group.Go(func() {
			if _, err := f.do(t.Context(), 0, call); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.do(ctx, 1, call)
		wantKind(t, "while the owner is paused", err, fault.OwnerLost)
		group.Wait()
		if _, err := f.do(t.Context(), 1, call); err != nil || f.count("a"+call.Key) != 1 {
			t.Errorf("after it resumed: %v, %d runs", err, f.count("a"+call.Key))
		}
	})
}

// Guards against a claim that is lost with the answer of the platform, and
// against a run for a claim that was never confirmed.
func TestGuardLostPlatformAnswer(t *testing.T) {
	cases := []struct {
		name    string
		applied bool
		lost    int
		runs    int
	}{
		{"after the write", true, 1, 1},
		{"before the write", false, 1, 1},
		{"before every write", false, 1000, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t.Context(), 3, testSeed)
				lost := 0
				f.put = func(apply func() error) error {
					if lost == c.lost {
						return apply()
					}
					lost++
					if c.applied {
						_ = apply()
					}
					return errDown
				}
				_, err := f.do(t.Context(), 0, Call{Key: "k"})
				if c.runs == 0 {
					wantKind(t, "no write", err, fault.ClaimFailed)
				} else if err != nil {
					t.Error(err)
				}
				if n := f.count("k"); n != c.runs {
					t.Errorf("%d runs, want %d", n, c.runs)
				}
			})
		})
	}
}

// Guards against keys that stop working in an outage although their owner is
// known, and against "not run" for those whose owner is not.
func TestGuardPlatformOutage(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, call Call) {
		for i := range 2 {
			if _, err := f.do(t.Context(), i, call); err != nil {
				t.Fatal(err)
			}
		}
		calls := 0
		f.get = func() error { calls++; return errDown }
		f.vm(0).guard.claims.recent = map[digest]claim{} // The ledger still knows the key.
		for i := range 2 {
			if _, err := f.do(t.Context(), i, call); err != nil {
				t.Errorf("known key at VM %d: %v", i, err)
			}
		}
		_, err := f.do(t.Context(), 1, Call{Account: "a", Key: f.vm(2).guard.keys.Issue(time.Now())})
		if err != nil {
			t.Errorf("issued key: %v", err)
		}
		for range 1000 {
			_, err := f.do(t.Context(), 1, Call{Account: "a", Key: "new"})
			wantKind(t, "new key", err, fault.ClaimFailed)
			time.Sleep(10 * time.Millisecond)
		}
		if f.count("anew") != 0 || calls > 50 {
			t.Errorf("%d runs, %d calls to the platform in 10 s", f.count("anew"), calls)
		}
		f.get = func() error { return nil }
		time.Sleep(downMost)
		if _, err := f.do(t.Context(), 1, Call{Account: "a", Key: "new"}); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

// Guards against a reply that is taken for "not run", or for an answer, although
// the owner did not say so.
func TestGuardDoubtfulReplies(t *testing.T) {
	large := make([]byte, 2<<20)
	cases := []struct {
		name  string
		reply *wire.Reply
		err   error
		body  []byte
		want  fault.Kind
	}{
		{"no reply", nil, errDown, nil, fault.OwnerLost},
		{"refused by the transport", nil, fault.New(fault.Stopping, "x"), nil, fault.OwnerLost},
		{"nothing", nil, nil, nil, fault.OwnerLost},
		{"no status", &wire.Reply{}, nil, nil, fault.OwnerLost},
		{"unknown kind", &wire.Reply{Kind: "NotYetKnown", Status: 200}, nil, nil, fault.OwnerLost},
		{"refused by the owner", &wire.Reply{Kind: "ServerRefused"}, nil, nil, fault.ServerRefused},
		{"large request", &wire.Reply{Status: 200}, nil, large, fault.OwnerLost},
	}
	for _, c := range cases {
		guard := newFleet(t.Context(), 1, testSeed).vm(0).guard
		guard.Forward = func(context.Context, string, *wire.Forward) (*wire.Reply, error) { return c.reply, c.err }
		key := NewKeys(secret, NewOwner(99, "10.0.0.9:7000")).Issue(time.Now())
		_, err := guard.Do(t.Context(), Call{Key: key, Body: c.body}, nil)
		wantKind(t, c.name, err, c.want)
	}
	kind := fault.Of(Unsure(fault.New(fault.AccountLimited, "x")))
	if kind.Answer().Ran() != fault.Unknown || fault.Of(Unsure(errDown)) != fault.PlatformDown {
		t.Errorf("a refusal before the key was looked up became %v", kind)
	}
}

// Guards against an owner that runs keys of other incarnations, and against an
// answer that does not survive the way through a message.
func TestGuardServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 2, testSeed)
		owner := f.vm(0).guard
		theirs := f.vm(1).guard.keys.Issue(time.Now())
		big := func(context.Context) (*Answer, error) { return NewAnswer(200, nil, make([]byte, 2<<20)), nil }
		cases := []struct {
			name    string
			forward *wire.Forward
			run     Run
			want    string
		}{
			{"earlier incarnation", &wire.Forward{Owner: 77, Key: "k", Deadline: 1000}, nil, "OwnerLost"},
			{"key of another VM", &wire.Forward{Owner: 1, Key: theirs, Deadline: 1000}, nil, "OwnerLost"},
			{"no time left", &wire.Forward{Owner: 1, Key: owner.keys.Issue(time.Now())}, nil, "DeadlineShort"},
			{"large answer", &wire.Forward{Owner: 1, Key: "big", Deadline: 1000}, big, "AnswerDropped"},
		}
		for _, c := range cases {
			if got := owner.Serve(t.Context(), c.forward, c.run).GetKind(); got != c.want {
				t.Errorf("%s: got %q, want %s", c.name, got, c.want)
			}
		}
		call := Call{
			Account: "a", Key: "k", Method: "POST", Host: "h", Target: "/t?q=1", ID: "7",
			Header: map[string][]string{"Accept": {"a", "b"}}, Body: []byte("body"),
		}
		got := CallOf(message(t.Context(), owner.self(), &call))
		if fmt.Sprint(got) != fmt.Sprint(call) {
			t.Errorf("got %v, want %v", got, call)
		}
		in := NewAnswer(201, map[string][]string{"Location": {"/o/1"}}, []byte("made"))
		out, err := result(reply(in))
		if err != nil || fmt.Sprint(*in) != fmt.Sprint(*out) {
			t.Errorf("got %v %v, want %v", out, err, in)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against forged and altered keys, and against two spellings of one key.
func TestKeys(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	self := NewOwner(42, "10.0.0.1:7000")
	keys := NewKeys(secret, self)
	key := keys.Issue(now)
	got, ok, err := keys.Parse(key)
	if err != nil || !ok || got.Owner() != self || !got.Expiry().Equal(now.Add(KeyLife)) {
		t.Fatalf("parsed %v %v %v", got, ok, err)
	}
	if key == keys.Issue(now) {
		t.Error("two keys are the same")
	}
	bad := []string{
		"", strings.Repeat("x", 256), issuedPrefix, issuedPrefix + "AAAA",
		key + "\n", key + "=", key[:len(key)-1],
		NewKeys([]byte("another"), self).Issue(now),
	}
	for i := len(issuedPrefix); i < len(key); i++ {
		for _, c := range []byte("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_") {
			altered := []byte(key)
			altered[i] = c
			if !bytes.Equal(altered, []byte(key)) {
				bad = append(bad, string(altered))
			}
		}
	}
	for _, text := range bad {
		if _, _, err := keys.Parse(text); fault.Of(err) != fault.KeyInvalid {
			t.Errorf("%q: got %v", text, err)
		}
	}
	if _, ok, err := keys.Parse("order 17"); ok || err != nil {
		t.Errorf("own key: %v %v", ok, err)
	}
}
