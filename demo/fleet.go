package demo

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/entry"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/objapi"
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/worker"
)

const (
	workerSlots      = 3
	workerConns      = 400
	workerQueue      = 6
	serviceTimeSigma = 0.4
	loopback         = "127.0.0.1:0"
	secret           = "a secret for the demo on loopback only"
	drainTTL         = 100 * time.Millisecond
	drainTimeout     = 5 * time.Second
)

// fleet holds the entry VMs and the workers of a demo.
type fleet struct {
	trace   *Trace
	vms     []*entry.VM
	workers map[string][]*worker.Server
	addrs   map[string][]string // Of the workers, by service.
}

// start starts the platform, the workers and the entry VMs on loopback. They stop when ctx
// ends.
func start(ctx context.Context, group *errgroup.Group, t *Trace, log zerolog.Logger) (*fleet, error) {
	f := &fleet{trace: t, workers: map[string][]*worker.Server{}, addrs: map[string][]string{}}
	platform, err := serve(ctx, group, objapi.New(store.NewMemory()))
	if err != nil {
		return nil, err
	}
	for _, s := range t.Services {
		if err := f.startWorkers(ctx, group, s); err != nil {
			return nil, err
		}
	}
	var seeds []string
	for i, zone := range t.Zones {
		vm, err := entry.New(ctx, f.settings(i, zone, platform, seeds), entry.Options{Log: log})
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, vm.PeerAddr())
		f.vms = append(f.vms, vm)
		group.Go(func() error { return vm.Run(ctx) })
	}
	return f, nil
}

func (f *fleet) settings(i int, zone, platform string, seeds []string) conf.Settings {
	s := conf.Default()
	s.Name = "vm-" + strconv.Itoa(i+1)
	s.Zone = zone
	s.Zones = f.trace.Zones
	s.Entry.Addr = loopback
	s.Admin.Addr = loopback
	s.Peer.Addr = loopback
	s.Peer.Secret = secret
	s.Peer.Seeds = seeds
	s.Platform.URL = "http://" + platform
	s.Limits.Rate = 1000
	s.Limits.Burst = 1000
	s.Drain.TTL = note.Duration(drainTTL)
	s.Drain.Timeout = note.Duration(drainTimeout)
	return s
}

func (f *fleet) startWorkers(ctx context.Context, group *errgroup.Group, s Service) error {
	for i := range s.Workers {
		w := worker.New(worker.Options{
			Name: s.Name + "-" + strconv.Itoa(i), Slots: workerSlots, Queue: workerQueue,
			Median: s.Median.Std(), Sigma: serviceTimeSigma, Seed: f.trace.Seed + uint64(i),
		})
		addr, err := serve(ctx, group, w.Handler())
		if err != nil {
			return err
		}
		f.workers[s.Name] = append(f.workers[s.Name], w)
		f.addrs[s.Name] = append(f.addrs[s.Name], addr)
	}
	return nil
}

// serve serves HTTP on a free loopback port until ctx ends and returns the address.
func serve(ctx context.Context, group *errgroup.Group, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		if err := server.Serve(listener); ctx.Err() == nil {
			return err
		}
		return nil
	})
	return listener.Addr().String(), nil
}

// releaseNote returns the JSON of the release note that adds the services and routes of
// the trace.
func (f *fleet) releaseNote() ([]byte, error) {
	n := note.Note{ID: "demo-1"}
	for _, s := range f.trace.Services {
		n.Added.Services = append(n.Added.Services, note.Service{
			Name: s.Name,
			Servers: lo.Map(f.addrs[s.Name], func(addr string, i int) note.Server {
				return note.Server{Addr: addr, Zone: f.trace.Zones[i%len(f.trace.Zones)], Slots: workerSlots, Conns: workerConns}
			}),
			Floor:     s.Floor,
			Detection: note.Detection{Profile: s.Profile, Bias: 0.5},
			Limits:    note.Limits{Queue: 64, Body: 1 << 20, MaxResponseBytes: 1 << 20, RetryRatio: 0.1, Hedge: true},
			Deadline:  s.Deadline,
			Probe:     note.Probe{Path: "/healthz", Period: note.Duration(5 * time.Second)},
			Echo:      note.EchoRequired,
		})
	}
	for i, flow := range f.trace.Flows {
		n.Added.Routes = append(n.Added.Routes, flow.route(i))
	}
	return json.Marshal(n)
}

func (f Flow) route(i int) note.Route {
	r := note.Route{
		Name:       "route-" + strconv.Itoa(i),
		Service:    f.Service,
		Path:       f.Path + "*",
		Methods:    []string{f.Method},
		Idempotent: f.Method == http.MethodGet,
		Class:      note.ClassNormal,
	}
	if !r.Idempotent {
		r.IdempotencyKey = note.KeyRequired
		r.Class = note.ClassUrgent
	}
	return r
}
