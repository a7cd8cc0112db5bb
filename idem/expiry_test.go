package idem

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/wire"
)

// Guards against a forwarded request that runs after a repeat of it got a "not run" error.
// It comes about when a partition delays the forwarded message.
func TestForwardExpiresInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		secret := []byte("a secret of at least thirty-two bytes")
		owner, other := NewOwner(1, "127.0.0.1:1"), NewOwner(2, "127.0.0.1:2")
		keys := NewKeyIssuer(secret, owner)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ownerGuard := NewGuard(keys, NewLedger(ctx, 10, 1<<10), nil)
		senderGuard := NewGuard(NewKeyIssuer(secret, other), NewLedger(ctx, 10, 1<<10), nil)
		var delayed *wire.Forward
		senderGuard.Forward = func(ctx context.Context, _ string, f *wire.Forward) (*wire.Reply, error) {
			delayed = f
			<-ctx.Done()
			return nil, ctx.Err()
		}
		call := Call{Key: keys.Issue(time.Now()), Method: "POST", Target: "/orders/1"}
		callerCtx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		if _, err := senderGuard.Do(callerCtx, call, nil); fault.KindOf(err) != fault.OwnerLost {
			t.Fatalf("first request: %v, want OwnerLost", err)
		}
		refuse := func(context.Context) (*Response, error) { return nil, fault.New(fault.QueueFull, "full") }
		if _, err := ownerGuard.Do(ctx, call, refuse); fault.KindOf(err) != fault.QueueFull {
			t.Fatalf("repeat at the owner: %v, want QueueFull", err)
		}
		ran := false
		ownerGuard.ServeForwarded(ctx, delayed, func(context.Context) (*Response, error) {
			ran = true
			return NewResponse(200, nil, nil), nil
		})
		if ran {
			t.Error("the delayed request ran after its repeat got a not-run error")
		}
	})
}
