package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/admin"
	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/caller"
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
	// connectTime bounds a connection attempt where another server can be tried: a
	// path that is cut shows as silence, and the longest one takes 40 ms.
	connectTime = 200 * time.Millisecond
	maxBody     = 64 << 20 // Bytes of a request body; the service of its route may allow less.
)

// part returns a part of the VM. Parts that use each other, such as peers and
// members, look their partner up with it when they are called. The container that
// a provider is given would refuse that as a circular dependency, as it remembers
// who asked for whom.
func part[T any](v *VM) T { return do.MustInvoke[T](v.parts) }

// assemble registers the parts.
func (v *VM) assemble(ctx context.Context, counters *metrics.Set) {
	i := do.New()
	v.parts = i
	do.ProvideValue(i, counters)
	do.Provide(i, func(do.Injector) (*store.Client, error) {
		return store.NewHTTP(v.settings.Platform.URL, http.DefaultClient), nil
	})
	do.Provide(i, func(do.Injector) (*board.Board, error) { return board.New(v.health.controller()), nil })
	do.Provide(i, v.newProxy)
	do.Provide(i, v.newPeer)
	do.Provide(i, v.newMembers)
	self := idem.NewOwner(v.incarnation, v.PeerAddr())
	do.ProvideValue(i, idem.NewKeyIssuer([]byte(v.settings.Peer.Secret), self))
	do.Provide(i, func(do.Injector) (*idem.Ledger, error) { return idem.NewLedger(ctx, ledgerKeys, ledgerBytes), nil })
	do.Provide(i, func(do.Injector) (*idem.Guard, error) { return v.newGuard(ctx, self), nil })
	do.Provide(i, func(do.Injector) (*deploy.Follower, error) { return v.newFollower(ctx) })
	do.Provide(i, v.newPublisher)
	do.Provide(i, v.newAdmin)
	traffic := part[*proxy.Handler](v)
	v.health.flights, v.health.apply = traffic.Inflight, traffic.SetWeights
	v.health.others = traffic.SetPeerInflight
	v.health.tell = func(events []*wire.Event, urgent bool) { part[*member.Driver](v).QueueEvents(events, urgent) }
	v.callers = v.newCallers()
	handler := v.callers.handler()
	if v.opts.ReleaseSource != nil {
		handler = traffic // Paths and keys are the platform's; none is the fleet's own.
	}
	v.server = caller.New(handler, v.callerLimits(), counters)
	v.registerGauges(counters)
	v.probes = newProbes(ctx, newProber(v.Alive, func(service, server string, ok bool, took time.Duration) {
		_ = part[*board.Board](v).Do(ctx, func(now time.Time) { v.health.probe(now, service, server, ok, took) })
	}))
}

func (v *VM) newProxy(do.Injector) (*proxy.Handler, error) {
	// These two serve every request, so they are looked up once.
	control := part[*board.Board](v)
	opts := proxy.Options{
		Dialect:         v.opts.Dialect,
		Seed:            v.incarnation,
		AnonymousRate:   v.settings.Limits.Rate,
		AnonymousBurst:  v.settings.Limits.Burst,
		BodyReadTimeout: v.settings.Limits.ReadTime.Std(),
		Sample:          func(s board.Sample) { control.Post(s) },
		Metrics:         part[*metrics.Set](v),
		Log:             v.log,
	}
	if v.opts.ReleaseSource == nil {
		opts.RunOnce = part[*idem.Guard](v).Do
	} else {
		// Bytes between zones are dear, and with the profile switch all VMs share what
		// each sees. Without it there is no preference: VMs in a slow zone would see
		// little of the others and eject its servers (replay traces zone and stall).
		opts.Zone = v.settings.Zone
		opts.ConnectTimeout = connectTime
	}
	return proxy.New(opts), nil
}

