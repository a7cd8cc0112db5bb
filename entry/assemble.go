package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/admin"
	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/caller"
	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/idem"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
	"github.com/azuredeal/azuredeal/internal/fleet/feed"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/peer"
	"github.com/azuredeal/azuredeal/proxy"
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	maxLedgerKeys  = 200_000  // One hour of keys at about 50 per second.
	maxLedgerBytes = 16 << 20 // Total size of the stored responses, for a budget of 128 MiB or more.
	ledgerDivisor  = 8        // With a smaller budget they take this part of it, beside it.
	// connectTimeout limits a connection attempt when another server can be tried. A
	// network partition drops packets without an error, and the longest path takes 40 ms.
	connectTimeout = 200 * time.Millisecond
	maxBodyBytes   = 64 << 20 // Of a request; the service of its route may allow less.
)

// component returns the component of type T from the VM's dependency injection container.
// Components that depend on each other, such as peer and member, look each other up
// lazily with it. The injector that a provider receives records which component asked for
// which, and would reject the lookup as a circular dependency.
func component[T any](v *VM) T { return do.MustInvoke[T](v.components) }

// assemble registers the components and connects them.
func (v *VM) assemble(ctx context.Context, counters *metrics.Set) {
	i := do.New()
	v.components = i
	do.ProvideValue(i, counters)
	do.Provide(i, func(do.Injector) (*store.Client, error) {
		return store.NewHTTP(v.settings.Platform.URL, nil), nil
	})
	do.ProvideValue(i, memory.New(memoryBudget(v.settings.Limits, v.log), counters))
	do.Provide(i, func(do.Injector) (*board.Board, error) {
		return board.New(v.health.controller(), v.rates.controller()), nil
	})
	do.Provide(i, func(do.Injector) (*proxy.Handler, error) { return v.newProxy(ctx), nil })
	do.Provide(i, v.newPeer)
	do.Provide(i, v.newMemberDriver)
	self := idem.NewOwner(v.incarnation, v.PeerAddr())
	do.ProvideValue(i, idem.NewKeyIssuer([]byte(v.settings.Peer.Secret), self))
	do.Provide(i, func(do.Injector) (*idem.Ledger, error) {
		budget := component[*memory.Budget](v).Limit()
		return idem.NewLedger(ctx, maxLedgerKeys, min(maxLedgerBytes, budget/ledgerDivisor)), nil
	})
	do.Provide(i, func(do.Injector) (*idem.Guard, error) { return v.newGuard(ctx, self), nil })
	do.Provide(i, func(do.Injector) (*deploy.Follower, error) { return v.newFollower(ctx) })
	do.Provide(i, v.newPublisher)
	do.Provide(i, v.newAdmin)
	proxyHandler := component[*proxy.Handler](v)
	v.health.inflight, v.health.setWeights = proxyHandler.Inflight, proxyHandler.SetWeights
	v.health.peerInflight = proxyHandler.SetPeerInflight
	v.rates.attempts, v.rates.setRate, v.rates.grant = proxyHandler.LimitedAttempts, proxyHandler.SetRate, proxyHandler.GrantTrial
	v.rates.tell = func(rates []*wire.Rate, urgent bool) { component[*member.Driver](v).QueueRates(rates, urgent) }
	v.health.sendEvents = func(events []*wire.Event, urgent bool) { component[*member.Driver](v).QueueEvents(events, urgent) }
	v.suspects.tell = func(suspects []*wire.Suspect, relay bool) {
		component[*member.Driver](v).QueueSuspects(suspects, relay)
	}
	v.suspects.isAlive = func() []string {
		return lo.Map(component[*member.Driver](v).Snapshot().Alive(), func(m member.Member, _ int) string { return m.ID() })
	}
	v.callerAPI = v.newCallerAPI()
	handler := v.callerAPI.handler()
	if v.opts.ReleaseSource != nil {
		handler = proxyHandler // The platform defines all paths and keys; the fleet reserves none.
	}
	v.server = caller.New(handler, v.callerLimits(), component[*memory.Budget](v), counters)
	v.server.Admit = proxyHandler.AdmitBody
	v.registerGauges(counters)
	prober := newProber(v.FleetSize, func(service, server string, ok bool, took time.Duration) {
		_ = component[*board.Board](v).Do(ctx, func(now time.Time) { v.health.observeProbe(now, service, server, ok, took) })
	})
	prober.skip = func(service, addr string) bool {
		return proxyHandler.IsLimited(service, addr) || proxyHandler.IsHeld(service, addr)
	}
	v.probes = newProbes(ctx, prober)
}

