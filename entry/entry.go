// Package entry assembles an entry VM: the proxy for callers, the operators' API, the
// links to the other VMs, the control loop and the graceful shutdown.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/caller"
	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
	"github.com/azuredeal/azuredeal/internal/fleet/feed"
	"github.com/azuredeal/azuredeal/internal/fleet/quota"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/peer"
	"github.com/azuredeal/azuredeal/pool"
	"github.com/azuredeal/azuredeal/proxy"
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

// Options configures a VM beyond its settings.
type Options struct {
	Log zerolog.Logger
	// Dialect is the header dialect that callers and backend servers use; the default is
	// pool.DefaultDialect.
	Dialect *pool.Dialect
	// ReleaseSource delivers releases to apply until its context is done. It replaces the
	// release notes and the idempotency key claims that the platform of the settings
	// stores otherwise. A VM with a source joins the fleet only after its first release,
	// since without one it can't serve any request.
	ReleaseSource func(ctx context.Context, apply func(*note.Release, caller.Limits)) error
	// LatestPositions returns the positions of the latest changes to configuration and backend
	// servers that the source has seen, and ObservePeerPositions passes it those that
	// another VM reports. A position of 0 is unknown. ServePull replies to another VM that
	// pulls changes. Set all three, together with ReleaseSource, or none.
	LatestPositions      func() (config, servers feed.Position)
	ObservePeerPositions func(peer feed.Peer, config, servers feed.Position)
	ServePull            func(pull *wire.Pull) *wire.Changes
	// StoreSpan returns what the source knows of the answers of the platform, and ObserveStoreSpan
	// passes it what another VM knows. Set both or none.
	StoreSpan        func() member.StoreSpan
	ObserveStoreSpan func(s member.StoreSpan)
	// DiscoverVMs returns the VMs of the fleet. Without a ReleaseSource the VM lists them
	// from the platform of the settings instead.
	DiscoverVMs func(ctx context.Context) ([]store.VM, error)
	// SaveSuspect keeps a request that may crash backend servers where it outlasts all VMs,
	// LoadSuspects returns those that were kept, and RemoveSuspect keeps one no more. Set all or none.
	SaveSuspect   func(ctx context.Context, s crash.State) error
	LoadSuspects  func(ctx context.Context) ([]crash.State, error)
	RemoveSuspect func(ctx context.Context, request crash.Digest) error
	// Incarnation identifies this start of the VM and must be higher than at all earlier
	// ones; 0 derives it from the current time.
	Incarnation uint64
	// Metrics is the set that the VM adds its metrics to and serves; nil creates one.
	Metrics *metrics.Set
}

// VM is one entry VM.
type VM struct {
	settings    conf.Settings
	opts        Options
	log         zerolog.Logger
	incarnation uint64
	listeners   listeners
	components  do.Injector
	health      *monitor
	suspects    *suspects
	rates       *rates
	callerAPI   *callerAPI
	probes      *probes
	server      *caller.Server            // For callers without TLS.
	released    chan struct{}             // Closed once the first release of a ReleaseSource has been applied.
	releasedAt  atomic.Pointer[time.Time] // When released was closed; nil before.
	drain       chan struct{}             // Closed when the graceful shutdown starts.
	drainOnce   sync.Once

	watcher  atomic.Bool  // This VM watches the platform for changes.
	watchers atomic.Int64 // Number of VMs that do.
	askOrder atomic.Pointer[askOrder]

	sizeMu sync.Mutex
	size   quota.FleetSize

	releaseMu sync.Mutex // Guards the fields below, and is held while they are applied.
	release   *note.Release
	local     *note.Release // The release with only the backend servers that this VM uses.
	position  position
	zones     map[string][]string // Ids of the VMs alive by zone, as last used for stated rates.
}

// listeners are opened by New, so that the addresses are known before Run even when
// the settings have port 0.
type listeners struct {
	entry net.Listener
	admin net.Listener
	peer  net.Listener
}

