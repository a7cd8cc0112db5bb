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
	probeTimeout        = time.Second
	maxConcurrentProbes = 4 // Of one service. A probe takes about 25 ms of a backend server's time.
	probersPerServer    = 3 // Number of VMs that probe a backend server within one period.
	minProbePeriod      = time.Second
	defaultProbePeriod  = 5 * time.Second
	maxProbeHeaderBytes = 16 << 10 // Of the response to a probe.
)

// prober runs active health checks against backend servers. Each of n VMs probes a
// server every n/probersPerServer periods, so that the probe load on a server doesn't
// depend on the size of the fleet.
type prober struct {
	client   *http.Client
	aliveVMs func() int // Number of VMs that are alive, this one included.
	// skip reports whether a server gets no probes, as one with a rate limit would spend part
	// of it on them.
	skip     func(service, server string) bool
	onResult func(service, server string, ok bool, took time.Duration)
}

func newProber(aliveVMs func() int, onResult func(service, server string, ok bool, took time.Duration)) *prober {
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxProbeHeaderBytes}
	return &prober{
		client:   &http.Client{Transport: transport, Timeout: probeTimeout},
		aliveVMs: aliveVMs,
		skip:     func(string, string) bool { return false },
		onResult: onResult,
	}
}

// run probes the servers of s until ctx is done. Each interval has a jitter of ±50%,
// so that VMs that started together don't probe at the same time.
func (p *prober) run(ctx context.Context, s note.Service) {
	period := s.Probe.Period.Std()
	if period == 0 {
		period = defaultProbePeriod
	}
	period = max(period, minProbePeriod)
	for {
		interval := period * time.Duration(max(1, p.aliveVMs()/probersPerServer))
		if !sleep.For(ctx, time.Duration((0.5+rand.Float64())*float64(interval))) {
			return
		}
		p.probeServers(ctx, s)
	}
}

func (p *prober) probeServers(ctx context.Context, s note.Service) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, b := range s.Servers {
		if p.skip(s.Name, b.Addr) {
			continue
		}
		group.Go(func() error {
			start := time.Now()
			ok := p.probe(ctx, "http://"+b.Addr+s.Probe.Path)
			if ctx.Err() == nil {
				p.onResult(s.Name, b.Addr, ok, time.Since(start))
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