func (v *VM) newPeer(do.Injector) (*peer.Peer, error) {
	files, err := readPeerFiles(v.settings.Peer)
	if err != nil {
		return nil, err
	}
	members := func() *member.Driver { return part[*member.Driver](v) }
	opts := peer.Options{
		SharedKey:   []byte(v.settings.Peer.Secret),
		CA:          files[0],
		Cert:        files[1],
		CertKey:     files[2],
		Self:        func() *wire.Member { return members().SelfRecord() },
		Listen:      func() (net.Listener, error) { return v.listeners.peer, nil },
		OnHeartbeat: func(l *peer.Link, h *wire.Heartbeat) { members().OnHeartbeat(l, h) },
		OnLink:      func(l *peer.Link, up bool) { members().OnLink(l, up) },
		Metrics:     part[*metrics.Set](v),
	}
	if v.opts.ReleaseSource == nil {
		opts.OnFetch = func(_ context.Context, f *wire.Fetch) (*wire.Chunks, error) {
			head, chunks := part[*deploy.Follower](v).HandleFetch(f.GetDigests())
			return &wire.Chunks{Head: head, Chunks: chunks}, nil
		}
		opts.OnForward = func(ctx context.Context, f *wire.Forward) (*wire.Reply, error) {
			return v.serveForward(ctx, f), nil
		}
	}
	return peer.New(opts)
}

// serveForward runs a request that another VM handed over as this VM owns its key.
func (v *VM) serveForward(ctx context.Context, f *wire.Forward) *wire.Reply {
	guard := part[*idem.Guard](v)
	handler := part[*proxy.Handler](v)
	return guard.ServeForwarded(ctx, f, func(ctx context.Context) (*idem.Response, error) {
		return handler.DispatchForwarded(ctx, idem.CallFromWire(f))
	})
}

