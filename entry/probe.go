package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/sleep"
)

const (
	probeTimeout  = time.Second
	probesAtOnce  = 4 // A probe costs a backend server about 25 ms.
	probersWanted = 3 // VMs whose probes a backend server sees in one period.
	minPeriod     = time.Second
	defaultPeriod = 5 * time.Second
)

// prober probes backend servers. With n VMs each one probes a server every
// n/probersWanted periods, so that the load of probes on a server stays the same
// however many VMs there are.
type prober struct {
	client *http.Client
	vms    func() int // Members that are alive, this VM included.
	result func(service, server string, ok bool, took time.Duration)
}

func newProber(vms func() int, result func(service, server string, ok bool, took time.Duration)) *prober {
	transport := &http.Transport{DisableKeepAlives: true}
	return &prober{
		client: &http.Client{Transport: transport, Timeout: probeTimeout},
		vms:    vms,
		result: result,
	}
}

// run probes the servers of s until ctx ends. Each round starts at a random
// point, so that VMs that started together do not probe together.
func (p *prober) run(ctx context.Context, s note.Service) {
	period := s.Probe.Period.Std()
	if period == 0 {
		period = defaultPeriod
	}
	period = max(period, minPeriod)
	for {
		span := period * time.Duration(max(1, p.vms()/probersWanted))
		if !sleep.For(ctx, time.Duration((0.5+rand.Float64())*float64(span))) {
			return
		}
		p.round(ctx, s)
	}
}

func (p *prober) round(ctx context.Context, s note.Service) {
	var group errgroup.Group
	group.SetLimit(probesAtOnce)
	for _, b := range s.Servers {
		group.Go(func() error {
			start := time.Now()
			ok := p.probe(ctx, "http://"+b.Addr+s.Probe.Path)
			if ctx.Err() == nil {
				p.result(s.Name, b.Addr, ok, time.Since(start))
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (p *prober) probe(ctx context.Context, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := p.client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close() //nolint:errcheck // The body is not read.
	return resp.StatusCode < http.StatusInternalServerError
}
