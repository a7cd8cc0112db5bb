package idem

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/seed"
	"github.com/azuredeal/azuredeal/wire"
)

// inFleet runs a test with three VMs, once with a key that the caller chose and once with
// a key that VM 0 issued. In both cases the request must run exactly once.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet, call Call)) {
	for _, name := range []string{"own", "issued"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t.Context(), 3, seed.For(t, testSeed))
				call := Call{Account: "a", Key: "order 17", Method: "POST", Target: "/orders", Body: []byte("2 signs")}
				if name == "issued" {
					call.Key = f.vm(0).keys.Issue(time.Now())
				}
				test(t, f, call)
				if n := f.count(call); n != 1 {
					t.Errorf("%d runs", n)
				}
			})
		})
	}
}

func wantKind(t *testing.T, what string, err error, want fault.Kind) {
	t.Helper()
	if err == nil || fault.KindOf(err) != want {
		t.Errorf("%s: got %v, want %v", what, err, want)
	}
}

// Guards against a repeated request that runs again or gets another response.
func TestGuardReturnsFirstResponse(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, call Call) {
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() {
				time.Sleep(time.Duration(i/3) * 4 * time.Millisecond)
				response, err := f.do(t.Context(), i%3, call)
				if err != nil || !strings.HasPrefix(string(response.Body()), "run 1") {
					t.Errorf("repeat %d: %v", i, err)
				}
			})
		}
		group.Wait()
	})
}

// Guards against a key that is accepted with a request other than its first one, and
// against an account that gets the response of another account.
func TestGuardScopesKeys(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, call Call) {
		_, err := f.do(t.Context(), 0, call)
		body, method, target, host, account := call, call, call, call, call
		body.Body, method.Method, target.Target = []byte("3 signs"), "PUT", "/orders?copy"
		host.Host, account.Account = "10.0.0.2:80", "b"
		for i := range 3 {
			for _, other := range []Call{body, method, target} {
				_, err := f.do(t.Context(), i, other)
				wantKind(t, fmt.Sprint(other.Method, other.Target, " at VM ", i), err, fault.KeyReused)
			}
		}
		if _, again := f.do(t.Context(), 2, host); err != nil || again != nil {
			t.Errorf("%v; with another host: %v", err, again)
		}
		if response, err := f.do(t.Context(), 1, account); err != nil || !strings.Contains(string(response.Body()), "of b") {
			t.Errorf("another account: %v", err)
		}
		body.Key = "refused"
		_, err = f.vm(0).Do(t.Context(), body, failsWith(fault.ServerRefused))
		wantKind(t, "refused", err, fault.ServerRefused)
		body.Body = nil
		_, err = f.do(t.Context(), 0, body)
		wantKind(t, "body differs from the claim", err, fault.KeyReused)
	})
}

// Guards against a second run of a key after its owner was killed, until the key expires.
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
	})
}

// Guards against a second run when the owner of a key pauses before it dispatches the
// request and resumes after the request was repeated at another VM.
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
		if _, err := f.do(t.Context(), 1, call); err != nil {
			t.Errorf("after it resumed: %v", err)
		}
	})
}

// Guards against a failed request when a claim was written but the response of the
// platform was lost, and against a run for a claim that was never confirmed.
func TestGuardLostPlatformResponse(t *testing.T) {
	for _, c := range []struct {
		applied    bool
		lost, runs int
	}{{true, 1, 1}, {false, 1, 1}, {false, 1000, 0}} {
		synctest.Test(t, func(t *testing.T) {
			f, lost, call := newFleet(t.Context(), 1, seed.For(t, testSeed)), 0, Call{Key: "k"}
			f.put = func(apply func() error) error {
				lost++
				if c.applied || lost > c.lost {
					if err := apply(); lost > c.lost {
						return err
					}
				}
				return errDown
			}
			_, err := f.do(t.Context(), 0, call)
			if c.runs == 0 {
				wantKind(t, "no write", err, fault.ClaimFailed)
			}
			if n := f.count(call); n != c.runs || (err == nil) != (n == 1) {
				t.Errorf("%+v: %d runs, %v", c, n, err)
			}
		})
	}
}

// Guards against keys that fail in a platform outage although their owner is known,
// against "not run" errors for keys whose owner is unknown, and against a call to the
// platform for each request.
func TestGuardPlatformOutage(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet, call Call) {
		do := func(what string, i int, call Call) {
			if _, err := f.do(t.Context(), i, call); err != nil {
				t.Errorf("%s at VM %d: %v", what, i, err)
			}
		}
		do("new key", 0, call)
		do("repeat", 1, call)
		calls, newCall := 0, Call{Account: "a", Key: "new"}
		f.get = func() error { calls++; return errDown }
		f.vm(0).claims.recent = map[digest]claim{} // The ledger still knows the key.
		do("known key", 0, call)
		do("known key", 1, call)
		do("issued key", 1, Call{Key: f.vm(2).keys.Issue(time.Now())})
		for range 1000 {
			_, err := f.do(t.Context(), 1, newCall)
			wantKind(t, "new key", err, fault.ClaimFailed)
			time.Sleep(10 * time.Millisecond)
		}
		if f.count(newCall) != 0 || calls > 50 {
			t.Errorf("%d runs, %d calls to the platform in 10 s", f.count(newCall), calls)
		}
		f.get = func() error { return nil }
		time.Sleep(maxBackoff)
		do("after the outage", 1, newCall)
	})
}

