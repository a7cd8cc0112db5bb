package entry

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/internal/fleet/quota"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/proxy"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	// rateLogInterval is the interval of log lines about the attempts at a backend server that
	// states a rate limit.
	rateLogInterval = 2 * time.Second
	rateStep        = 100 * time.Millisecond // Interval of the steps of the control loop.
)

// rates is the controller of the request rates that backend servers state: it keeps the
// shares of this VM and tells the other VMs what servers stated. Only the goroutine of the
// control loop uses it.
type rates struct {
	log      zerolog.Logger
	changes  *metrics.Counter
	limits   atomic.Int64 // Servers in use with a limit.
	table    *quota.Table
	logged   map[quota.Key]float64 // Rates of the last log line; servers without a limit are missing.
	loggedAt time.Time
	attempts func() []proxy.LimitedAttempts
	setRate  func(service, addr string, perSecond float64)
	grant    func(service, addr string)
	tell     func(rates []*wire.Rate, urgent bool)
}

func newRates(log zerolog.Logger, counters *metrics.Set, vm string, seed uint64) *rates {
	r := &rates{
		log: log, changes: counters.GetOrCreateCounter(`azuredeal_stated_rate_changes_total`),
		table: quota.New(vm, seed), logged: map[quota.Key]float64{},
		tell: func([]*wire.Rate, bool) {},
	}
	counters.NewGauge("azuredeal_limited_servers", func() float64 { return float64(r.limits.Load()) })
	return r
}

func (r *rates) controller() board.Controller {
	return board.Controller{Name: "rates", Rate: r.observe, Step: r.step}
}

// setServers replaces the servers that this VM uses.
func (r *rates) setServers(now time.Time, servers []quota.Server, alive int) {
	r.table.SetServers(now, servers, alive)
	maps.DeleteFunc(r.logged, func(key quota.Key, _ float64) bool {
		_, used := r.table.Server(key)
		return !used
	})
	r.apply(now)
}

func (r *rates) observe(now time.Time, s board.StatedRate) {
	key := quota.KeyOf(s.Service, s.Server, s.Instance)
	if r.table.Observe(quota.Statement{Key: key, PerSecond: s.PerSecond, At: s.At}) {
		r.logChange(key, s.Service, s.Server, s.PerSecond, "response")
		r.apply(now)
		r.tellOthers(now)
	}
}

// merge merges the rates that another VM sent.
func (r *rates) merge(now time.Time, received []*wire.Rate) {
	changed := false
	for _, w := range received {
		st := quota.Statement{Key: quota.Key(w.GetServer()), PerSecond: w.GetLimit(), At: now.Add(-time.Duration(w.GetAge()) * time.Millisecond)}
		if w.GetUnlimited() {
			st.PerSecond = board.Unlimited
		}
		if r.table.Merge(now, st) {
			changed = true
			if s, ok := r.table.Server(st.Key); ok {
				r.logChange(st.Key, s.Service, s.Addr, st.PerSecond, "peer")
			}
		}
	}
	if changed {
		r.apply(now)
	}
}

func (r *rates) step(now time.Time) {
	r.apply(now)
	for _, s := range r.table.Trials(now, rateStep) {
		r.grant(s.Service, s.Addr)
	}
	r.tellOthers(now)
	if now.Sub(r.loggedAt) >= rateLogInterval {
		r.logAttempts(now)
	}
}

// apply hands changed shares to the proxy.
func (r *rates) apply(now time.Time) {
	for _, s := range r.table.Shares(now) {
		r.setRate(s.Service, s.Addr, s.PerSecond)
	}
	r.limits.Store(int64(r.table.Limits()))
}

func (r *rates) tellOthers(now time.Time) {
	statements, urgent := r.table.Tell(now)
	if len(statements) == 0 {
		return
	}
	r.tell(lo.Map(statements, func(st quota.Statement, _ int) *wire.Rate {
		w := &wire.Rate{Server: uint64(st.Key), Age: uint32(max(0, now.Sub(st.At)).Milliseconds())}
		if st.PerSecond == board.Unlimited {
			w.Unlimited = true
		} else {
			w.Limit = st.PerSecond
		}
		return w
	}), urgent)
}

