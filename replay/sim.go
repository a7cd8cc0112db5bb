package replay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	tickPeriod   = int64(100 * time.Millisecond) // As the control loop of an entry VM.
	probePeriod  = 20                            // Ticks between probes of a server.
	insideDelay  = int64(100 * time.Microsecond) // One way within a zone.
	checkEvery   = 1 << 14                       // Events between looks at the context.
	originOffset = 1000                          // Incarnation of the first VM.
)

// sim is one run of a trace under one policy with one seed.
type sim struct {
	trace    *Trace
	policy   string
	seed     uint64
	now      int64
	end      int64
	warm     int64
	events   events
	services []*service
	vms      []*vm
	live     []*vm
	result   *Result
}

// service is one service of the trace with its servers.
type service struct {
	*Service
	index   int
	servers []*server
	loads   []load
	count   uint64
	grace   int64 // Time after a fault in which a decision is still right.
}

// run replays the trace and returns what happened.
func run(ctx context.Context, t *Trace, policy string, seed uint64, span time.Duration) (*Result, error) {
	s := &sim{
		trace: t, policy: policy, seed: seed,
		end: int64(span), warm: nanos(t.Warmup),
		result: newResult(t, policy),
	}
	s.build()
	s.plan()
	last := s.end
	for _, svc := range s.services {
		s.arrival(svc)
		last = max(last, s.end+nanos(svc.Deadline))
	}
	for n := 0; ; n++ {
		if n%checkEvery == 0 && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		e, ok := s.events.next()
		if !ok || e.at > last {
			break
		}
		s.now = e.at
		e.do()
	}
	s.close()
	return s.result, nil
}

func (s *sim) at(t int64, do func()) { s.events.add(t, do) }

// clock converts virtual time for the decision code.
func (s *sim) clock(t int64) time.Time { return time.Unix(0, t).UTC() }

func zoneName(zone int) string { return fmt.Sprintf("zone%d", zone) }

func (s *sim) delay(from, to int) int64 {
	if from == to {
		return insideDelay
	}
	return nanos(s.trace.InterZoneDelay)
}

func (s *sim) build() {
	for i := range s.trace.Services {
		svc := &service{Service: &s.trace.Services[i], index: i}
		svc.grace = nanos(svc.Deadline) + int64(2*time.Second)
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
	s.live = append(s.live, s.vms...)
	for i, v := range s.vms {
		v.link(s.vms, s.trace.PeersPerVM)
		s.at(tickPeriod*int64(i)/int64(len(s.vms)), v.tick)
		s.at(nanos(s.trace.HeartbeatPeriod)*int64(i)/int64(len(s.vms)), v.beat)
	}
}

func (s *sim) newVM(i int) *vm {
	v := &vm{sim: s, index: i, zone: i % s.trace.Zones}
	for _, svc := range s.services {
		random := rand.New(rand.NewPCG(s.seed, uint64(i)<<32|uint64(svc.index)<<8|streamPick))
		c := newControl(s.policy, svc, v, uint64(originOffset+i), random)
		v.controls = append(v.controls, c)
		v.flights = append(v.flights, make([][]*attempt, len(svc.servers)))
		v.weights = append(v.weights, make([]float64, len(svc.servers)))
		v.reduced = append(v.reduced, make([]bool, len(svc.servers)))
		v.ejected = append(v.ejected, make([]bool, len(svc.servers)))
		v.budget = append(v.budget, budgetBurst)
	}
	return v
}

// arrival schedules the next request of the service.
func (s *sim) arrival(svc *service) {
	rate := svc.RatePerServer * float64(len(svc.servers))
	for _, l := range svc.loads {
		if s.now >= l.from && s.now < l.to {
			rate *= l.factor
		}
	}
	svc.count++
	id := uint64(svc.index+1)<<48 | svc.count
	gap := -math.Log(uniform(s.seed, streamArrival, id)) / rate
	t := s.now + int64(gap*float64(time.Second))
	if t >= s.end {
		return
	}
	s.at(t, func() {
		s.arrival(svc)
		v := s.live[int(uniform(s.seed, streamVM, id)*float64(len(s.live)))]
		v.begin(svc, id)
	})
}

func (s *sim) serviceTime(svc *service, id uint64) int64 {
	return svc.ServiceTimeModel.draw(uniform(s.seed, streamWhich, id), uniform(s.seed, streamTime, id))
}

// lose ends the first n live VMs. Their requests in flight are lost; callers
// turn to the others.
func (s *sim) lose(n int) {
	for _, v := range s.live[:n] {
		v.lost = true
		for i := range v.flights {
			for k := range v.flights[i] {
				for _, a := range v.flights[i][k] {
					a.over = true
					a.req.finish(endLost)
				}
				v.flights[i][k] = nil
			}
		}
	}
	s.live = s.live[n:]
}

// close adds what is known only at the end of the run.
func (s *sim) close() {
	hours := float64(s.end) / float64(time.Hour)
	for _, svc := range s.services {
		s.result.hours += hours * float64(len(svc.servers))
		for _, v := range svc.servers {
			for _, w := range v.windows {
				if w.sick && w.first != never && w.first < s.end {
					s.result.fault(w, min(w.to, s.end))
				}
			}
		}
	}
}
