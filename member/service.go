package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/azuredeal/azuredeal/peer"
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	tickEvery = 100 * time.Millisecond
	// hintEvery is the interval of reading the platform's list, give or take
	// hintJitter.
	hintEvery  = 10 * time.Second
	hintJitter = 3 * time.Second
	hintTime   = 5 * time.Second // Limit for one read of the list.
)

// Options configure New. Function fields other than Link may be nil. Handlers
// are called without locks held, and must not block for long.
type Options struct {
	Self  Member
	Seeds []string // Peer addresses from settings.
	// RandSeed drives jitter and shuffles; 0 picks one at random.
	RandSeed uint64

	// Link opens a link to a peer address: the method of peer.Peer.
	Link func(ctx context.Context, addr string) (*peer.Link, error)
	// DiscoverVMs reads the platform's list of VMs.
	DiscoverVMs func(ctx context.Context) ([]store.VM, error)
	// Reports returns this VM's evidence on backend servers, with its age.
	Reports func() []*wire.Report
	// Generation returns that of the release in effect, 0 when there is none.
	Generation func() uint64

	// Roster returns the newest change to the backend servers that this VM knows of; nil
	// where the release says it all.
	Roster func() uint64

	// OnReports receives reports of other VMs, each newer than the last one of
	// the same origin on the same server.
	OnReports func(reports []*wire.Report)
	// OnEvents receives the events of a linked VM.
	OnEvents func(events []*wire.Event)
	// OnNewerGeneration is called for each heartbeat of a peer whose release has a
	// higher generation than Generation returns.
	OnNewerGeneration func(peerAddr string, generation uint64)
	// OnNewerRoster is called for each heartbeat of a peer that knows of a newer change to the
	// backend servers than Roster returns.
	OnNewerRoster func(roster uint64)
	// OnChange receives state changes, in order.
	OnChange func(c Change)
	// OnReplaced is called once when a process with the same id and a higher
	// incarnation has appeared; this one must stop.
	OnReplaced func()

	// FullMeshMaxVMs is the size up to which each VM links to all others; 0 for none.
	FullMeshMaxVMs int

	// Metrics takes the counters; nil keeps them in a set of their own.
	Metrics *metrics.Set
}

// Driver drives a View over links of package peer.
type Driver struct {
	opts     Options
	count    counters
	snapshot atomic.Pointer[Snapshot]
	// gate is called before each step; tests hold it to pause this VM.
	gate func()
	kick chan struct{} // Wakes Run for an urgent heartbeat.

	mu         sync.Mutex
	view       *View
	links      map[LinkID]*peer.Link
	ids        map[*peer.Link]LinkID
	generation uint64 // Highest that this VM had in effect.
	replaced   bool
}

type counters struct {
	changes [Gone + 1]*metrics.Counter
	queries, refutations, oneWay,
	outdated, resumed *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	var c counters
	for s := Unknown; s <= Gone; s++ {
		c.changes[s] = set.GetOrCreateCounter(fmt.Sprintf(`azuredeal_member_changes_total{state=%q}`, s))
	}
	c.queries = set.GetOrCreateCounter(`azuredeal_member_queries_total`)
	c.refutations = set.GetOrCreateCounter(`azuredeal_member_refutations_total`)
	c.oneWay = set.GetOrCreateCounter(`azuredeal_member_oneway_links_total`)
	c.outdated = set.GetOrCreateCounter(`azuredeal_member_outdated_records_total`)
	c.resumed = set.GetOrCreateCounter(`azuredeal_member_pauses_total`)
	return c
}

func (c *counters) set(s Stats) {
	c.queries.Set(s.Queries)
	c.refutations.Set(s.Refutations)
	c.oneWay.Set(s.OneWayLinks)
	c.outdated.Set(s.OutdatedRecords)
	c.resumed.Set(s.Pauses)
}

// New returns a Service. Its methods Record, OnLink and OnHeartbeat are the
// handlers for peer.Options.
func New(o Options) *Driver {
	if o.RandSeed == 0 {
		o.RandSeed = rand.Uint64()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Generation == nil {
		o.Generation = func() uint64 { return 0 }
	}
	s := &Driver{
		opts:  o,
		count: newCounters(o.Metrics),
		gate:  func() {},
		kick:  make(chan struct{}, 1),
		view:  NewView(time.Now(), o.Self, o.Seeds, o.RandSeed),
		links: map[LinkID]*peer.Link{},
		ids:   map[*peer.Link]LinkID{},
	}
	s.view.mesh = o.FullMeshMaxVMs
	s.snapshot.Store(s.view.Snapshot())
	return s
}

// SelfRecord returns this VM's own record for Hello.
func (s *Driver) SelfRecord() *wire.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.self.wire()
}

// Snapshot returns the members as of the last change. It takes no lock.
func (s *Driver) Snapshot() *Snapshot { return s.snapshot.Load() }

// Dump returns the state for operators.
func (s *Driver) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Dump(time.Now())
}