// Guards against treating a missing or invalid reply as "not run" or as a response, and
// against a VM that runs forwarded keys of other owners.
func TestGuardAmbiguousReplies(t *testing.T) {
	large := make([]byte, 2<<20)
	for _, c := range []struct {
		name  string
		reply *wire.Reply
		err   error
		body  []byte
		want  fault.Kind
	}{
		{"refused by the transport", nil, fault.New(fault.Stopping, "x"), nil, fault.OwnerLost},
		{"nothing", nil, nil, nil, fault.OwnerLost},
		{"no status", &wire.Reply{}, nil, nil, fault.OwnerLost},
		{"unknown kind", &wire.Reply{Kind: "NotYetKnown", Status: 200}, nil, nil, fault.OwnerLost},
		{"refused by the owner", &wire.Reply{Kind: "ServerRefused"}, nil, nil, fault.ServerRefused},
		{"large request", &wire.Reply{Status: 200}, nil, large, fault.OwnerLost},
	} {
		v := newFleet(t.Context(), 1, seed.For(t, testSeed)).vm(0)
		v.Forward = func(context.Context, string, *wire.Forward) (*wire.Reply, error) { return c.reply, c.err }
		key := NewKeyIssuer(secret, NewOwner(99, "10.0.0.9:7000")).Issue(time.Now())
		_, err := v.Do(t.Context(), Call{Key: key, Body: c.body}, nil)
		wantKind(t, c.name, err, c.want)
	}
	f := newFleet(t.Context(), 2, seed.For(t, testSeed))
	owner := f.vm(0)
	for want, m := range map[string]*wire.Forward{
		"OwnerLost: incarnation 77": {Owner: 77, Key: owner.keys.Issue(time.Now()), Deadline: 1000},
		"OwnerLost: the key":        {Owner: 1, Key: f.vm(1).keys.Issue(time.Now()), Deadline: 1000},
		"DeadlineShort":             {Owner: 1, Key: owner.keys.Issue(time.Now())},
		"AnswerDropped":             {Owner: 1, Key: owner.keys.Issue(time.Now()), Deadline: 1000},
	} {
		m.Expiry = time.Now().Add(time.Minute).UnixMilli()
		if got := owner.ServeForwarded(t.Context(), m, respondsWith(string(large))); !strings.HasPrefix(got.GetText(), want) {
			t.Errorf("got %q, want %s", got.GetText(), want)
		}
	}
	_, err := (&Guard{}).Do(t.Context(), Call{Key: "k"}, nil)
	wantKind(t, "guard without a ledger", err, fault.ClaimFailed)
	kind := fault.KindOf(WrapRanUnknown(fault.New(fault.AccountLimited, "x")))
	if kind.Response().Ran() != fault.Unknown || fault.KindOf(WrapRanUnknown(errDown)) != fault.PlatformDown {
		t.Errorf("error of a request refused before its key was looked up has kind %v", kind)
	}
}

// Guards against losing a field of a call or a response in its message between VMs.
func TestWireRoundTrip(t *testing.T) {
	call := Call{
		Account: "a", Key: "k", Method: "POST", Host: "h", Target: "/t?q=1", ID: "7",
		Header: map[string][]string{"Accept": {"a", "b"}}, Body: []byte("body"),
	}
	if got := CallFromWire(newForward(t.Context(), Owner{}, &call)); fmt.Sprint(got) != fmt.Sprint(call) {
		t.Errorf("got %v, want %v", got, call)
	}
	in := NewResponse(201, map[string][]string{"Location": {"/o/1"}}, []byte("made"))
	if out, err := parseReply(responseReply(in)); err != nil || fmt.Sprint(*in) != fmt.Sprint(*out) {
		t.Errorf("got %v %v, want %v", out, err, in)
	}
}

// Guards against accepting forged or altered keys, and against two encodings of one key.
func TestIssuedKeys(t *testing.T) {
	now, self := time.Unix(1_800_000_000, 0), NewOwner(42, "10.0.0.1:7000")
	keys := NewKeyIssuer(secret, self)
	key := keys.Issue(now)
	got, ok, err := keys.Parse(key)
	if err != nil || !ok || got.Owner() != self || !got.Expiry().Equal(now.Add(KeyTTL)) || key == keys.Issue(now) {
		t.Fatalf("parsed %v %v %v", got, ok, err)
	}
	invalid := []string{
		"", strings.Repeat("x", 256), issuedPrefix, issuedPrefix + "AAAA",
		key + "\n", key + "=", key[:len(key)-1], NewKeyIssuer([]byte("another"), self).Issue(now),
	}
	const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	for i := len(issuedPrefix); i < len(key); i++ {
		for _, c := range alphabet {
			if string(c) != key[i:i+1] {
				invalid = append(invalid, key[:i]+string(c)+key[i+1:])
			}
		}
	}
	for _, text := range invalid {
		if _, _, err := keys.Parse(text); fault.KindOf(err) != fault.KeyInvalid {
			t.Errorf("%q: got %v", text, err)
		}
	}
	if _, ok, err := keys.Parse("order 17"); ok || err != nil {
		t.Errorf("key that the caller chose: %v %v", ok, err)
	}
}
