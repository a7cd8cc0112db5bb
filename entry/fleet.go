package entry

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/sleep"
)

const (
	// subsetSize is above the 20 backend servers of the largest service of the
	// first users, so that each of their few VMs sees all of them.
	subsetSize   = 24
	holdersCheck = time.Second
	placeCheck   = time.Second // Members are suspected after 2 s.
)

// place is where a VM stands among the VMs of its availability zone, by which the backend
// servers of the zone are divided among them. The zero place has no part.
type place struct {
	vm           string
	zone         string
	index, count int
}

// home returns the addresses of the servers of s that fall to the place: an even part of
// those in its zone, at least one, so that with fewer servers than VMs some share one.
func (p place) home(s note.Service) []string {
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

// localize returns the release with the backend servers that the VM uses.
func localize(rel *note.Release, p place) *note.Release {
	services := lo.Map(rel.Services(), func(s note.Service, _ int) note.Service {
		s.Servers = subset(s, p)
		return s
	})
	return note.NewRelease(rel.Generation(), services, rel.Routes(), rel.Accounts())
}

func subset(s note.Service, p place) []note.Server {
	if len(s.Servers) <= subsetSize {
		return s.Servers
	}
	targets := lo.Map(s.Servers, func(b note.Server, _ int) *pick.Target {
		return pick.NewTarget(b.Addr, b.Zone, b.Slots)
	})
	chosen := lo.SliceToMap(pick.Subset(p.vm, targets, subsetSize, s.Floor), func(t *pick.Target) (string, bool) {
		return t.Addr(), true
	})
	for _, addr := range p.home(s) {
		chosen[addr] = true
	}
	return lo.Filter(s.Servers, func(b note.Server, _ int) bool { return chosen[b.Addr] })
}

// zoneVMs returns the ids of the VMs of this availability zone that this one holds for
// alive, itself included.
func (v *VM) zoneVMs() []string {
	return lo.FilterMap(part[*member.Driver](v).Snapshot().Alive(), func(m member.Member, _ int) (string, bool) {
		return m.ID(), m.Zone() == v.settings.Zone
	})
}

// watchHolders keeps the follower told whether this VM is one of those that hold
// a watch, since the platform counts each waiting watch as a call.
func (v *VM) watchHolders(ctx context.Context) error {
	for {
		chosen := deploy.SelectWatchers(v.settings.Zone, v.zoneVMs(), deploy.MaxWatchersPerZone)
		part[*deploy.Follower](v).SetWatch(slices.Contains(chosen, v.settings.Name))
		if !sleep.For(ctx, holdersCheck) {
			return ctx.Err()
		}
	}
}

// followPlace keeps the traffic told which backend servers fall to this VM.
func (v *VM) followPlace(ctx context.Context) error {
	for {
		zone := v.zoneVMs()
		slices.Sort(zone)
		next := place{vm: v.settings.Name, zone: v.settings.Zone}
		if i, ok := slices.BinarySearch(zone, v.settings.Name); ok {
			next.index, next.count = i, len(zone)
		}
		v.setPlace(ctx, next)
		if !sleep.For(ctx, placeCheck) {
			return ctx.Err()
		}
	}
}

// setPlace divides the backend servers anew when the place has changed.
func (v *VM) setPlace(ctx context.Context, next place) {
	v.local.Lock()
	defer v.local.Unlock()
	if v.place == next {
		return
	}
	v.place = next
	v.log.Info().Int("index", next.index).Int("vms", next.count).Msg("place among the VMs of the zone changed")
	if v.release != nil {
		v.putRelease(ctx)
	}
}

// probes runs one prober loop for each service; a service that a release leaves
// alone keeps its loop, so that frequent releases do not stop the probing.
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

func (p *probes) set(services []note.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[string]probeLoop{}
	for _, s := range services {
		if s.Probe.Path == "" {
			continue // The source of the release asks for no probes.
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
