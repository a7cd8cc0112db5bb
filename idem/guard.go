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

// maxMessageBytes is the largest Forward or Reply that is sent between VMs, in bytes. It
// leaves room for framing below 1 MiB.
const maxMessageBytes = 1<<20 - 1<<10

// Guard executes requests with idempotency keys at most once.
type Guard struct {
	// Forward sends a request to the VM at the peer address and returns its reply. It
	// returns an error when that VM did not reply. It must not create a reply itself,
	// as only the owner knows whether the key has run.
	Forward func(ctx context.Context, peer string, f *wire.Forward) (*wire.Reply, error)

	keys   *KeyIssuer
	ledger *Ledger
	claims *Claims
}

// NewGuard returns a guard for the VM that owns the keys, ledger and claims. While
// Forward is nil, requests with keys of other VMs fail with OwnerLost.
func NewGuard(keys *KeyIssuer, ledger *Ledger, claims *Claims) *Guard {
	return &Guard{keys: keys, ledger: ledger, claims: claims}
}

// Do runs the call on the VM that owns its key, or returns the response of its
// first run. The run has the deadline of ctx. It continues when ctx is canceled, so that
// a repeat gets the response.
//
// An error whose kind says "not run" comes from the owner, which knows the
// history of the key; KeyMissing, KeyInvalid and KeyReused mean that the request
// itself is not acceptable.
func (g *Guard) Do(ctx context.Context, call Call, run RunFunc) (*Response, error) {
	owner, req, err := g.resolve(ctx, &call)
	if err != nil {
		return nil, err
	}
	if owner.incarnation == g.self().incarnation {
		return g.ledger.runOnce(ctx, req, run)
	}
	return g.forward(ctx, owner, &call)
}

// ServeForwarded executes a call that another VM has forwarded to this one as the owner
// of its key. It never forwards the call again.
func (g *Guard) ServeForwarded(ctx context.Context, f *wire.Forward, run RunFunc) *wire.Reply {
	if f.GetOwner() != g.self().incarnation {
		return errorReply(fault.New(fault.OwnerLost, "incarnation %d has ended", f.GetOwner()))
	}
	expiry := time.UnixMilli(f.GetExpiry())
	if !time.Now().Before(expiry) {
		return errorReply(fault.New(fault.OwnerLost, "the request expired on its way"))
	}
	ctx, stop := context.WithDeadline(ctx, expiry)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.GetDeadline())*time.Millisecond)
	defer cancel()
	call := CallFromWire(f)
	owner, req, err := g.resolve(ctx, &call)
	if err != nil {
		return errorReply(err)
	}
	if owner.incarnation != g.self().incarnation {
		return errorReply(fault.New(fault.OwnerLost, "the key belongs to incarnation %d", owner.incarnation))
	}
	response, err := g.ledger.runOnce(ctx, req, run)
	if err != nil {
		return errorReply(err)
	}
	return responseReply(response)
}

// CallFromWire converts a message to the call that it carries.
func CallFromWire(f *wire.Forward) Call {
	return Call{
		Account: f.GetAccount(),
		Key:     f.GetKey(),
		Method:  f.GetMethod(),
		Host:    f.GetHost(),
		Target:  f.GetTarget(),
		Header:  headersFromWire(f.GetHeaders()),
		Body:    f.GetBody(),
		ID:      f.GetId(),
	}
}

// WrapRanUnknown wraps the error of a request with a key that was refused before Do. The
// history of the key is unknown at that point, so an error whose kind says "not run"
// becomes ClaimFailed. Other errors are returned unchanged.
func WrapRanUnknown(err error) error {
	if err == nil || fault.KindOf(err).Response().Ran() != fault.No {
		return err
	}
	return fault.Wrap(fault.ClaimFailed, err, "refused without looking up the key")
}

func (g *Guard) self() Owner { return g.keys.self }