// readPeerFiles returns the PEM data of CA, certificate and key; all nil when
// settings name none.
func readPeerFiles(p conf.Peer) ([3][]byte, error) {
	var out [3][]byte
	for n, name := range []string{p.CAFile, p.CertFile, p.KeyFile} {
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

func (v *VM) newMembers(do.Injector) (*member.Driver, error) {
	b := part[*board.Board](v)
	opts := member.Options{
		Self:  member.NewMember(v.settings.Name, v.incarnation, v.settings.Zone, v.PeerAddr(), v.EntryAddr()),
		Seeds: v.settings.Peer.Seeds,
		Link: func(ctx context.Context, addr string) (*peer.Link, error) {
			return part[*peer.Peer](v).Link(ctx, addr)
		},
		DiscoverVMs: v.opts.DiscoverVMs,
		Reports:     v.health.published,
		OnReports: func(reports []*wire.Report) {
			_ = b.Do(context.Background(), func(now time.Time) { v.health.merge(now, reports) })
		},
		OnEvents: func(events []*wire.Event) {
			_ = b.Do(context.Background(), func(now time.Time) { v.health.hear(now, events) })
		},
		FullMeshMaxVMs: v.settings.Peer.FullMeshMaxVMs,
		OnChange:       v.logMember,
		OnReplaced:     func() { v.Drain() },
		Metrics:        part[*metrics.Set](v),
	}
	if v.opts.ReleaseSource == nil {
		opts.DiscoverVMs = part[*store.Client](v).ListVMs
		opts.Generation = func() uint64 { return part[*deploy.Follower](v).Generation() }
		opts.OnNewerGeneration = func(addr string, generation uint64) {
			part[*deploy.Follower](v).ObservePeerGeneration(addr, generation)
		}
	}
	if v.opts.LatestRevisions != nil {
		opts.Generation = func() uint64 { config, _ := v.opts.LatestRevisions(); return config }
		opts.OnNewerGeneration = func(_ string, generation uint64) { v.opts.ObservePeerRevisions(generation, 0) }
		opts.Roster = func() uint64 { _, servers := v.opts.LatestRevisions(); return servers }
		opts.OnNewerRoster = func(roster uint64) { v.opts.ObservePeerRevisions(0, roster) }
	}
	return member.New(opts), nil
}

func (v *VM) logMember(c member.Change) {
	v.log.Info().Str("member", c.Member.ID()).Str("zone", c.Member.Zone()).
		Stringer("before", c.From).Stringer("state", c.Member.State()).Msg("member changed state")
}

func (v *VM) newGuard(ctx context.Context, self idem.Owner) *idem.Guard {
	guard := idem.NewGuard(
		part[*idem.KeyIssuer](v),
		part[*idem.Ledger](v),
		idem.NewClaims(ctx, part[*store.Client](v), self),
	)
	guard.Forward = func(ctx context.Context, addr string, f *wire.Forward) (*wire.Reply, error) {
		return part[*peer.Peer](v).Forward(ctx, addr, f)
	}
	return guard
}

func (v *VM) newFollower(ctx context.Context) (*deploy.Follower, error) {
	f := deploy.NewFollower(part[*store.Client](v))
	f.OnApply = func(rel *note.Release) { v.applyRelease(ctx, rel) }
	f.Fetch = func(ctx context.Context, addr string, digests [][]byte) (head []byte, chunks [][]byte, err error) {
		reply, err := part[*peer.Peer](v).Fetch(ctx, addr, &wire.Fetch{Digests: digests})
		return reply.GetHead(), reply.GetChunks(), err
	}
	f.Rand = rand.Float64
	f.RegisterMetrics(part[*metrics.Set](v))
	return f, nil
}

// apply returns the function that puts releases of the source into effect.
func (v *VM) apply(ctx context.Context) func(*note.Release, caller.Limits) {
	var once sync.Once
	return func(rel *note.Release, limits caller.Limits) {
		v.server.SetLimits(limits)
		v.applyRelease(ctx, rel)
		once.Do(func() { close(v.released) })
	}
}

// callerLimits returns the limits of the settings.
func (v *VM) callerLimits() caller.Limits {
	l := v.settings.Limits
	return caller.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: maxBody, ReadTime: l.ReadTime.Std(), IdleTime: l.IdleTime.Std(), Conns: l.Conns,
	}
}

// applyRelease puts a release into effect.
func (v *VM) applyRelease(ctx context.Context, rel *note.Release) {
	v.local.Lock()
	defer v.local.Unlock()
	v.release = rel
	v.putRelease(ctx)
	v.log.Info().Uint64("generation", rel.Generation()).Msg("release in effect")
}

// putRelease puts the part of the release that this VM uses into effect: routes first,
// so that callers of new routes are served, then the health decisions. The caller holds
// local.
func (v *VM) putRelease(ctx context.Context) {
	local := localize(v.release, v.place)
	handler := part[*proxy.Handler](v)
	handler.SetRelease(local)
	for _, s := range v.release.Services() {
		handler.SetPreferred(s.Name, v.place.home(s))
	}
	_ = part[*board.Board](v).Do(ctx, func(now time.Time) { v.health.setRelease(now, local) })
	v.probes.set(local.Services())
}

func (v *VM) newPublisher(do.Injector) (*deploy.Publisher, error) {
	p := deploy.NewPublisher(part[*store.Client](v))
	p.CachedRelease = part[*deploy.Follower](v).Release
	// The VM that publishes has the release at once; its peers learn of it by
	// heartbeat, whichever of them hold a watch.
	p.OnCommit = part[*deploy.Follower](v).ApplyCommitted
	p.Rand = rand.Float64
	p.RegisterMetrics(part[*metrics.Set](v))
	return p, nil
}

// publish takes in a release note from an operator.
func (v *VM) publish(ctx context.Context, data []byte) (uint64, error) {
	n, err := note.Parse(data)
	if err != nil {
		return 0, err
	}
	generation, err := part[*deploy.Publisher](v).Publish(ctx, n)
	if err != nil {
		return 0, err
	}
	v.log.Info().Str("note", n.ID).Uint64("generation", generation).Msg("release note accepted")
	return generation, nil
}

func (v *VM) newAdmin(do.Injector) (*operators, error) {
	publish := v.publish
	if v.opts.ReleaseSource != nil {
		publish = func(context.Context, []byte) (uint64, error) {
			return 0, fault.New(fault.Invalid, "this fleet takes its configuration from the platform, not from release notes")
		}
	}
	return &operators{admin.New(admin.Options{
		Token:        v.settings.Admin.Token,
		Publish:      publish,
		Dump:         func(ctx context.Context) (any, error) { return v.Dump(ctx) },
		Ready:        v.Ready,
		WriteMetrics: func(w http.ResponseWriter) { part[*metrics.Set](v).WritePrometheus(w) },
	})}, nil
}

// Ready returns nil when the VM takes callers, and otherwise the reason.
func (v *VM) Ready() error {
	if v.Generation() == 0 {
		return fault.New(fault.NotReady, "no release yet")
	}
	if v.callers.leaving.Load() {
		return fault.New(fault.Stopping, "leaving")
	}
	return nil
}

func (v *VM) newCallers() *callers {
	keys := part[*idem.KeyIssuer](v)
	return &callers{
		addresses: v.Addresses,
		issue: func(count int) []string {
			return lo.Times(count, func(int) string { return keys.Issue(time.Now()) })
		},
		ttl:   v.settings.Drain.TTL.Std(),
		life:  idem.KeyTTL,
		proxy: part[*proxy.Handler](v),
	}
}
