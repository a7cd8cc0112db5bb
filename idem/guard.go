package idem

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/wire"
)

// messageMost is the largest message between VMs, less what frames it, in bytes.
const messageMost = 1<<20 - 1<<10

// Guard runs keyed requests at most once.
type Guard struct {
	// Forward hands a request to the VM at the peer address and returns its
	// reply. It returns an error when that VM did not reply; it must not make up
	// a reply, as only the owner knows whether the key has run.
	Forward func(ctx context.Context, peer string, f *wire.Forward) (*wire.Reply, error)

	keys   *KeyIssuer
	ledger *Ledger
	claims *Claims
}

// NewGuard returns a guard for the VM that owns the keys, ledger and claims. While
// Forward is nil, keys of other VMs are answered OwnerLost.
func NewGuard(keys *KeyIssuer, ledger *Ledger, claims *Claims) *Guard {
	return &Guard{keys: keys, ledger: ledger, claims: claims}
}

// Do runs the call on the VM that owns its key, or returns the answer of its
// first run. The run has the deadline of ctx. It goes on when ctx is canceled,
// so that a repeat gets the answer.
//
// An error whose kind says "not run" comes from the owner, which knows the
// history of the key; KeyMissing, KeyInvalid and KeyReused are about the request.
func (g *Guard) Do(ctx context.Context, call Call, run RunFunc) (*Response, error) {
	owner, it, err := g.resolve(ctx, &call)
	if err != nil {
		return nil, err
	}
	if owner.incarnation == g.self().incarnation {
		return g.ledger.do(ctx, it, run)
	}
	return g.forward(ctx, owner, &call)
}

// ServeForwarded runs a call that another VM has forwarded to this one as the owner of its
// key. It never forwards.
func (g *Guard) ServeForwarded(ctx context.Context, f *wire.Forward, run RunFunc) *wire.Reply {
	if f.GetOwner() != g.self().incarnation {
		return refusal(fault.New(fault.OwnerLost, "incarnation %d has ended", f.GetOwner()))
	}
	expiry := time.UnixMilli(f.GetExpiry())
	if !time.Now().Before(expiry) {
		return refusal(fault.New(fault.OwnerLost, "the request expired on its way"))
	}
	ctx, stop := context.WithDeadline(ctx, expiry)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.GetDeadline())*time.Millisecond)
	defer cancel()
	call := CallFromWire(f)
	owner, it, err := g.resolve(ctx, &call)
	if err != nil {
		return refusal(err)
	}
	if owner.incarnation != g.self().incarnation {
		return refusal(fault.New(fault.OwnerLost, "the key belongs to incarnation %d", owner.incarnation))
	}
	answer, err := g.ledger.do(ctx, it, run)
	if err != nil {
		return refusal(err)
	}
	return reply(answer)
}

// CallFromWire returns the call that a message carries.
func CallFromWire(f *wire.Forward) Call {
	return Call{
		Account: f.GetAccount(),
		Key:     f.GetKey(),
		Method:  f.GetMethod(),
		Host:    f.GetHost(),
		Target:  f.GetTarget(),
		Header:  fromWire(f.GetHeaders()),
		Body:    f.GetBody(),
		ID:      f.GetId(),
	}
}

// WrapRanUnknown returns err for a keyed request that was refused before Do. Whoever
// refuses there does not know the history of the key, so an error that would say
// "not run" becomes ClaimFailed.
func WrapRanUnknown(err error) error {
	if err == nil || fault.KindOf(err).Response().Ran() != fault.No {
		return err
	}
	return fault.Wrap(fault.ClaimFailed, err, "refused without looking up the key")
}

func (g *Guard) self() Owner { return g.keys.self }

// resolve returns the owner of the call's key.
func (g *Guard) resolve(ctx context.Context, call *Call) (Owner, item, error) {
	switch {
	case call.Key == "":
		return Owner{}, item{}, fault.New(fault.KeyMissing, "no Idempotency-Key")
	case g.ledger == nil:
		return Owner{}, item{}, fault.New(fault.ClaimFailed, "the guard was not made by NewGuard")
	}
	issued, ok, err := g.keys.Parse(call.Key)
	if err != nil {
		return Owner{}, item{}, err
	}
	it := item{key: call.keyDigest(), account: call.Account, body: call.bodyDigest()}
	if ok {
		it.expiry = issued.expiry
		return issued.owner, it, nil
	}
	if it.expiry, ok = g.ledger.known(time.Now(), it.key); ok {
		return g.self(), it, nil
	}
	got, err := g.claims.claim(ctx, it.key, it.body)
	if err != nil {
		return Owner{}, item{}, err
	}
	if got.body != it.body {
		return Owner{}, item{}, fault.New(fault.KeyReused, "the claim is for another request")
	}
	it.expiry = got.expiry
	return got.owner, it, nil
}

// forward asks the owner. Without a reply that says otherwise, the key may run
// or have run there.
func (g *Guard) forward(ctx context.Context, owner Owner, call *Call) (*Response, error) {
	if owner.peer == g.self().peer || g.Forward == nil {
		return nil, fault.New(fault.OwnerLost, "incarnation %d at %s cannot be asked", owner.incarnation, owner.peer)
	}
	f := message(ctx, owner, call)
	if n := proto.Size(f); n > messageMost {
		return nil, fault.New(fault.OwnerLost, "request of %d bytes cannot be forwarded", n)
	}
	r, err := g.Forward(ctx, owner.peer, f)
	if err != nil {
		return nil, fault.Wrap(fault.OwnerLost, err, "forward to the owner of the key")
	}
	return result(r)
}

func message(ctx context.Context, owner Owner, call *Call) *wire.Forward {
	left := timeLeft(ctx)
	return &wire.Forward{
		Expiry:   time.Now().Add(left).UnixMilli(),
		Owner:    owner.incarnation,
		Key:      call.Key,
		Method:   call.Method,
		Host:     call.Host,
		Target:   call.Target,
		Headers:  toWire(call.Header),
		Body:     call.Body,
		Deadline: uint32(left.Milliseconds()),
		Account:  call.Account,
		Id:       call.ID,
	}
}

// result returns what the owner's reply says. A kind that this VM does not know
// leaves open whether the key ran.
func result(r *wire.Reply) (*Response, error) {
	kind := fault.ParseKind(r.GetKind())
	switch {
	case r.GetKind() != "" && r.GetKind() == kind.String():
		return nil, fault.New(kind, "the owner of the key: %s", r.GetText())
	case r.GetKind() != "" || r.GetStatus() < 200 || r.GetStatus() > 599:
		return nil, fault.New(fault.OwnerLost, "reply with kind %q and status %d", r.GetKind(), r.GetStatus())
	}
	return NewResponse(int(r.GetStatus()), fromWire(r.GetHeaders()), r.GetBody()), nil
}

func refusal(err error) *wire.Reply {
	return &wire.Reply{Kind: fault.KindOf(err).String(), Text: err.Error()}
}

func reply(a *Response) *wire.Reply {
	r := &wire.Reply{Status: uint32(a.status), Headers: toWire(a.header), Body: a.body}
	if n := proto.Size(r); n > messageMost {
		return refusal(fault.New(fault.AnswerDropped, "answer of %d bytes cannot be forwarded", n))
	}
	return r
}

func toWire(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for _, name := range slices.Sorted(maps.Keys(h)) {
		out = append(out, &wire.Header{Name: name, Values: h[name]})
	}
	return out
}

func fromWire(headers []*wire.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out[h.GetName()] = h.GetValues()
	}
	return out
}
