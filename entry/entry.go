// Package entry assembles an entry VM: the address for callers, the operators'
// API, the links to the other VMs, the control loop, and the graceful shutdown.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"golang.org/x/sync/errgroup"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/caller"
	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/peer"
	"github.com/azuredeal/azuredeal/pool"
	"github.com/azuredeal/azuredeal/proxy"
	"github.com/azuredeal/azuredeal/store"
)

// Options are what settings cannot say.
type Options struct {
	Log zerolog.Logger
	// Dialect is that of callers and backend servers, pool.Own by default.
	Dialect *pool.Dialect
	// ReleaseSource delivers releases until its context ends, in place of the release
	// notes and claims in the platform of the settings. A VM with a source joins the
	// fleet once it has a release: a VM without one cannot serve what callers ask of
	// it.
	ReleaseSource func(ctx context.Context, apply func(*note.Release, caller.Limits)) error
	// LatestRevisions returns the newest changes to configuration and backend servers that the
	// source knows of, and Heard tells it those that another VM knows of, as revisions
	// of the platform. Both come with Source.
	LatestRevisions      func() (config, servers uint64)
	ObservePeerRevisions func(config, servers uint64)
	// DiscoverVMs reads the list of VMs; by default from the platform of the settings.
	DiscoverVMs func(ctx context.Context) ([]store.VM, error)
	// Incarnation numbers this start of the VM above all earlier ones; 0 takes the
	// time of day.
	Incarnation uint64
}

// VM is one entry VM.
type VM struct {
	settings    conf.Settings
	opts        Options
	log         zerolog.Logger
	incarnation uint64
	listeners   listeners
	parts       do.Injector
	health      *monitor
	callers     *callers
	probes      *probes
	server      *caller.Server // Of callers without TLS.
	released    chan struct{}  // Closed with the first release.
	drain       chan struct{}
	drainOnce   sync.Once

	local   sync.Mutex // Held while a release or a place is put into effect.
	release *note.Release
	place   place
}

// listeners are open from New on, so that the addresses are known when settings
// ask for port 0.
type listeners struct {
	entry net.Listener
	admin net.Listener
	peer  net.Listener
}

// New opens the addresses of the settings and assembles the VM. Its work ends
// with ctx.
func New(ctx context.Context, settings conf.Settings, opts Options) (*VM, error) {
	v := &VM{
		settings:    settings,
		opts:        opts,
		released:    make(chan struct{}),
		log:         opts.Log.With().Str("vm", settings.Name).Logger(),
		incarnation: opts.Incarnation,
		drain:       make(chan struct{}),
		place:       place{vm: settings.Name, zone: settings.Zone},
	}
	if v.incarnation == 0 {
		v.incarnation = newIncarnation(time.Now())
	}
	if err := v.listen(); err != nil {
		return nil, err
	}
	counters := metrics.NewSet()
	v.health = newMonitor(v.log, counters, v.incarnation)
	v.assemble(ctx, counters)
	return v, nil
}

const randomBits = 16

// newIncarnation returns a number that is higher for a later start of the same VM
// and differs between VMs that start at the same moment.
func newIncarnation(now time.Time) uint64 {
	return uint64(now.UnixNano())>>randomBits<<randomBits | uint64(rand.IntN(1<<randomBits))
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

// EntryAddr returns the address for callers, "ip:port".
func (v *VM) EntryAddr() string { return v.settings.Entry.Addr }

// AdminAddr returns the address for operators, "ip:port".
func (v *VM) AdminAddr() string { return v.settings.Admin.Addr }

// PeerAddr returns the address for other VMs, "ip:port".
func (v *VM) PeerAddr() string { return v.settings.Peer.Addr }

// Generation returns the generation of the release in effect, 0 before the first.
func (v *VM) Generation() uint64 { return part[*proxy.Handler](v).Generation() }

// join links this VM with the others. With a source it waits for the first
// release.
func (v *VM) join(ctx context.Context) error {
	if v.opts.ReleaseSource != nil {
		select {
		case <-v.released:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return part[*peer.Peer](v).Run(ctx) })
	group.Go(func() error { return part[*member.Driver](v).Run(ctx) })
	return group.Wait()
}

// Alive returns how many VMs this one holds for alive, itself included.
func (v *VM) Alive() int { return len(part[*member.Driver](v).Snapshot().Alive()) }

// Reload takes over what may change in the settings of a running VM, the seeds of
// its peers. All else is read at the next start.
func (v *VM) Reload(settings conf.Settings) {
	part[*member.Driver](v).SetSeedAddrs(settings.Peer.Seeds)
	v.log.Info().Strs("seeds", settings.Peer.Seeds).Msg("settings reloaded")
}

// Drain begins the graceful shutdown; Run returns when it is done.
func (v *VM) Drain() { v.drainOnce.Do(func() { close(v.drain) }) }

// Run serves until the graceful shutdown has ended or ctx ends. After ctx has
// ended, requests in flight are answered "unknown" where they were sent.
func (v *VM) Run(ctx context.Context) error {
	defer v.closeListeners()
	work, stop := context.WithCancel(ctx)
	defer stop()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return part[*board.Board](v).Run(work) })
	group.Go(func() error { return v.join(work) })
	if v.opts.ReleaseSource != nil {
		group.Go(func() error { return v.opts.ReleaseSource(work, v.apply(work)) })
		group.Go(func() error { return v.followPlace(work) })
	} else {
		group.Go(func() error { return part[*deploy.Follower](v).Run(work) })
		group.Go(func() error { return v.watchHolders(work) })
	}
	group.Go(func() error { return v.serveOperators(work) })
	group.Go(func() error {
		defer stop()
		return v.serveCallers(work)
	})
	v.log.Info().Str("entry", v.EntryAddr()).Str("admin", v.AdminAddr()).Str("peer", v.PeerAddr()).
		Uint64("incarnation", v.incarnation).Msg("entry VM started")
	err := group.Wait()
	part[*proxy.Handler](v).Close()
	v.log.Info().Err(err).Msg("entry VM stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