func (v *VM) newProxy(ctx context.Context) *proxy.Handler {
	// The board and the guard are used for every request, so they are looked up once.
	control := component[*board.Board](v)
	opts := proxy.Options{
		Dialect:         v.opts.Dialect,
		Seed:            v.incarnation,
		AnonymousRate:   v.settings.Limits.Rate,
		AnonymousBurst:  v.settings.Limits.Burst,
		BodyReadTimeout: v.settings.Limits.ReadTime.Std(),
		Sample:          func(s board.Sample) { control.Post(s) },
		StatedRate:      func(r board.StatedRate) { control.PostRate(r) },
		Crashes:         v.suspects.table,
		Hasher:          crash.NewHasher([]byte(v.settings.Peer.Secret)),
		Background:      ctx,
		Memory:          component[*memory.Budget](v),
		Metrics:         component[*metrics.Set](v),
		Log:             v.log,
	}
	if v.opts.ReleaseSource == nil {
		opts.RunOnce = component[*idem.Guard](v).Do
	} else {
		// Traffic between zones is expensive, and with detection profile "switch" all VMs
		// share their observations, so the picker prefers the VM's own zone. With other
		// profiles there is no preference: VMs in a slow zone would see little of the
		// other zones and eject the servers of their own (replay traces zone and stall).
		opts.Zone = v.settings.Zone
		opts.ConnectTimeout = connectTimeout
	}
	return proxy.New(opts)
}

func (v *VM) newPeer(do.Injector) (*peer.Peer, error) {
	files, err := readPeerFiles(v.settings.Peer)
	if err != nil {
		return nil, err
	}
	driver := func() *member.Driver { return component[*member.Driver](v) }
	opts := peer.Options{
		SharedKey:   []byte(v.settings.Peer.Secret),
		CA:          files[0],
		Cert:        files[1],
		CertKey:     files[2],
		Self:        func() *wire.Member { return driver().SelfRecord() },
		Listen:      func() (net.Listener, error) { return v.listeners.peer, nil },
		OnHeartbeat: func(l *peer.Link, h *wire.Heartbeat) { driver().OnHeartbeat(l, h) },
		OnLink:      func(l *peer.Link, up bool) { driver().OnLink(l, up) },
		OnPull:      v.opts.ServePull,
		Memory:      component[*memory.Budget](v),
		Metrics:     component[*metrics.Set](v),
	}
	if v.opts.ReleaseSource == nil {
		opts.OnFetch = func(_ context.Context, f *wire.Fetch) (*wire.Chunks, error) {
			head, chunks := component[*deploy.Follower](v).HandleFetch(f.GetDigests())
			return &wire.Chunks{Head: head, Chunks: chunks}, nil
		}
		opts.OnForward = func(ctx context.Context, f *wire.Forward) (*wire.Reply, error) {
			return v.serveForward(ctx, f), nil
		}
	}
	return peer.New(opts)
}

// serveForward serves a request that another VM forwarded because this VM owns its
// idempotency key.
func (v *VM) serveForward(ctx context.Context, f *wire.Forward) *wire.Reply {
	guard := component[*idem.Guard](v)
	handler := component[*proxy.Handler](v)
	return guard.ServeForwarded(ctx, f, func(ctx context.Context) (*idem.Response, error) {
		return handler.DispatchForwarded(ctx, idem.CallFromWire(f))
	})
}

// readPeerFiles returns the PEM data of CA, certificate and key, in this order. An entry
// is nil when the settings name no file for it.
func readPeerFiles(p conf.Peer) ([3][]byte, error) {
	var out [3][]byte
	for n, name := range []string{p.CAFile, p.CertFile, p.KeyFile} {
		if name == "" {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return out, errors.Wrap(err, "read peer certificate files")
		}
		out[n] = data
	}
	return out, nil
}

