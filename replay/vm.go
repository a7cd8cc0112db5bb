package replay

import (
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/health"
)

const (
	retryBudgetBurst = 10.0 // Maximum number of tokens in the retry budget of a service.
	maxAttempts      = 3    // Attempts of a request, the first included.
	minUsableWeight  = 0.5  // Minimum weight of a server that counts towards the floor.
)

// vm simulates an entry VM: a controller per service and the requests in flight.
type vm struct {
	sim         *sim
	index       int
	zone        int
	lost        bool
	ticks       int
	controllers []*controller
	inflight    [][][]*attempt // By service and server.
	weights     [][]float64    // Weights after the last decisions.
	reduced     [][]bool
	ejected     [][]bool
	retryBudget []float64 // Retries and hedged requests left, by service.
	peers       []*vm
	statsBuf    []board.InflightStats
}

// connectPeers selects peers on both sides of a ring of all VMs, at distances that keep
// the number of hops between two VMs small.
func (v *vm) connectPeers(all []*vm, maxPeers int) {
	for _, step := range []int{1, 2, 5, 7, 3, 6, 4, 8} {
		for _, k := range []int{v.index + step, v.index - step + len(all)} {
			p := all[k%len(all)]
			if len(v.peers) < maxPeers && p != v && !v.hasPeer(p) {
				v.peers = append(v.peers, p)
			}
		}
	}
}

func (v *vm) hasPeer(p *vm) bool {
	for _, q := range v.peers {
		if q == p {
			return true
		}
	}
	return false
}

// request is a request of a caller.
type request struct {
	vm            *vm
	service       *service
	id            uint64
	arrived       int64
	deadline      int64
	nonIdempotent bool // At-most-once execution: retried only if it was refused.
	done          bool
	sent          int        // Attempts so far.
	tried         []int      // Indexes of the servers tried.
	open          []*attempt // Attempts in flight.
}

// attempt is one attempt of a request at one server.
type attempt struct {
	req    *request
	server *server
	id     uint64
	start  int64
	ended  bool
}

// startRequest deposits into the retry budget and sends the first attempt of a request.
func (v *vm) startRequest(svc *service, id uint64) {
	s := v.sim
	r := &request{
		vm: v, service: svc, id: id, arrived: s.now,
		deadline:      s.now + nanos(svc.Deadline),
		nonIdempotent: uniform(s.seed, streamNonIdempotent, id) < svc.NonIdempotentShare,
	}
	v.retryBudget[svc.index] = min(v.retryBudget[svc.index]+svc.RetryRatio, retryBudgetBurst)
	s.schedule(r.deadline, func() { r.expire() })
	if !r.attempt() {
		r.finish(endRefused)
	}
}

// attempt sends the request to one more server. It returns false if there is no
// server to choose.
func (r *request) attempt() bool {
	v, s := r.vm, r.vm.sim
	c := v.controllers[r.service.index]
	i := c.pick(r.tried, r.nonIdempotent)
	if i < 0 {
		return false
	}
	a := &attempt{req: r, server: r.service.servers[i], id: r.id<<2 | uint64(r.sent), start: s.now}
	r.sent++
	r.tried = append(r.tried, i)
	r.open = append(r.open, a)
	c.begin(i)
	v.inflight[r.service.index][i] = append(v.inflight[r.service.index][i], a)
	s.schedule(s.now+s.delay(v.zone, a.server.zone), func() { a.server.receive(a) })
	if c.hedge != nil && !r.nonIdempotent {
		if wait := c.hedge(); wait > 0 {
			s.schedule(s.now+int64(wait), func() { r.hedge(a) })
		}
	}
	if c.timeout > 0 && !r.nonIdempotent {
		s.schedule(s.now+int64(c.timeout), func() { r.timeout(a) })
	}
	return true
}

