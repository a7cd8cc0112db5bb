package replay

import (
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/health"
)

const (
	budgetBurst  = 10.0
	maxAttempts  = 3
	usableWeight = 0.5 // Least weight that counts towards the floor.
)

// vm is one entry VM: a control per service and its requests.
type vm struct {
	sim      *sim
	index    int
	zone     int
	lost     bool
	ticks    int
	controls []*control
	flights  [][][]*attempt // By service and server.
	weights  [][]float64    // Of the last decisions.
	reduced  [][]bool
	ejected  [][]bool
	budget   []float64 // Retries and hedges left, by service.
	peers    []*vm
	scratch  []board.InflightStats
}

// link gives the VM peers on both sides of a ring, at distances that keep the
// number of hops small.
func (v *vm) link(all []*vm, links int) {
	for _, step := range []int{1, 2, 5, 7, 3, 6, 4, 8} {
		for _, k := range []int{v.index + step, v.index - step + len(all)} {
			p := all[k%len(all)]
			if len(v.peers) < links && p != v && !v.linked(p) {
				v.peers = append(v.peers, p)
			}
		}
	}
}

func (v *vm) linked(p *vm) bool {
	for _, q := range v.peers {
		if q == p {
			return true
		}
	}
	return false
}

// request is one request of a caller.
type request struct {
	vm       *vm
	service  *service
	id       uint64
	arrived  int64
	deadline int64
	once     bool // Not idempotent.
	done     bool
	sent     int
	tried    []int
	open     []*attempt
}

// attempt is one try of a request at one server.
type attempt struct {
	req    *request
	server *server
	id     uint64
	start  int64
	over   bool
}

func (v *vm) begin(svc *service, id uint64) {
	s := v.sim
	r := &request{
		vm: v, service: svc, id: id, arrived: s.now,
		deadline: s.now + nanos(svc.Deadline),
		once:     uniform(s.seed, streamOnce, id) < svc.NonIdempotentShare,
	}
	v.budget[svc.index] = min(v.budget[svc.index]+svc.RetryRatio, budgetBurst)
	s.at(r.deadline, func() { r.expire() })
	if !r.attempt() {
		r.finish(endRefused)
	}
}

// attempt sends the request to one more server; false when there is none.
func (r *request) attempt() bool {
	v, s := r.vm, r.vm.sim
	c := v.controls[r.service.index]
	i := c.pick(r.tried, r.once)
	if i < 0 {
		return false
	}
	a := &attempt{req: r, server: r.service.servers[i], id: r.id<<2 | uint64(r.sent), start: s.now}
	r.sent++
	r.tried = append(r.tried, i)
	r.open = append(r.open, a)
	c.begin(i)
	v.flights[r.service.index][i] = append(v.flights[r.service.index][i], a)
	s.at(s.now+s.delay(v.zone, a.server.zone), func() { a.server.arrive(a) })
	if c.hedge != nil && !r.once {
		if wait := c.hedge(); wait > 0 {
			s.at(s.now+int64(wait), func() { r.hedge(a) })
		}
	}
	if c.timeout > 0 && !r.once {
		s.at(s.now+int64(c.timeout), func() { r.timeout(a) })
	}
	return true
}

// again sends one more attempt when the budget allows it.
func (r *request) again() bool {
	left := &r.vm.budget[r.service.index]
	if r.sent >= maxAttempts || *left < 1 || r.vm.sim.now >= r.deadline || !r.attempt() {
		return false
	}
	*left--
	return true
}

func (r *request) hedge(a *attempt) {
	if !r.done && !a.over && r.open[len(r.open)-1] == a {
		r.again()
	}
}

func (r *request) timeout(a *attempt) {
	if r.done || a.over {
		return
	}
	if r.again() {
		a.end(board.Late)
	}
}

// end takes the attempt out of flight and reports it to the policy.
func (a *attempt) end(out board.Outcome) {
	r, s := a.req, a.req.vm.sim
	a.over = true
	r.open = remove(r.open, a)
	list := &r.vm.flights[r.service.index][a.server.index]
	*list = remove(*list, a)
	c := r.vm.controls[r.service.index]
	c.end(a.server.index)
	if c.observe == nil {
		return
	}
	c.observe(s.clock(s.now), a.server.index, board.Sample{
		Service: r.service.Name, Server: a.server.addr, Start: s.clock(a.start),
		Took: time.Duration(s.now - a.start), Outcome: out,
	})
	r.vm.note(r.service, a.server.index)
}