// New listens on the addresses of the settings and assembles the VM. Its background work
// stops when ctx is done. It returns an error when an address can't be opened.
func New(ctx context.Context, settings conf.Settings, opts Options) (*VM, error) {
	v := &VM{
		settings:    settings,
		opts:        opts,
		released:    make(chan struct{}),
		log:         opts.Log.With().Str("vm", settings.Name).Logger(),
		incarnation: opts.Incarnation,
		drain:       make(chan struct{}),
		position:    position{vm: settings.Name, zone: settings.Zone},
	}
	if v.incarnation == 0 {
		v.incarnation = newIncarnation(time.Now())
	}
	if err := v.listen(); err != nil {
		return nil, err
	}
	counters := opts.Metrics
	if counters == nil {
		counters = metrics.NewSet()
	}
	v.health = newMonitor(v.log, counters, v.incarnation)
	v.rates = newRates(v.log, counters, settings.Name, v.incarnation)
	v.suspects = newSuspects(v.log, counters, settings.Name)
	v.suspects.save, v.suspects.load, v.suspects.remove = opts.SaveSuspect, opts.LoadSuspects, opts.RemoveSuspect
	v.assemble(ctx, counters)
	return v, nil
}

const incarnationRandomBits = 16

// newIncarnation returns a number that increases with each start of the same VM. Its
// low bits are random, so that it differs between VMs that start at the same time.
func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixNano())>>incarnationRandomBits<<incarnationRandomBits | uint64(rand.IntN(1<<incarnationRandomBits))
}

func (v *VM) listen() error {
	for _, l := range []struct {
		addr *string
		into *net.Listener
	}{
		{&v.settings.Entry.Addr, &v.listeners.entry},
		{&v.settings.Admin.Addr, &v.listeners.admin},
		{&v.settings.Peer.Addr, &v.listeners.peer},
	} {
		listener, err := net.Listen("tcp", *l.addr)
		if err != nil {
			v.closeListeners()
			return errors.Wrapf(err, "listen on %s", *l.addr)
		}
		*l.into = listener
		*l.addr = listener.Addr().String()
	}
	return nil
}