func (v *VM) newMemberDriver(do.Injector) (*member.Driver, error) {
	b := component[*board.Board](v)
	opts := member.Options{
		Self:  member.NewMember(v.settings.Name, v.incarnation, v.settings.Zone, v.PeerAddr(), v.EntryAddr()),
		Seeds: v.settings.Peer.Seeds,
		Link: func(ctx context.Context, addr string) (*peer.Link, error) {
			return component[*peer.Peer](v).Link(ctx, addr)
		},
		DiscoverVMs: v.opts.DiscoverVMs,
		Reports:     v.health.publishedReports,
		OnReports: func(reports []*wire.Report) {
			_ = b.Do(context.Background(), func(now time.Time) { v.health.mergeReports(now, reports) })
		},
		OnEvents: func(events []*wire.Event) {
			_ = b.Do(context.Background(), func(now time.Time) { v.health.mergeEvents(now, events) })
		},
		OnRates: func(rates []*wire.Rate) {
			_ = b.Do(context.Background(), func(now time.Time) { v.rates.merge(now, rates) })
		},
		Suspects:       v.suspects.forNewLink,
		OnSuspects:     func(received []*wire.Suspect) { v.suspects.merge(time.Now(), received) },
		FullMeshMaxVMs: v.settings.Peer.FullMeshMaxVMs,
		OnChange:       v.logMemberChange,
		OnReplaced:     func() { v.Drain() },
		Metrics:        component[*metrics.Set](v),
	}
	if v.opts.ReleaseSource == nil {
		opts.DiscoverVMs = component[*store.Client](v).ListVMs
		opts.Generation = func() uint64 { return component[*deploy.Follower](v).Generation() }
		opts.OnNewerGeneration = func(peer *wire.Member, generation uint64) {
			component[*deploy.Follower](v).ObservePeerGeneration(peer.GetPeer(), generation)
		}
	}
	if v.opts.LatestPositions != nil {
		opts.Generation = func() uint64 { config, _ := v.opts.LatestPositions(); return uint64(config) }
		opts.OnNewerGeneration = func(peer *wire.Member, config uint64) {
			v.opts.ObservePeerPositions(v.feedPeer(peer), feed.Position(config), 0)
		}
		opts.Roster = func() uint64 { _, servers := v.opts.LatestPositions(); return uint64(servers) }
		opts.OnNewerRoster = func(peer *wire.Member, servers uint64) {
			v.opts.ObservePeerPositions(v.feedPeer(peer), 0, feed.Position(servers))
		}
		opts.StoreSpan, opts.OnStoreSpan = v.opts.StoreSpan, v.opts.ObserveStoreSpan
		opts.FirstHand = v.WatchesPlatform
		opts.ZoneSharing = true
	}
	return member.New(opts), nil
}

func (v *VM) feedPeer(m *wire.Member) feed.Peer {
	return feed.Peer{Addr: m.GetPeer(), Near: m.GetZone() == v.settings.Zone}
}

// logMemberChange logs a change of another VM. In a fleet that is not linked in a full mesh,
// changes in other availability zones are of level debug, so that the lines of a VM do not
// grow with the fleet.
func (v *VM) logMemberChange(c member.Change) {
	level := zerolog.InfoLevel
	if c.Member.Zone() != v.settings.Zone && v.Alive() > v.settings.Peer.FullMeshMaxVMs {
		level = zerolog.DebugLevel
	}
	v.log.WithLevel(level).Str("member", c.Member.ID()).Str("zone", c.Member.Zone()).
		Stringer("before", c.From).Stringer("state", c.Member.State()).Msg("member changed state")
}

func (v *VM) newGuard(ctx context.Context, self idem.Owner) *idem.Guard {
	guard := idem.NewGuard(
		component[*idem.KeyIssuer](v),
		component[*idem.Ledger](v),
		idem.NewClaims(ctx, component[*store.Client](v), self),
	)
	guard.Forward = func(ctx context.Context, addr string, f *wire.Forward) (*wire.Reply, error) {
		return component[*peer.Peer](v).Forward(ctx, addr, f)
	}
	return guard
}

func (v *VM) newFollower(ctx context.Context) (*deploy.Follower, error) {
	f := deploy.NewFollower(component[*store.Client](v))
	f.OnApply = func(rel *note.Release) { v.applyRelease(ctx, rel) }
	f.Fetch = func(ctx context.Context, addr string, digests [][]byte) (head []byte, chunks [][]byte, err error) {
		reply, err := component[*peer.Peer](v).Fetch(ctx, addr, &wire.Fetch{Digests: digests})
		return reply.GetHead(), reply.GetChunks(), err
	}
	f.Rand = rand.Float64
	f.RegisterMetrics(component[*metrics.Set](v))
	return f, nil
}

// applyFunc returns the function with which a ReleaseSource applies its releases.
func (v *VM) applyFunc(ctx context.Context) func(*note.Release, caller.Limits) {
	var once sync.Once
	return func(rel *note.Release, limits caller.Limits) {
		v.server.SetLimits(limits)
		v.applyRelease(ctx, rel)
		once.Do(func() {
			v.releasedAt.Store(lo.ToPtr(time.Now()))
			close(v.released)
		})
	}
}

// callerLimits returns the limits for callers from the settings.
func (v *VM) callerLimits() caller.Limits {
	l := v.settings.Limits
	return caller.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: maxBodyBytes, ReadTime: l.ReadTime.Std(), IdleTime: l.IdleTime.Std(), Conns: l.Conns,
	}
}