// sendExtraAttempt sends one more attempt if the retry budget allows it.
func (r *request) sendExtraAttempt() bool {
	left := &r.vm.retryBudget[r.service.index]
	if r.sent >= maxAttempts || *left < 1 || r.vm.sim.now >= r.deadline || !r.attempt() {
		return false
	}
	*left--
	return true
}

// hedge sends a hedged request if the attempt is still the latest one in flight.
func (r *request) hedge(a *attempt) {
	if !r.done && !a.ended && r.open[len(r.open)-1] == a {
		r.sendExtraAttempt()
	}
}

// timeout replaces an attempt that has reached its timeout. The attempt goes on if no
// other can be sent.
func (r *request) timeout(a *attempt) {
	if r.done || a.ended {
		return
	}
	if r.sendExtraAttempt() {
		a.end(board.Late)
	}
}

// end removes the attempt from those in flight and reports its outcome to the policy.
func (a *attempt) end(out board.Outcome) {
	r, s := a.req, a.req.vm.sim
	a.ended = true
	r.open = remove(r.open, a)
	list := &r.vm.inflight[r.service.index][a.server.index]
	*list = remove(*list, a)
	c := r.vm.controllers[r.service.index]
	c.end(a.server.index)
	if c.observe == nil {
		return
	}
	c.observe(s.toTime(s.now), a.server.index, board.Sample{
		Service: r.service.Name, Server: a.server.addr, Start: s.toTime(a.start),
		Took: time.Duration(s.now - a.start), Outcome: out,
	})
	r.vm.recordDecision(r.service, a.server.index)
}

