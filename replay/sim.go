package replay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	tickPeriod       = int64(100 * time.Millisecond) // Period of the control loop of an entry VM.
	probePeriodTicks = 20                            // Ticks between two health checks of a server.
	intraZoneDelay   = int64(100 * time.Microsecond) // One-way delay within an availability zone.
	ctxCheckEvents   = 1 << 14                       // Events between two checks of the context.
	firstIncarnation = 1000                          // Incarnation of the first VM.
)

// sim is one run of a trace with one policy and one seed. Times are in nanoseconds.
type sim struct {
	trace    *Trace
	policy   string
	seed     uint64
	now      int64
	end      int64
	warmup   int64
	events   events
	services []*service
	vms      []*vm
	liveVMs  []*vm
	result   *Result
}

// service is a service of the trace with its servers.
type service struct {
	*Service
	index         int
	servers       []*server
	loadChanges   []loadChange
	arrivals      uint64
	decisionGrace int64 // Time after a fault during which a decision is still justified.
}

// run simulates the trace and returns the result.
func run(ctx context.Context, t *Trace, policy string, seed uint64, span time.Duration) (*Result, error) {
	s := &sim{
		trace: t, policy: policy, seed: seed,
		end: int64(span), warmup: nanos(t.Warmup),
		result: newResult(t, policy),
	}
	s.build()
	s.scheduleFaults()
	last := s.end
	for _, svc := range s.services {
		s.scheduleArrival(svc)
		last = max(last, s.end+nanos(svc.Deadline))
	}
	for n := 0; ; n++ {
		if n%ctxCheckEvents == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		e, ok := s.events.next()
		if !ok || e.at > last {
			break
		}
		s.now = e.at
		e.fn()
	}
	s.collect()
	return s.result, nil
}

// schedule calls fn at virtual time t.
func (s *sim) schedule(t int64, fn func()) { s.events.push(t, fn) }

// toTime converts virtual time to a time.Time for the decision code.
func (s *sim) toTime(t int64) time.Time { return time.Unix(0, t).UTC() }

func zoneName(zone int) string { return fmt.Sprintf("zone%d", zone) }

// delay returns the one-way network delay between two availability zones.
func (s *sim) delay(from, to int) int64 {
	if from == to {
		return intraZoneDelay
	}
	return nanos(s.trace.InterZoneDelay)
}

// build creates the servers and VMs. It spreads the ticks and heartbeats of the VMs over
// their periods.
func (s *sim) build() {
	for i := range s.trace.Services {
		svc := &service{Service: &s.trace.Services[i], index: i}
		svc.decisionGrace = nanos(svc.Deadline) + int64(2*time.Second)
		for k := range svc.Servers {
			svc.servers = append(svc.servers, &server{
				sim: s, service: svc, index: k, zone: k % s.trace.Zones,
				addr: fmt.Sprintf("10.0.%d.%d:80", i, k),
			})
		}
		s.services = append(s.services, svc)
	}
	for i := range s.trace.VMs {
		s.vms = append(s.vms, s.newVM(i))
	}
	s.liveVMs = append(s.liveVMs, s.vms...)
	for i, v := range s.vms {
		v.connectPeers(s.vms, s.trace.PeersPerVM)
		s.schedule(tickPeriod*int64(i)/int64(len(s.vms)), v.tick)
		s.schedule(nanos(s.trace.HeartbeatPeriod)*int64(i)/int64(len(s.vms)), v.sendHeartbeat)
	}
}

func (s *sim) newVM(i int) *vm {
	v := &vm{sim: s, index: i, zone: i % s.trace.Zones}
	for _, svc := range s.services {
		random := rand.New(rand.NewPCG(s.seed, uint64(i)<<32|uint64(svc.index)<<8|streamPick))
		c := newController(s.policy, svc, v, uint64(firstIncarnation+i), random)
		v.controllers = append(v.controllers, c)
		v.inflight = append(v.inflight, make([][]*attempt, len(svc.servers)))
		v.weights = append(v.weights, make([]float64, len(svc.servers)))
		v.reduced = append(v.reduced, make([]bool, len(svc.servers)))
		v.ejected = append(v.ejected, make([]bool, len(svc.servers)))
		v.retryBudget = append(v.retryBudget, retryBudgetBurst)
	}
	return v
}

// scheduleArrival schedules the next request of the service at a live VM. The gaps between
// requests are exponentially distributed.
func (s *sim) scheduleArrival(svc *service) {
	rate := svc.RatePerServer * float64(len(svc.servers))
	for _, l := range svc.loadChanges {
		if s.now >= l.from && s.now < l.to {
			rate *= l.factor
		}
	}
	svc.arrivals++
	id := uint64(svc.index+1)<<48 | svc.arrivals
	gap := -math.Log(uniform(s.seed, streamArrival, id)) / rate
	t := s.now + int64(gap*float64(time.Second))
	if t >= s.end {
		return
	}
	s.schedule(t, func() {
		s.scheduleArrival(svc)
		v := s.liveVMs[int(uniform(s.seed, streamVM, id)*float64(len(s.liveVMs)))]
		v.startRequest(svc, id)
	})
}

func (s *sim) serviceTime(svc *service, id uint64) int64 {
	return svc.ServiceTimeModel.draw(uniform(s.seed, streamTail, id), uniform(s.seed, streamTime, id))
}

// loseVMs removes the first n live VMs. Their in-flight requests are lost, and callers
// send later requests to the other VMs.
func (s *sim) loseVMs(n int) {
	for _, v := range s.liveVMs[:n] {
		v.lost = true
		for i := range v.inflight {
			for k := range v.inflight[i] {
				for _, a := range v.inflight[i][k] {
					a.ended = true
					a.req.finish(endVMLost)
				}
				v.inflight[i][k] = nil
			}
		}
	}
	s.liveVMs = s.liveVMs[n:]
}

// collect adds the server hours and the detection times of the faults, which are known
// only at the end of the run.
func (s *sim) collect() {
	hours := float64(s.end) / float64(time.Hour)
	for _, svc := range s.services {
		s.result.hours += hours * float64(len(svc.servers))
		for _, srv := range svc.servers {
			for _, w := range srv.windows {
				if w.unhealthy && w.firstAffected != never && w.firstAffected < s.end {
					s.result.recordFault(w, min(w.to, s.end))
				}
			}
		}
	}
}