func (v *VM) closeListeners() {
	for _, l := range []net.Listener{v.listeners.entry, v.listeners.admin, v.listeners.peer} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// EntryAddr returns the listen address for callers, "ip:port".
func (v *VM) EntryAddr() string { return v.settings.Entry.Addr }

// AdminAddr returns the listen address of the operators' API, "ip:port".
func (v *VM) AdminAddr() string { return v.settings.Admin.Addr }

// PeerAddr returns the listen address for other VMs, "ip:port".
func (v *VM) PeerAddr() string { return v.settings.Peer.Addr }

// Generation returns the generation of the applied release, 0 before the first one.
func (v *VM) Generation() uint64 { return component[*proxy.Handler](v).Generation() }

// join connects this VM to the others until ctx is done. With a ReleaseSource it first
// waits for a release.
func (v *VM) join(ctx context.Context) error {
	if v.opts.ReleaseSource != nil {
		select {
		case <-v.released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return component[*peer.Peer](v).Run(ctx) })
	group.Go(func() error { return component[*member.Driver](v).Run(ctx) })
	return group.Wait()
}

// releaseWait is how long callers' connections may wait for the first release of a
// ReleaseSource. Callers take a VM that reads nothing for a second as lost.
const releaseWait = 800 * time.Millisecond

// awaitRelease waits for the first release of a ReleaseSource. Until then connections stay
// in the queue of the listener: a VM that starts needs a fraction of a second, and requests
// that wait so long can be served, while those that are refused may be lost.
func (v *VM) awaitRelease(ctx context.Context) {
	if v.opts.ReleaseSource == nil {
		return
	}
	timer := time.NewTimer(releaseWait)
	defer timer.Stop()
	select {
	case <-v.released:
	case <-timer.C:
	case <-v.drain:
	case <-ctx.Done():
	}
}

// Alive returns the number of VMs that this one considers alive, itself included.
func (v *VM) Alive() int { return len(component[*member.Driver](v).Snapshot().Alive()) }

// FleetSize returns the number of VMs that anything that belongs to all of them is divided by:
// the largest number alive of the last 30 s, and 0 as long as this VM has not met the others.
func (v *VM) FleetSize() int {
	now := time.Now()
	releasedAt := v.releasedAt.Load()
	alive := v.Alive()
	if alive <= 1 && (releasedAt == nil || now.Sub(*releasedAt) < linkUpTime) {
		return 0
	}
	v.sizeMu.Lock()
	defer v.sizeMu.Unlock()
	return v.size.Observe(now, alive)
}

// askOrder is the place of this VM among those that ask the platform when the watchers are silent.
type askOrder struct{ place, count int }

// AskOrder returns that place, from 0, and the number of such VMs, see watch.Options. It reports false
// for a VM that does not know the others yet.
func (v *VM) AskOrder() (place, count int, ok bool) {
	if o := v.askOrder.Load(); o != nil {
		return o.place, o.count, true
	}
	return 0, 0, false
}

// HeartbeatNow sends the other VMs a heartbeat at once.
func (v *VM) HeartbeatNow() { component[*member.Driver](v).HeartbeatNow() }

// WatchesPlatform reports whether this VM is one of those that watch the platform for
// changes; the others take changes over from them.
func (v *VM) WatchesPlatform() bool { return v.watcher.Load() }

// Watchers returns the number of VMs that watch the platform for changes.
func (v *VM) Watchers() int { return int(v.watchers.Load()) }

// SetPeerSecret replaces the secret that the VMs of the fleet share. Errors are those of
// peer.Peer.SetSharedKey.
func (v *VM) SetPeerSecret(secret string) error {
	return component[*peer.Peer](v).SetSharedKey([]byte(secret))
}

// Peers returns the other VMs that this VM considers alive.
func (v *VM) Peers() []feed.Peer {
	return lo.FilterMap(component[*member.Driver](v).Snapshot().Alive(), func(m member.Member, _ int) (feed.Peer, bool) {
		return feed.Peer{Addr: m.Peer(), Near: m.Zone() == v.settings.Zone}, m.ID() != v.settings.Name
	})
}

// Pull asks the VM at the peer address for changes. Errors are those of peer.Peer.Pull.
func (v *VM) Pull(ctx context.Context, addr string, pull *wire.Pull) (*wire.Changes, error) {
	return component[*peer.Peer](v).Pull(ctx, addr, pull)
}

// Reload applies the settings that can change while the VM runs: the seed addresses of
// its peers. All others take effect at the next start.
func (v *VM) Reload(settings conf.Settings) {
	component[*member.Driver](v).SetSeedAddrs(settings.Peer.Seeds)
	v.log.Info().Strs("seeds", settings.Peer.Seeds).Msg("settings reloaded")
}

// Drain starts the graceful shutdown and returns at once; Run returns when it completes.
func (v *VM) Drain() { v.drainOnce.Do(func() { close(v.drain) }) }

// Run serves until the graceful shutdown completes or ctx is done, and returns the first
// error of the VM's tasks, nil on cancellation. Once ctx is done, in-flight requests fail;
// those that were already sent to a backend server get the error "unknown", as they may
// have run.
func (v *VM) Run(ctx context.Context) error {
	defer v.closeListeners()
	work, stop := context.WithCancel(ctx)
	defer stop()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return component[*board.Board](v).Run(work) })
	group.Go(func() error { return v.join(work) })
	if v.opts.ReleaseSource != nil {
		group.Go(func() error { return v.opts.ReleaseSource(work, v.applyFunc(work)) })
		group.Go(func() error { return v.runPositionUpdates(work) })
	} else {
		component[*deploy.Publisher](v) // It follows the follower from the start.
		group.Go(func() error { return component[*deploy.Follower](v).Run(work) })
		group.Go(func() error { return v.runWatcherSelection(work) })
	}
	group.Go(func() error { return v.suspects.run(work) })
	group.Go(func() error { return v.serveOperators(work) })
	group.Go(func() error {
		defer stop()
		v.awaitRelease(work)
		return v.serveCallers(work)
	})
	v.log.Info().Str("entry", v.EntryAddr()).Str("admin", v.AdminAddr()).Str("peer", v.PeerAddr()).
		Uint64("incarnation", v.incarnation).Int64("memory", component[*memory.Budget](v).Limit()).Msg("entry VM started")
	err := group.Wait()
	component[*proxy.Handler](v).Close()
	v.log.Info().Err(err).Msg("entry VM stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