func remove(list []*attempt, a *attempt) []*attempt {
	for i, b := range list {
		if a == b {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// deliver handles the response to an attempt: it finishes the request or retries it.
func (s *sim) deliver(a *attempt, out board.Outcome) {
	r := a.req
	if a.ended || r.vm.lost {
		return
	}
	a.end(out)
	if r.done {
		return
	}
	refused := out == board.Shed || out == board.Draining || out == board.Cold || out == board.Unreachable
	switch {
	case out == board.Success:
		r.finish(endSuccess)
	case (refused || !r.nonIdempotent) && r.sendExtraAttempt():
	case len(r.open) > 0:
	case refused:
		r.finish(endRefused)
	default:
		r.finish(endFailed)
	}
}

// expire finishes the request at its deadline.
func (r *request) expire() {
	if !r.done && !r.vm.lost {
		r.finish(endDeadline)
	}
}

// finish records the end of the request and cancels its attempts in flight.
func (r *request) finish(how ending) {
	if r.done {
		return
	}
	r.done = true
	s := r.vm.sim
	if r.arrived >= s.warmup {
		s.result.request(how, s.now-r.arrived, r.sent)
	}
	out := board.Canceled
	if how == endDeadline {
		out = board.Late
	}
	if r.vm.lost {
		return
	}
	for len(r.open) > 0 {
		r.open[0].end(out)
	}
}

// tick runs the control loop once: health checks, decisions and the check of the floor.
func (v *vm) tick() {
	s := v.sim
	if v.lost || s.now >= s.end {
		return
	}
	s.schedule(s.now+tickPeriod, v.tick)
	v.ticks++
	for i, c := range v.controllers {
		svc := s.services[i]
		if c.probe != nil {
			v.probe(svc, c)
		}
		if c.tick != nil {
			c.tick(s.toTime(s.now), v.inflightStats(svc))
			for k := range svc.servers {
				v.recordDecision(svc, k)
			}
			v.checkFloor(svc, c)
		}
	}
}

// probe sends the health checks that are due in this tick. Only a server that is down
// fails them.
func (v *vm) probe(svc *service, c *controller) {
	for k, srv := range svc.servers {
		if (v.ticks+k)%probePeriodTicks == 0 {
			c.probe(v.sim.toTime(v.sim.now), k, srv.activeWindow(v.sim.now, effectDown) == nil)
		}
	}
}

// inflightStats returns the in-flight attempts by server. The slice is valid until the
// next call.
func (v *vm) inflightStats(svc *service) []board.InflightStats {
	v.statsBuf = v.statsBuf[:0]
	for k, list := range v.inflight[svc.index] {
		if len(list) > 0 {
			v.statsBuf = append(v.statsBuf, board.InflightStats{
				Service: svc.Name, Server: svc.servers[k].addr,
				Count: len(list), OldestStart: v.sim.toTime(list[0].start),
			})
		}
	}
	return v.statsBuf
}

// recordDecision compares the current decision about a server with the last one and
// records detections, false reductions and false ejections.
func (v *vm) recordDecision(svc *service, k int) {
	decision := v.controllers[svc.index].decisions[k]
	lowered := decision.weight < v.weights[svc.index][k]
	v.weights[svc.index][k] = decision.weight
	reduced := decision.state == health.Reduced || decision.state == health.Trial || decision.state == health.Ejected
	ejected := decision.state == health.Ejected
	wasReduced, wasEjected := &v.reduced[svc.index][k], &v.ejected[svc.index][k]
	if reduced != *wasReduced {
		*wasReduced = reduced
		if reduced && !v.sim.justified(svc, k) {
			v.sim.result.falseReductions++
		}
	}
	if lowered {
		v.sim.recordReduction(svc, k)
	}
	if ejected != *wasEjected {
		*wasEjected = ejected
		if ejected && !v.sim.justified(svc, k) {
			v.sim.result.falseEjections++
		}
	}
}

// justified reports whether a decision against the server is right: it is unhealthy or
// stopped, or was so within the grace time.
func (s *sim) justified(svc *service, k int) bool {
	for _, w := range svc.servers[k].windows {
		if (w.unhealthy || w.absent) && s.now >= w.from && s.now < w.to+svc.decisionGrace {
			return true
		}
	}
	return false
}

// recordReduction records a decision that lowered the share of the server. It counts for
// the active faults that have already affected a request.
func (s *sim) recordReduction(svc *service, k int) {
	reducedVMs := 0
	for _, v := range s.vms {
		if v.reduced[svc.index][k] {
			reducedVMs++
		}
	}
	for _, w := range svc.servers[k].windows {
		if !w.unhealthy || w.firstAffected == never || s.now < w.firstAffected || s.now >= w.to {
			continue
		}
		if w.detected == never {
			w.detected = s.now
		}
		if w.halfFleet == never && 2*reducedVMs >= len(s.vms) {
			w.halfFleet = s.now
		}
	}
}

// checkFloor counts a violation if fewer servers are usable than the floor requires, or
// than are running if those are fewer.
func (v *vm) checkFloor(svc *service, c *controller) {
	usable, capacity := 0, 0
	for k, srv := range svc.servers {
		if srv.activeWindow(v.sim.now, effectDraining) != nil || srv.activeWindow(v.sim.now, effectDown) != nil ||
			srv.activeWindow(v.sim.now, effectCold) != nil {
			continue
		}
		capacity++
		if c.decisions[k].weight >= minUsableWeight {
			usable++
		}
	}
	if usable < min(svc.Floor, capacity) {
		v.sim.result.floorViolations++
	}
}

// sendHeartbeat sends the health reports of the VM to its peers.
func (v *vm) sendHeartbeat() {
	s := v.sim
	if v.lost || s.now >= s.end {
		return
	}
	s.schedule(s.now+nanos(s.trace.HeartbeatPeriod), v.sendHeartbeat)
	for i, c := range v.controllers {
		if c.reports == nil {
			continue
		}
		reports := c.reports(s.toTime(s.now))
		s.result.reports = max(s.result.reports, len(reports))
		for _, p := range v.peers {
			s.schedule(s.now+s.delay(v.zone, p.zone), func() {
				if !p.lost {
					p.controllers[i].merge(s.toTime(s.now), zoneName(v.index), reports)
				}
			})
		}
	}
}