// logChange logs that a server states another rate, unless the rate is nearly the one of the
// last line.
func (r *rates) logChange(key quota.Key, service, addr string, rate float64, source string) {
	before, ok := r.logged[key]
	if !ok {
		before = board.Unlimited
	}
	if !quota.IsLargeChange(before, rate) {
		return
	}
	if rate == board.Unlimited {
		delete(r.logged, key)
	} else {
		r.logged[key] = rate
	}
	r.changes.Inc()
	r.log.Info().Str("service", service).Str("server", addr).Float64("before", before).Float64("rate", rate).
		Str("source", source).Msg("backend server states another request rate")
}

func (r *rates) logAttempts(now time.Time) {
	span := now.Sub(r.loggedAt)
	r.loggedAt = now
	for _, n := range r.attempts() {
		r.log.Info().Str("service", n.Service).Str("server", n.Server).Float64("share", n.Share).
			Dur("span", span).Uint64("first", n.First).Uint64("retries", n.Retries).Uint64("hedges", n.Hedges).
			Msg("attempts at a backend server with a rate limit")
	}
}

// ratedServers returns the servers of a release that this VM uses, with the VMs that may hold
// a share of the rate of each: those of the zone of the server, or all where it has none.
// zones holds the ids of the VMs alive. With many VMs in the zone these are the ones that
// prefer the server and their neighbors, who use it and are linked with each other.
func ratedServers(full, used *note.Release, zones map[string][]string) []quota.Server {
	var out []quota.Server
	all := slices.Sorted(slices.Values(slices.Concat(slices.Collect(maps.Values(zones))...)))
	complete := lo.KeyBy(full.Services(), func(s note.Service) string { return s.Name })
	for _, s := range used.Services() {
		whole := complete[s.Name]
		users := serverUsers(whole, len(all))
		zoneAddrs := map[string][]string{} // Servers of a zone, in the order of their preference.
		for _, b := range s.Servers {
			if zoneAddrs[b.Zone] == nil {
				zoneAddrs[b.Zone] = position{zone: b.Zone}.zoneServers(whole)
			}
			vms := zones[b.Zone]
			if len(vms) == 0 {
				vms = all
			}
			if len(vms) > 2*nearVMs+1 {
				vms = nearVMsOf(b.Addr, zoneAddrs[b.Zone], vms)
			}
			out = append(out, quota.Server{
				Key: quota.KeyOf(s.Name, b.Addr, b.InstanceID), Service: s.Name, Addr: b.Addr, Holders: vms, Users: users,
			})
		}
	}
	return out
}

// serverUsers returns how many of the VMs use a server of s: with the profile switch the near
// ones and some of other zones, when the service has many servers.
func serverUsers(s note.Service, vms int) int {
	if s.Detection.Profile == note.ProfileSwitch && len(s.Servers) > maxAllServers {
		return min(vms, 2*nearVMs+1+vmsPerServer)
	}
	return vms
}

// nearVMsOf returns the VM that prefers a server, of the VMs of its zone, and the nearVMs on
// either side. addrs are the servers of the zone.
func nearVMsOf(addr string, addrs, vms []string) []string {
	p := position{count: len(vms)}
	index := slices.Index(addrs, addr)
	owner := 0
	for i := range vms {
		if from, to := p.share(i, len(addrs)); from <= index && index < to {
			owner = i
			break
		}
	}
	out := make([]string, 0, 2*nearVMs+1)
	for i := owner - nearVMs; i <= owner+nearVMs; i++ {
		out = append(out, vms[(i+len(vms))%len(vms)])
	}
	return out
}

// memberIDs returns the ids of the VMs alive by availability zone, in order.
func memberIDs(s *member.Snapshot) map[string][]string {
	return lo.MapValues(s.AliveByZone(), func(members []member.Member, _ string) []string {
		return slices.Sorted(slices.Values(lo.Map(members, func(m member.Member, _ int) string { return m.ID() })))
	})
}
