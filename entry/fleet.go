package entry

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/internal/fleet/feed"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/sleep"
)

const (
	// subsetSize is the number of backend servers of a service that a VM uses, unless the
	// floor of the service is higher; its preferred servers come on top. It is above the
	// 20 servers of the largest service of the first users, so that each of their few VMs
	// uses all servers.
	subsetSize            = 24
	watcherCheckInterval  = time.Second
	positionCheckInterval = time.Second // Members are suspected after 2 s.
)

// position is the index of a VM among the VMs of its availability zone in the order of
// their ids. It determines which backend servers of the zone the VM prefers. With a
// count of 0 the VM prefers none.
type position struct {
	vm           string
	zone         string
	index, count int
}

// preferredServers returns the addresses of the servers of s that a VM at this position
// prefers: an even share of those in its zone, at least one, so that VMs share servers
// when there are fewer servers than VMs.
func (p position) preferredServers(s note.Service) []string {
	var zone []string
	for _, b := range s.Servers {
		if b.Zone == p.zone && !b.Leaving {
			zone = append(zone, b.Addr)
		}
	}
	if p.count == 0 || len(zone) == 0 {
		return nil
	}
	slices.Sort(zone)
	from := p.index * len(zone) / p.count
	to := max(from+1, (p.index+1)*len(zone)/p.count)
	return zone[from:to]
}

// subsetRelease returns the release with only the backend servers that the VM uses.
func subsetRelease(rel *note.Release, p position) *note.Release {
	services := lo.Map(rel.Services(), func(s note.Service, _ int) note.Service {
		s.Servers = subsetServers(s, p)
		return s
	})
	return note.NewRelease(rel.Generation(), services, rel.Routes(), rel.Accounts())
}

func subsetServers(s note.Service, p position) []note.Server {
	if len(s.Servers) <= subsetSize {
		return s.Servers
	}
	targets := lo.Map(s.Servers, func(b note.Server, _ int) *pick.Target {
		return pick.NewTarget(b.Addr, b.Zone, b.Slots)
	})
	chosen := lo.SliceToMap(pick.Subset(p.vm, targets, subsetSize, s.Floor), func(t *pick.Target) (string, bool) {
		return t.Addr(), true
	})
	for _, addr := range p.preferredServers(s) {
		chosen[addr] = true
	}
	return lo.Filter(s.Servers, func(b note.Server, _ int) bool { return chosen[b.Addr] })
}

// zoneVMs returns the ids of the VMs of this availability zone that this VM considers
// alive, itself included.
func (v *VM) zoneVMs() []string {
	return lo.FilterMap(component[*member.Driver](v).Snapshot().Alive(), func(m member.Member, _ int) (string, bool) {
		return m.ID(), m.Zone() == v.settings.Zone
	})
}

// runWatcherSelection updates whether this VM is one of those that watch the release
// until ctx is done. The platform counts each open watch (a long poll) as a call, so only
// a few VMs of a zone keep one open.
func (v *VM) runWatcherSelection(ctx context.Context) error {
	for {
		chosen := deploy.SelectWatchers(v.settings.Zone, v.zoneVMs(), deploy.MaxWatchersPerZone)
		component[*deploy.Follower](v).SetWatch(slices.Contains(chosen, v.settings.Name))
		if !sleep.For(ctx, watcherCheckInterval) {
			return ctx.Err()
		}
	}
}

// runPositionUpdates updates the position of this VM from the member list until ctx is
// done.
func (v *VM) runPositionUpdates(ctx context.Context) error {
	for {
		zone := v.zoneVMs()
		slices.Sort(zone)
		next := position{vm: v.settings.Name, zone: v.settings.Zone}
		if i, ok := slices.BinarySearch(zone, v.settings.Name); ok {
			next.index, next.count = i, len(zone)
		}
		v.setPosition(ctx, next)
		v.updateWatcher(time.Now())
		if !sleep.For(ctx, positionCheckInterval) {
			return ctx.Err()
		}
	}
}

// linkUpTime is how long a VM that has just begun to join the fleet and knows of no other
// VM waits for its links before it takes itself to be alone.
const linkUpTime = 2 * time.Second

// updateWatcher updates whether this VM is one of those that watch the platform for
// changes.
func (v *VM) updateWatcher(now time.Time) {
	byZone := component[*member.Driver](v).Snapshot().AliveByZone()
	ids := lo.MapValues(byZone, func(members []member.Member, _ string) []string {
		return lo.Map(members, func(m member.Member, _ int) string { return m.ID() })
	})
	releasedAt := v.releasedAt.Load()
	joining := releasedAt == 0 || now.Sub(time.Unix(0, releasedAt)) < linkUpTime
	alone := len(byZone) == 1 && len(byZone[v.settings.Zone]) == 1
	watchers := feed.Watchers(ids)
	v.watchers.Store(int64(len(watchers)))
	watcher := slices.Contains(watchers, v.settings.Name) && !(alone && joining)
	if v.watcher.Swap(watcher) != watcher {
		v.log.Info().Bool("watcher", watcher).Msg("role in following the platform changed")
	}
}

// setPosition applies the release again when the position has changed, since the
// preferred backend servers depend on it.
func (v *VM) setPosition(ctx context.Context, next position) {
	v.releaseMu.Lock()
	defer v.releaseMu.Unlock()
	if v.position == next {
		return
	}
	v.position = next
	v.log.Info().Int("index", next.index).Int("vms", next.count).Msg("position among the VMs of the zone changed")
	if v.release != nil {
		v.applyReleaseLocked(ctx)
	}
}

// probes runs one prober loop for each service. A service that a release doesn't change
// keeps its loop, since each new loop starts with a delay and frequent releases would
// otherwise prevent all probes.
type probes struct {
	ctx    context.Context //nolint:containedctx // The loops outlive the call that starts them.
	prober *prober
	mu     sync.Mutex
	loops  map[string]probeLoop
}

type probeLoop struct {
	service note.Service
	stop    context.CancelFunc
}

func newProbes(ctx context.Context, p *prober) *probes {
	return &probes{ctx: ctx, prober: p, loops: map[string]probeLoop{}}
}

func (p *probes) setServices(services []note.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[string]probeLoop{}
	for _, s := range services {
		if s.Probe.Path == "" {
			continue // The release configures no probes for this service.
		}
		loop, running := p.loops[s.Name]
		if !running || !reflect.DeepEqual(loop.service, s) {
			loop = p.start(s)
		} else {
			delete(p.loops, s.Name)
		}
		next[s.Name] = loop
	}
	for _, old := range p.loops {
		old.stop()
	}
	p.loops = next
}

func (p *probes) start(s note.Service) probeLoop {
	ctx, stop := context.WithCancel(p.ctx)
	go p.prober.run(ctx, s)
	return probeLoop{service: s, stop: stop}
}
