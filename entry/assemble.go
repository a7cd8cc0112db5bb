package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/admin"
	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/idem"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/peer"
	"github.com/azuredeal/azuredeal/proxy"
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	ledgerKeys  = 200_000  // Keys of one hour at about 50 a second.
	ledgerBytes = 16 << 20 // Of answers that are kept.
)

// assemble registers the parts. Peers call into members, the guard and the
// release, which in turn use peers; the closures look their partner up when they
// are called, so the order of construction does not matter.
func (v *VM) assemble(ctx context.Context) {
	i := do.New()
	v.parts = i
	do.ProvideValue(i, v.settings)
	do.ProvideValue(i, metrics.NewSet())
	do.Provide(i, func(do.Injector) (*store.Client, error) {
		return store.NewHTTP(v.settings.Platform.URL, http.DefaultClient), nil
	})
	do.Provide(i, func(do.Injector) (*board.Board, error) { return board.New(v.health.controller()), nil })
	do.Provide(i, v.newProxy)
	do.Provide(i, v.newPeer)
	do.Provide(i, v.newMembers)
	do.Provide(i, func(do.Injector) (*idem.Ledger, error) { return idem.NewLedger(ctx, ledgerKeys, ledgerBytes), nil })
	do.Provide(i, func(i do.Injector) (*idem.Guard, error) { return v.newGuard(ctx, i) })
	do.Provide(i, func(i do.Injector) (*deploy.Follower, error) { return v.newFollower(ctx, i) })
	do.Provide(i, v.newPublisher)
	do.Provide(i, v.newAdmin)
	v.health.flights = func() []board.Flight { return do.MustInvoke[*proxy.Handler](i).Flights() }
	v.health.apply = func(service string, weights map[string]float64) {
		do.MustInvoke[*proxy.Handler](i).SetWeights(service, weights)
	}
	v.callers = v.newCallers(i)
	v.probes = newProbes(ctx, newProber(v.Alive, func(service, server string, ok bool, took time.Duration) {
		_ = do.MustInvoke[*board.Board](i).Do(ctx, func(now time.Time) { v.health.probe(now, service, server, ok, took) })
	}))
}

func (v *VM) newProxy(i do.Injector) (*proxy.Handler, error) {
	return proxy.New(proxy.Options{
		Zone:           v.settings.Zone,
		Seed:           v.incarnation,
		AnonymousRate:  v.settings.Limits.Rate,
		AnonymousBurst: v.settings.Limits.Burst,
		BodyTime:       v.settings.Limits.Read.Std(),
		Sample:         func(s board.Sample) { do.MustInvoke[*board.Board](i).Post(s) },
		Once: func(ctx context.Context, c idem.Call, run idem.Run) (*idem.Answer, error) {
			return do.MustInvoke[*idem.Guard](i).Do(ctx, c, run)
		},
		Metrics: do.MustInvoke[*metrics.Set](i),
	}), nil
}

func (v *VM) newPeer(i do.Injector) (*peer.Peer, error) {
	files, err := readPeerFiles(v.settings.Peer)
	if err != nil {
		return nil, err
	}
	members := func() *member.Service { return do.MustInvoke[*member.Service](i) }
	return peer.New(peer.Options{
		Key:     []byte(v.settings.Peer.Secret),
		CA:      files[0],
		Cert:    files[1],
		CertKey: files[2],
		Self:    func() *wire.Member { return members().Record() },
		Listen:  func() (net.Listener, error) { return v.listeners.peer, nil },
		OnFetch: func(_ context.Context, f *wire.Fetch) (*wire.Chunks, error) {
			head, chunks := do.MustInvoke[*deploy.Follower](i).Serve(f.GetDigests())
			return &wire.Chunks{Head: head, Chunks: chunks}, nil
		},
		OnForward: func(ctx context.Context, f *wire.Forward) (*wire.Reply, error) {
			return v.serveForward(ctx, i, f), nil
		},
		OnHeartbeat: func(l *peer.Link, h *wire.Heartbeat) { members().OnHeartbeat(l, h) },
		OnLink:      func(l *peer.Link, up bool) { members().OnLink(l, up) },
		Metrics:     do.MustInvoke[*metrics.Set](i),
	})
}

// serveForward runs a request that another VM handed over as this VM owns its key.
func (v *VM) serveForward(ctx context.Context, i do.Injector, f *wire.Forward) *wire.Reply {
	guard := do.MustInvoke[*idem.Guard](i)
	handler := do.MustInvoke[*proxy.Handler](i)
	return guard.Serve(ctx, f, func(ctx context.Context) (*idem.Answer, error) {
		return handler.Dispatch(ctx, idem.CallOf(f))
	})
}

// readPeerFiles returns the PEM data of CA, certificate and key; all nil when
// settings name none.
func readPeerFiles(p conf.Peer) ([3][]byte, error) {
	var out [3][]byte
	for n, name := range []string{p.CA, p.Cert, p.Key} {
		if name == "" {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return out, errors.Wrap(err, "certificates for peers")
		}
		out[n] = data
	}
	return out, nil
}