// applyRelease replaces the current release and applies it.
func (v *VM) applyRelease(ctx context.Context, rel *note.Release) {
	v.releaseMu.Lock()
	defer v.releaseMu.Unlock()
	v.release = rel
	v.applyReleaseLocked(ctx)
	v.log.Info().Uint64("generation", rel.Generation()).Msg("release in effect")
}

// applyReleaseLocked applies the subset of the release that this VM uses: routes first, so
// that requests for new routes are served, then health detection and probes. releaseMu
// must be held.
func (v *VM) applyReleaseLocked(ctx context.Context) {
	local := subsetRelease(v.release, v.position)
	handler := component[*proxy.Handler](v)
	handler.SetRelease(local)
	for _, s := range v.release.Services() {
		handler.SetPreferred(s.Name, v.position.preferredServers(s))
	}
	v.local, v.zones = local, memberIDs(component[*member.Driver](v).Snapshot())
	setRatedServers := v.setRatedServersLocked()
	_ = component[*board.Board](v).Do(ctx, func(now time.Time) {
		v.health.setRelease(now, local)
		setRatedServers(now)
	})
	v.probes.setServices(local.Services())
}

// updateRateHolders applies changes of the members to the shares of stated rates.
func (v *VM) updateRateHolders(ctx context.Context) {
	zones := memberIDs(component[*member.Driver](v).Snapshot())
	v.releaseMu.Lock()
	defer v.releaseMu.Unlock()
	if v.release == nil || maps.EqualFunc(zones, v.zones, slices.Equal) {
		return
	}
	v.zones = zones
	_ = component[*board.Board](v).Do(ctx, v.setRatedServersLocked())
}

// setRatedServersLocked sets the number of VMs that use the servers, and returns the function
// that hands the servers in use, with the VMs among which their rates are divided, to the
// control loop. releaseMu must be held.
func (v *VM) setRatedServersLocked() func(now time.Time) {
	servers := ratedServers(v.release, v.local, v.zones)
	alive := lo.SumBy(lo.Values(v.zones), func(ids []string) int { return len(ids) })
	size := max(v.FleetSize(), alive)
	for _, s := range v.release.Services() {
		component[*proxy.Handler](v).SetUsers(s.Name, serverUsers(s, size))
	}
	return func(now time.Time) { v.rates.setServers(now, servers, alive) }
}

func (v *VM) newPublisher(do.Injector) (*deploy.Publisher, error) {
	p := deploy.NewPublisher(component[*store.Client](v))
	// The publishing VM applies the release at once. Its peers learn of it by heartbeat,
	// whether or not they watch the platform.
	p.Follow(component[*deploy.Follower](v))
	p.Rand = rand.Float64
	p.RegisterMetrics(component[*metrics.Set](v))
	return p, nil
}

// publish parses and publishes a release note from an operator and returns the
// generation of the release.
func (v *VM) publish(ctx context.Context, data []byte) (uint64, error) {
	n, err := note.Parse(data)
	if err != nil {
		return 0, err
	}
	generation, err := component[*deploy.Publisher](v).Publish(ctx, n)
	if err != nil {
		return 0, err
	}
	v.log.Info().Str("note", n.ID).Uint64("generation", generation).Msg("release note accepted")
	return generation, nil
}

func (v *VM) newAdmin(do.Injector) (*operatorsAPI, error) {
	publish := v.publish
	if v.opts.ReleaseSource != nil {
		publish = func(context.Context, []byte) (uint64, error) {
			return 0, fault.New(fault.Invalid, "this fleet takes its configuration from the platform, not from release notes")
		}
	}
	return &operatorsAPI{admin.New(admin.Options{
		Token:        v.settings.Admin.Token,
		Publish:      publish,
		Dump:         func(ctx context.Context) (any, error) { return v.Dump(ctx) },
		Free:         v.suspects.free,
		Ready:        v.Ready,
		WriteMetrics: func(w http.ResponseWriter) { component[*metrics.Set](v).WritePrometheus(w) },
	})}, nil
}

// Ready returns nil when the VM can serve callers, and otherwise the reason why it can't:
// an error of kind NotReady or Stopping.
func (v *VM) Ready() error {
	if v.Generation() == 0 {
		return fault.New(fault.NotReady, "no release yet")
	}
	if v.callerAPI.leaving.Load() {
		return fault.New(fault.Stopping, "leaving")
	}
	return nil
}

func (v *VM) newCallerAPI() *callerAPI {
	keys := component[*idem.KeyIssuer](v)
	return &callerAPI{
		addresses: v.Addresses,
		issueKeys: func(count int) []string {
			return lo.Times(count, func(int) string { return keys.Issue(time.Now()) })
		},
		ttl:    v.settings.Drain.TTL.Std(),
		keyTTL: idem.KeyTTL,
		proxy:  component[*proxy.Handler](v),
	}
}