func remove(list []*attempt, a *attempt) []*attempt {
	for i, b := range list {
		if a == b {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// deliver hands the outcome of an attempt to its request.
func (s *sim) deliver(a *attempt, out board.Outcome) {
	r := a.req
	if a.over || r.vm.lost {
		return
	}
	a.end(out)
	if r.done {
		return
	}
	refused := out == board.Shed || out == board.Draining || out == board.Cold || out == board.Unreachable
	switch {
	case out == board.Success:
		r.finish(endGood)
	case (refused || !r.once) && r.again():
	case len(r.open) > 0:
	case refused:
		r.finish(endRefused)
	default:
		r.finish(endFailed)
	}
}

func (r *request) expire() {
	if !r.done && !r.vm.lost {
		r.finish(endLate)
	}
}

// finish ends the request and the attempts that are still open.
func (r *request) finish(how ending) {
	if r.done {
		return
	}
	r.done = true
	s := r.vm.sim
	if r.arrived >= s.warm {
		s.result.request(how, s.now-r.arrived, r.sent)
	}
	out := board.Canceled
	if how == endLate {
		out = board.Late
	}
	if r.vm.lost {
		return
	}
	for len(r.open) > 0 {
		r.open[0].end(out)
	}
}

// tick runs one round of decisions.
func (v *vm) tick() {
	s := v.sim
	if v.lost || s.now >= s.end {
		return
	}
	s.at(s.now+tickPeriod, v.tick)
	v.ticks++
	for i, c := range v.controls {
		svc := s.services[i]
		if c.probe != nil {
			v.probe(svc, c)
		}
		if c.tick != nil {
			c.tick(s.clock(s.now), v.inFlight(svc))
			for k := range svc.servers {
				v.note(svc, k)
			}
			v.checkFloor(svc, c)
		}
	}
}

func (v *vm) probe(svc *service, c *control) {
	for k, w := range svc.servers {
		if (v.ticks+k)%probePeriod == 0 {
			c.probe(v.sim.clock(v.sim.now), k, w.find(v.sim.now, phaseDown) == nil)
		}
	}
}

func (v *vm) inFlight(svc *service) []board.InflightStats {
	v.scratch = v.scratch[:0]
	for k, list := range v.flights[svc.index] {
		if len(list) > 0 {
			v.scratch = append(v.scratch, board.InflightStats{
				Service: svc.Name, Server: svc.servers[k].addr,
				Count: len(list), OldestStart: v.sim.clock(list[0].start),
			})
		}
	}
	return v.scratch
}

// note records a change of the decision about one server.
func (v *vm) note(svc *service, k int) {
	view := v.controls[svc.index].views[k]
	lowered := view.weight < v.weights[svc.index][k]
	v.weights[svc.index][k] = view.weight
	reduced := view.state == health.Reduced || view.state == health.Trial || view.state == health.Ejected
	ejected := view.state == health.Ejected
	wasReduced, wasEjected := &v.reduced[svc.index][k], &v.ejected[svc.index][k]
	if reduced != *wasReduced {
		*wasReduced = reduced
		if reduced && !v.sim.justified(svc, k) {
			v.sim.result.reductions++
		}
	}
	if lowered {
		v.sim.detect(svc, k)
	}
	if ejected != *wasEjected {
		*wasEjected = ejected
		if ejected && !v.sim.justified(svc, k) {
			v.sim.result.ejections++
		}
	}
}

// justified reports whether the server is or has just been unhealthy or away.
func (s *sim) justified(svc *service, k int) bool {
	for _, w := range svc.servers[k].windows {
		if (w.sick || w.absent) && s.now >= w.from && s.now < w.to+svc.grace {
			return true
		}
	}
	return false
}

// detect notes a decision that lowered the share of the server. It counts for
// the faults that have met a request by now.
func (s *sim) detect(svc *service, k int) {
	half := 0
	for _, v := range s.vms {
		if v.reduced[svc.index][k] {
			half++
		}
	}
	for _, w := range svc.servers[k].windows {
		if !w.sick || w.first == never || s.now < w.first || s.now >= w.to {
			continue
		}
		if w.detected == never {
			w.detected = s.now
		}
		if w.spread == never && 2*half >= len(s.vms) {
			w.spread = s.now
		}
	}
}

// checkFloor counts a violation when fewer servers with capacity are usable
// than the floor, or than there are.
func (v *vm) checkFloor(svc *service, c *control) {
	usable, capacity := 0, 0
	for k, w := range svc.servers {
		if w.find(v.sim.now, phaseDrain) != nil || w.find(v.sim.now, phaseDown) != nil ||
			w.find(v.sim.now, phaseCold) != nil {
			continue
		}
		capacity++
		if c.views[k].weight >= usableWeight {
			usable++
		}
	}
	if usable < min(svc.Floor, capacity) {
		v.sim.result.floor++
	}
}

// beat sends the reports of the VM to its peers.
func (v *vm) beat() {
	s := v.sim
	if v.lost || s.now >= s.end {
		return
	}
	s.at(s.now+nanos(s.trace.HeartbeatPeriod), v.beat)
	for i, c := range v.controls {
		if c.reports == nil {
			continue
		}
		reports := c.reports(s.clock(s.now))
		s.result.reports = max(s.result.reports, len(reports))
		for _, p := range v.peers {
			s.at(s.now+s.delay(v.zone, p.zone), func() {
				if !p.lost {
					p.controls[i].merge(s.clock(s.now), zoneName(v.index), reports)
				}
			})
		}
	}
}
