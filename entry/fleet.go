package entry

import (
	"context"
	"math"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/internal/fleet/watch"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/sleep"
)

const (
	// subsetSize is the number of backend servers up to which a VM uses all servers of a
	// service, and how many it uses of a larger one unless the floor is higher. It is above
	// the 20 servers of the largest service of the first users.
	subsetSize = 24
	// maxAllServers is the number of backend servers up to which a VM uses all servers of a
	// service with the profile switch. With so few, the VMs of one zone could leave too many
	// of them without requests while some of these are doubtful.
	maxAllServers = 64
	// nearVMs is how many VMs of its zone on either side of a VM share their preferred
	// servers with it, with the profile switch. A server is used by so many VMs on either
	// side of the one that prefers it.
	nearVMs = 4
	// farServers is the least number of servers of other zones that a VM uses besides.
	farServers = 12
	// vmsPerServer is the number of VMs of other zones that use a server in a fleet with
	// few VMs.
	vmsPerServer          = 4
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
	fleet        int // Number of VMs of the fleet; 0 when unknown.
}

// fleetSizeTolerance is the share by which the fleet may grow or shrink before the VMs
// choose anew how many backend servers they use.
const fleetSizeTolerance = 0.1

// roundFleet returns the fleet size that p keeps when the fleet has n VMs.
func (p position) roundFleet(n int) int {
	if change := float64(n - p.fleet); math.Abs(change) <= fleetSizeTolerance*float64(p.fleet) {
		return p.fleet
	}
	return n
}

// preferredServers returns the addresses of the servers of s that a VM at this position
// prefers: an even share of those in its zone, at least one, so that VMs share servers
// when there are fewer servers than VMs.
func (p position) preferredServers(s note.Service) []string {
	zone := p.zoneServers(s)
	if p.count == 0 || len(zone) == 0 {
		return nil
	}
	from, to := p.share(p.index, len(zone))
	return zone[from:to]
}

// zoneServers returns the addresses of the servers of s in the zone, in order.
func (p position) zoneServers(s note.Service) []string {
	var zone []string
	for _, b := range s.Servers {
		if b.Zone == p.zone && !b.Leaving {
			zone = append(zone, b.Addr)
		}
	}
	slices.Sort(zone)
	return zone
}

// share returns the range that the VM at an index prefers among the servers of the zone.
func (p position) share(index, servers int) (from, to int) {
	from = index * servers / p.count
	return from, max(from+1, (index+1)*servers/p.count)
}

// nearServers returns the addresses of the servers of the zone that the VM uses: those that
// it or one of the VMs next to it prefers. VMs next to each other are linked, so the VMs
// that use a server tell each other what they see of it.
func (p position) nearServers(s note.Service) []string {
	zone := p.zoneServers(s)
	if p.count <= 2*nearVMs+1 {
		return zone
	}
	var out []string
	for i := p.index - nearVMs; i <= p.index+nearVMs; i++ {
		from, to := p.share((i+p.count)%p.count, len(zone))
		out = append(out, zone[min(from, len(zone)):min(to, len(zone))]...)
	}
	return lo.Uniq(out)
}

// subsetRelease returns the release with only the backend servers that the VM uses.
func subsetRelease(rel *note.Release, p position) *note.Release {
	services := lo.Map(rel.Services(), func(s note.Service, _ int) note.Service {
		s.Servers = subsetServers(s, p)
		return s
	})
	return note.NewRelease(rel.Generation(), services, rel.Routes(), rel.Accounts())
}

// subsetServers returns the backend servers of s that the VM uses. With the profile switch
// these are the near servers and some of the other zones, for the time in which the near
// ones have no room: the fewer servers a VM uses, the more of its requests each gets, and
// the sooner they show that it fails. With the other profiles a VM holds the floor of the
// service by itself and uses at least so many servers of all zones.
func subsetServers(s note.Service, p position) []note.Server {
	switching := s.Detection.Profile == note.ProfileSwitch
	if len(s.Servers) <= subsetSize || switching && len(s.Servers) <= maxAllServers {
		return s.Servers
	}
	chosen := map[string]bool{}
	choose := func(servers []note.Server, size, floor int) {
		targets := lo.Map(servers, func(b note.Server, _ int) *pick.Target {
			return pick.NewTarget(b.Addr, b.Zone, b.Slots)
		})
		for _, t := range pick.Subset(p.vm, targets, size, floor) {
			chosen[t.Addr()] = true
		}
	}
	if !switching || p.count == 0 {
		choose(s.Servers, subsetSize, s.Floor)
	} else {
		far := lo.Filter(s.Servers, func(b note.Server, _ int) bool { return b.Zone != p.zone })
		choose(far, max(farServers, vmsPerServer*len(far)/p.fleet), 0)
	}
	for _, addr := range p.nearServers(s) {
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
		v.updateRateHolders(ctx)
		if !sleep.For(ctx, watcherCheckInterval) {
			return ctx.Err()
		}
	}
}

// runPositionUpdates updates the position of this VM from the member list until ctx is
// done.
func (v *VM) runPositionUpdates(ctx context.Context) error {
	fleet := 0
	for {
		zone := v.zoneVMs()
		slices.Sort(zone)
		fleet = position{fleet: fleet}.roundFleet(v.Alive())
		next := position{vm: v.settings.Name, zone: v.settings.Zone, fleet: fleet}
		if i, ok := slices.BinarySearch(zone, v.settings.Name); ok {
			next.index, next.count = i, len(zone)
		}
		v.setPosition(ctx, next)
		v.updateRateHolders(ctx)
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
	ids := memberIDs(component[*member.Driver](v).Snapshot())
	releasedAt := v.releasedAt.Load()
	joining := releasedAt == nil || now.Sub(*releasedAt) < linkUpTime
	alone := len(ids) == 1 && len(ids[v.settings.Zone]) == 1
	watchers := watch.Watchers(ids)
	v.watchers.Store(int64(len(watchers)))
	watcher := slices.Contains(watchers, v.settings.Name) && (!alone || !joining)
	askers := watch.Askers(ids, watchers)
	var order *askOrder
	if place := slices.Index(slices.Concat(askers, watchers), v.settings.Name); place >= 0 && !joining {
		order = &askOrder{place, len(askers)}
	}
	v.askOrder.Store(order)
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