// QueueEvents sends events to all linked VMs with the next heartbeat, or at once when they
// are urgent.
func (s *Driver) QueueEvents(events []*wire.Event, urgent bool) {
	s.mu.Lock()
	s.view.QueueEvents(events)
	if urgent {
		s.view.HeartbeatNow(time.Now())
	}
	s.mu.Unlock()
	if urgent {
		select {
		case s.kick <- struct{}{}:
		default:
		}
	}
}

// SetSeedAddrs replaces the addresses that are tried first.
func (s *Driver) SetSeedAddrs(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.seeds = slices.Clone(addrs)
}

// Leave announces that this VM is leaving.
func (s *Driver) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Leave(time.Now())
}

// OnLink takes up and gives up links.
func (s *Driver) OnLink(l *peer.Link, up bool) {
	s.gate()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !up {
		id := s.ids[l]
		delete(s.ids, l)
		delete(s.links, id)
		s.view.LinkDown(now, id)
		return
	}
	id := s.view.LinkUp(now, l.Remote(), l.DialedAddr())
	if id == 0 {
		l.Close()
		return
	}
	s.links[id] = l
	s.ids[l] = id
}

// OnHeartbeat takes in a heartbeat.
func (s *Driver) OnHeartbeat(l *peer.Link, h *wire.Heartbeat) {
	s.gate()
	s.mu.Lock()
	id, ok := s.ids[l]
	if ok {
		s.view.HandleHeartbeat(time.Now(), id, h)
	}
	reports := s.view.PopReceivedReports()
	s.mu.Unlock()
	if len(h.GetEvents()) > 0 && s.opts.OnEvents != nil {
		s.opts.OnEvents(h.GetEvents())
	}
	if ok && s.opts.OnNewerRoster != nil && h.GetRoster() > s.opts.Roster() {
		s.opts.OnNewerRoster(h.GetRoster())
	}
	if len(reports) > 0 && s.opts.OnReports != nil {
		s.opts.OnReports(reports)
	}
	if ok && s.opts.OnNewerGeneration != nil && h.GetGeneration() > s.opts.Generation() {
		s.opts.OnNewerGeneration(l.Remote().GetPeer(), h.GetGeneration())
	}
}

// Run drives the view until ctx ends and returns the context's error.
func (s *Driver) Run(ctx context.Context) error {
	var work sync.WaitGroup
	defer work.Wait()
	if s.opts.DiscoverVMs != nil {
		work.Go(func() { s.pollHints(ctx) })
	}
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var nextReport time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-s.kick:
		}
		s.gate()
		now := time.Now()
		if s.opts.Reports != nil && !now.Before(nextReport) {
			nextReport = now.Add(heartbeatEvery)
			s.report(s.opts.Reports())
		}
		for _, addr := range s.step() {
			work.Go(func() { s.dial(ctx, addr) })
		}
	}
}

func (s *Driver) report(reports []*wire.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Report(time.Now(), reports)
}

// step runs one tick and returns the addresses to dial.
func (s *Driver) step() []string {
	generation := s.opts.Generation()
	s.mu.Lock()
	if generation > s.generation {
		s.generation = generation
		s.view.HeartbeatNow(time.Now())
	}
	plan := s.view.Tick(time.Now())
	if len(plan.Changes) > 0 {
		s.snapshot.Store(s.view.Snapshot())
	}
	s.count.set(s.view.stats)
	for _, id := range plan.Close {
		s.links[id].Close()
	}
	for _, id := range plan.Send {
		s.links[id].Send(func() *wire.Heartbeat { return s.compose(id) })
	}
	replaced := plan.Replaced && !s.replaced
	s.replaced = s.replaced || plan.Replaced
	s.mu.Unlock()
	for _, c := range plan.Changes {
		s.count.changes[c.Member.state].Inc()
		if s.opts.OnChange != nil {
			s.opts.OnChange(c)
		}
	}
	if replaced && s.opts.OnReplaced != nil {
		s.opts.OnReplaced()
	}
	return plan.Dial
}

func (s *Driver) compose(id LinkID) *wire.Heartbeat {
	s.gate()
	generation := s.opts.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.view.BuildHeartbeat(time.Now(), id, generation)
	if h != nil && s.opts.Roster != nil {
		h.Roster = s.opts.Roster()
	}
	return h
}

// dial opens a link; OnLink registers it.
func (s *Driver) dial(ctx context.Context, addr string) {
	_, err := s.opts.Link(ctx, addr)
	if err == nil {
		return
	}
	s.gate()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.DialFailed(time.Now(), addr)
}

func (s *Driver) pollHints(ctx context.Context) {
	for {
		readCtx, cancel := context.WithTimeout(ctx, hintTime)
		vms, err := s.opts.DiscoverVMs(readCtx)
		cancel()
		if err == nil {
			s.mu.Lock()
			s.view.SetDiscoveredVMs(vms)
			s.mu.Unlock()
		}
		pause := hintEvery - hintJitter + rand.N(2*hintJitter)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}