// resolve returns the owner of the call's key and the request as the ledger records it.
func (g *Guard) resolve(ctx context.Context, call *Call) (Owner, keyedRequest, error) {
	switch {
	case call.Key == "":
		return Owner{}, keyedRequest{}, fault.New(fault.KeyMissing, "no Idempotency-Key")
	case g.ledger == nil:
		return Owner{}, keyedRequest{}, fault.New(fault.ClaimFailed, "the guard was not made by NewGuard")
	}
	issued, ok, err := g.keys.Parse(call.Key)
	if err != nil {
		return Owner{}, keyedRequest{}, err
	}
	req := keyedRequest{key: call.keyDigest(), account: call.Account, request: call.requestDigest()}
	if ok {
		req.expiry = issued.expiry
		return issued.owner, req, nil
	}
	if req.expiry, ok = g.ledger.keyExpiry(time.Now(), req.key); ok {
		return g.self(), req, nil
	}
	got, err := g.claims.claim(ctx, req.key, req.request)
	if err != nil {
		return Owner{}, keyedRequest{}, err
	}
	if got.request != req.request {
		return Owner{}, keyedRequest{}, fault.New(fault.KeyReused, "the claim is for another request")
	}
	req.expiry = got.expiry
	return got.owner, req, nil
}

// forward sends the call to the owner of its key. Without a reply that says otherwise,
// the request may be running or have run there, so the error is OwnerLost.
func (g *Guard) forward(ctx context.Context, owner Owner, call *Call) (*Response, error) {
	if owner.peerAddr == g.self().peerAddr || g.Forward == nil {
		return nil, fault.New(fault.OwnerLost, "owner with incarnation %d at %s is not reachable", owner.incarnation, owner.peerAddr)
	}
	f := newForward(ctx, owner, call)
	if n := proto.Size(f); n > maxMessageBytes {
		return nil, fault.New(fault.OwnerLost, "request of %d bytes is too large to forward", n)
	}
	r, err := g.Forward(ctx, owner.peerAddr, f)
	if err != nil {
		return nil, fault.Wrap(fault.OwnerLost, err, "forward the request to the owner of its key")
	}
	return parseReply(r)
}

// newForward returns the message for the owner. Its absolute expiry keeps the owner from
// starting a request that was delayed on the way, and its deadline limits the run.
func newForward(ctx context.Context, owner Owner, call *Call) *wire.Forward {
	remaining := runTimeout(ctx)
	return &wire.Forward{
		Expiry:   time.Now().Add(remaining).UnixMilli(),
		Owner:    owner.incarnation,
		Key:      call.Key,
		Method:   call.Method,
		Host:     call.Host,
		Target:   call.Target,
		Headers:  headersToWire(call.Header),
		Body:     call.Body,
		Deadline: uint32(remaining.Milliseconds()),
		Account:  call.Account,
		Id:       call.ID,
	}
}

// parseReply returns the response or the error in the owner's reply. With a kind that
// this VM does not know, it is unknown whether the key ran, so the error is OwnerLost.
func parseReply(r *wire.Reply) (*Response, error) {
	kind := fault.ParseKind(r.GetKind())
	switch {
	case r.GetKind() != "" && r.GetKind() == kind.String():
		return nil, fault.New(kind, "refused by the owner of the key: %s", r.GetText())
	case r.GetKind() != "" || r.GetStatus() < 200 || r.GetStatus() > 599:
		return nil, fault.New(fault.OwnerLost, "owner sent an invalid reply with kind %q and status %d", r.GetKind(), r.GetStatus())
	}
	return NewResponse(int(r.GetStatus()), headersFromWire(r.GetHeaders()), r.GetBody()), nil
}

func errorReply(err error) *wire.Reply {
	return &wire.Reply{Kind: fault.KindOf(err).String(), Text: err.Error()}
}

func responseReply(resp *Response) *wire.Reply {
	r := &wire.Reply{Status: uint32(resp.status), Headers: headersToWire(resp.header), Body: resp.body}
	if n := proto.Size(r); n > maxMessageBytes {
		return errorReply(fault.New(fault.AnswerDropped, "answer of %d bytes cannot be forwarded", n))
	}
	return r
}

func headersToWire(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for _, name := range slices.Sorted(maps.Keys(h)) {
		out = append(out, &wire.Header{Name: name, Values: h[name]})
	}
	return out
}

func headersFromWire(headers []*wire.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out[h.GetName()] = h.GetValues()
	}
	return out
}
