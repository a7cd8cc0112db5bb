package replay

// plan turns the faults of the trace into windows at servers, VMs and loads.
func (s *sim) plan() {
	for i := range s.trace.Faults {
		f := &s.trace.Faults[i]
		for n := 0; n <= f.Repeats; n++ {
			from := nanos(f.At) + int64(n)*nanos(f.RepeatInterval)
			if from < s.end {
				s.place(f, n, from)
			}
		}
	}
}

func (s *sim) place(f *Fault, n int, from int64) {
	to := from + nanos(f.Span)
	if f.Kind == KindVMLoss {
		s.at(from, func() { s.lose(f.VMs) })
		return
	}
	svc := s.service(f.Service)
	if f.Kind == KindLoad {
		svc.loads = append(svc.loads, load{from, to, f.Factor})
		return
	}
	servers := svc.servers
	hit := servers[(f.Server+n*max(1, f.ServerStep))%len(servers)]
	zone := (f.Zone + n) % s.trace.Zones
	switch f.Kind {
	case KindStall:
		hit.add(window{phase: phaseRate, from: from, to: to, sick: true})
	case KindSlow:
		hit.add(window{phase: phaseRate, from: from, to: to, rate: 1 / f.Factor, sick: true})
	case KindFlap:
		hit.add(window{phase: phaseFail, from: from, to: to, period: nanos(f.Period), sick: true})
	case KindCrossed:
		hit.add(window{phase: phaseWrong, from: from, to: to, share: f.Share, sick: true})
	case KindDeploy:
		hit.deploy(f, from, to)
	case KindServiceSlow, KindZoneSlow, KindPartition:
		for _, v := range servers {
			if f.Kind == KindServiceSlow || v.zone == zone {
				v.add(sharedWindow(f, from, to))
			}
		}
	}
}

// sharedWindow is one server's part of a cause that is not its own.
func sharedWindow(f *Fault, from, to int64) window {
	if f.Kind == KindPartition {
		return window{phase: phaseSilent, from: from, to: to, vm: f.VM}
	}
	return window{phase: phaseRate, from: from, to: to, rate: 1 / f.Factor}
}

// deploy replaces the process: it drains, is down, refuses as cold and is slow
// for the rest of the span.
func (v *server) deploy(f *Fault, from, to int64) {
	down := from + nanos(f.DrainTime)
	cold := down + nanos(f.Downtime)
	slow := cold + nanos(f.ColdStart)
	v.add(window{phase: phaseDrain, from: from, to: down, absent: true})
	v.add(window{phase: phaseDown, from: down, to: cold, absent: true})
	v.add(window{phase: phaseCold, from: cold, to: slow})
	v.add(window{phase: phaseRate, from: slow, to: to, rate: 1.0 / coldFactor})
}

func (v *server) add(w window) {
	w.first, w.detected, w.spread = never, never, never
	v.windows = append(v.windows, &w)
}

// load is a span with another rate of requests.
type load struct {
	from, to int64
	factor   float64
}

func (s *sim) service(name string) *service {
	for _, svc := range s.services {
		if svc.Name == name {
			return svc
		}
	}
	return nil
}
