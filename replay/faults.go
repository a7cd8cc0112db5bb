package replay

// scheduleFaults turns the faults of the trace, with their repeats, into fault windows of
// servers, changes of the load and losses of VMs.
func (s *sim) scheduleFaults() {
	for i := range s.trace.Faults {
		f := &s.trace.Faults[i]
		for n := 0; n <= f.Repeats; n++ {
			from := nanos(f.At) + int64(n)*nanos(f.RepeatInterval)
			if from < s.end {
				s.scheduleFault(f, n, from)
			}
		}
	}
}

// scheduleFault applies repeat n of the fault, which starts at from.
func (s *sim) scheduleFault(f *Fault, n int, from int64) {
	to := from + nanos(f.Span)
	if f.Kind == KindVMLoss {
		s.schedule(from, func() { s.loseVMs(f.VMs) })
		return
	}
	svc := s.service(f.Service)
	if f.Kind == KindLoad {
		svc.loadChanges = append(svc.loadChanges, loadChange{from, to, f.Factor})
		return
	}
	servers := svc.servers
	target := servers[(f.Server+n*max(1, f.ServerStep))%len(servers)]
	zone := (f.Zone + n) % s.trace.Zones
	switch f.Kind {
	case KindStall:
		target.addWindow(faultWindow{effect: effectSlow, from: from, to: to, unhealthy: true})
	case KindSlow:
		target.addWindow(faultWindow{effect: effectSlow, from: from, to: to, rate: 1 / f.Factor, unhealthy: true})
	case KindFlap:
		target.addWindow(faultWindow{effect: effectFailFast, from: from, to: to, period: nanos(f.Period), unhealthy: true})
	case KindCrossed:
		target.addWindow(faultWindow{effect: effectCrossed, from: from, to: to, share: f.Share, unhealthy: true})
	case KindDeploy:
		target.deploy(f, from, to)
	case KindServiceSlow, KindZoneSlow, KindPartition:
		for _, srv := range servers {
			if f.Kind == KindServiceSlow || srv.zone == zone {
				srv.addWindow(sharedWindow(f, from, to))
			}
		}
	}
}

// sharedWindow returns the window of one server for a fault that affects many servers. It
// does not mark the server as unhealthy, because the server is not the cause.
func sharedWindow(f *Fault, from, to int64) faultWindow {
	if f.Kind == KindPartition {
		return faultWindow{effect: effectPartition, from: from, to: to, vm: f.VM}
	}
	return faultWindow{effect: effectSlow, from: from, to: to, rate: 1 / f.Factor}
}

// deploy replaces the process of the server: it drains, is down, refuses requests during
// its cold start and is slow for the rest of the span.
func (srv *server) deploy(f *Fault, from, to int64) {
	down := from + nanos(f.DrainTime)
	cold := down + nanos(f.Downtime)
	slow := cold + nanos(f.ColdStart)
	srv.addWindow(faultWindow{effect: effectDraining, from: from, to: down, absent: true})
	srv.addWindow(faultWindow{effect: effectDown, from: down, to: cold, absent: true})
	srv.addWindow(faultWindow{effect: effectCold, from: cold, to: slow})
	srv.addWindow(faultWindow{effect: effectSlow, from: slow, to: to, rate: 1.0 / coldSlowdown})
}

func (srv *server) addWindow(w faultWindow) {
	w.firstAffected, w.detected, w.halfFleet = never, never, never
	srv.windows = append(srv.windows, &w)
}

// loadChange is a time span with a changed request rate.
type loadChange struct {
	from, to int64
	factor   float64 // Multiple of the normal rate.
}

// service returns the service with the name, or nil.
func (s *sim) service(name string) *service {
	for _, svc := range s.services {
		if svc.Name == name {
			return svc
		}
	}
	return nil
}