func (v *VM) newMembers(i do.Injector) (*member.Service, error) {
	b := do.MustInvoke[*board.Board](i)
	return member.New(member.Options{
		Self:  member.NewMember(v.settings.Name, v.incarnation, v.settings.Zone, v.PeerAddr(), v.EntryAddr()),
		Seeds: v.settings.Peer.Seeds,
		Link: func(ctx context.Context, addr string) (*peer.Link, error) {
			return do.MustInvoke[*peer.Peer](i).Link(ctx, addr)
		},
		Hints:      do.MustInvoke[*store.Client](i).VMs,
		Reports:    v.health.published,
		Generation: func() uint64 { return do.MustInvoke[*deploy.Follower](i).Generation() },
		OnReports: func(reports []*wire.Report) {
			_ = b.Do(context.Background(), func(now time.Time) { v.health.merge(now, reports) })
		},
		OnGeneration: func(addr string, generation uint64) {
			do.MustInvoke[*deploy.Follower](i).Offer(addr, generation)
		},
		OnChange:   v.logMember,
		OnReplaced: func() { v.Drain() },
		Metrics:    do.MustInvoke[*metrics.Set](i),
	}), nil
}

func (v *VM) logMember(c member.Change) {
	v.log.Info().Str("member", c.Member.ID()).Str("zone", c.Member.Zone()).
		Stringer("before", c.From).Stringer("state", c.Member.State()).Msg("member changed state")
}

func (v *VM) newGuard(ctx context.Context, i do.Injector) (*idem.Guard, error) {
	self := idem.NewOwner(v.incarnation, v.PeerAddr())
	guard := idem.NewGuard(
		idem.NewKeys([]byte(v.settings.Peer.Secret), self),
		do.MustInvoke[*idem.Ledger](i),
		idem.NewClaims(ctx, do.MustInvoke[*store.Client](i), self),
	)
	guard.Forward = func(ctx context.Context, addr string, f *wire.Forward) (*wire.Reply, error) {
		return do.MustInvoke[*peer.Peer](i).Forward(ctx, addr, f)
	}
	return guard, nil
}

func (v *VM) newFollower(ctx context.Context, i do.Injector) (*deploy.Follower, error) {
	f := deploy.NewFollower(do.MustInvoke[*store.Client](i))
	f.Apply = func(rel *note.Release) { v.applyRelease(ctx, i, rel) }
	f.Fetch = func(ctx context.Context, addr string, digests [][]byte) (head []byte, chunks [][]byte, err error) {
		reply, err := do.MustInvoke[*peer.Peer](i).Fetch(ctx, addr, &wire.Fetch{Digests: digests})
		return reply.GetHead(), reply.GetChunks(), err
	}
	f.Rand = rand.Float64
	return f, nil
}

// applyRelease puts a release into effect: routes first, so that callers of new
// routes are served, then the health decisions.
func (v *VM) applyRelease(ctx context.Context, i do.Injector, rel *note.Release) {
	local := localize(rel, v.settings.Name)
	do.MustInvoke[*proxy.Handler](i).SetRelease(local)
	_ = do.MustInvoke[*board.Board](i).Do(ctx, func(now time.Time) { v.health.setRelease(now, local) })
	v.probes.set(local.Services())
	v.log.Info().Uint64("generation", rel.Generation()).Msg("release in effect")
}

func (v *VM) newPublisher(i do.Injector) (*deploy.Publisher, error) {
	p := deploy.NewPublisher(do.MustInvoke[*store.Client](i))
	p.Current = do.MustInvoke[*deploy.Follower](i).Release
	p.Rand = rand.Float64
	return p, nil
}

// publish takes in a release note from an operator.
func (v *VM) publish(ctx context.Context, data []byte) (uint64, error) {
	n, err := note.Parse(data)
	if err != nil {
		return 0, err
	}
	generation, err := do.MustInvoke[*deploy.Publisher](v.parts).Publish(ctx, n)
	if err != nil {
		return 0, err
	}
	v.log.Info().Str("note", n.ID).Uint64("generation", generation).Msg("release note accepted")
	return generation, nil
}

func (v *VM) newAdmin(i do.Injector) (*operators, error) {
	return &operators{admin.New(admin.Options{
		Token:   v.settings.Admin.Token,
		Publish: v.publish,
		Dump:    func(ctx context.Context) (any, error) { return v.Dump(ctx) },
		Ready:   v.ready,
		Gauges:  func(w http.ResponseWriter) { do.MustInvoke[*metrics.Set](i).WritePrometheus(w) },
	})}, nil
}

func (v *VM) ready() error {
	if v.Generation() == 0 {
		return fault.New(fault.NotReady, "no release yet")
	}
	if v.callers.leaving.Load() {
		return fault.New(fault.Stopping, "leaving")
	}
	return nil
}

func (v *VM) newCallers(i do.Injector) *callers {
	keys := idem.NewKeys([]byte(v.settings.Peer.Secret), idem.NewOwner(v.incarnation, v.PeerAddr()))
	return &callers{
		addresses: v.addresses,
		issue: func(count int) []string {
			return lo.Times(count, func(int) string { return keys.Issue(time.Now()) })
		},
		ttl:   v.settings.Drain.TTL.Std(),
		life:  idem.KeyLife,
		proxy: do.MustInvoke[*proxy.Handler](i),
	}
}
