package member

import (
	"context"
	"fmt"
	"math"
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
	tickInterval = 100 * time.Millisecond
	// discoverInterval is the interval of reads of the platform's list of VMs,
	// with a jitter of ±discoverJitter.
	discoverInterval = 10 * time.Second
	discoverJitter   = 3 * time.Second
	discoverTimeout  = 5 * time.Second // Timeout of one read of the list.
)

// Options configure New. Function fields other than Link may be nil. Handlers
// are called without locks held, and must not block for long.
type Options struct {
	Self  Member
	Seeds []string // Peer addresses from settings.
	// RandSeed seeds jitter and shuffles; 0 picks a random seed.
	RandSeed uint64

	// Link opens a link to a peer address; use the method of peer.Peer.
	Link func(ctx context.Context, addr string) (*peer.Link, error)
	// DiscoverVMs reads the platform's list of VMs.
	DiscoverVMs func(ctx context.Context) ([]store.VM, error)
	// Reports returns this VM's reports on backend servers, with their age.
	Reports func() []*wire.Report
	// Generation returns the generation of the applied release, 0 if there is none.
	Generation func() uint64

	// Roster returns the number of the newest change to the set of backend servers
	// that this VM knows of. It is nil where the release alone defines the set.
	Roster func() uint64

	// StoreSpan returns what is known of the answers of the platform, and OnStoreSpan receives that
	// of a linked VM. Set both or none.
	StoreSpan   func() StoreSpan
	OnStoreSpan func(s StoreSpan)

	// OnReports receives reports of other VMs, each newer than the previous one of
	// the same origin on the same backend server.
	OnReports func(reports []*wire.Report)
	// OnEvents receives the events of a linked VM.
	OnEvents func(events []*wire.Event)
	// OnRates receives the request rates that backend servers stated to a linked VM.
	OnRates func(rates []*wire.Rate)
	// Suspects returns the requests that may crash backend servers, for a VM that has just been
	// linked.
	Suspects func() []*wire.Suspect
	// OnSuspects receives what a linked VM knows of such requests.
	OnSuspects func(suspects []*wire.Suspect)
	// OnNewerGeneration is called for each heartbeat of a peer whose release has a
	// higher generation than Generation returns.
	OnNewerGeneration func(peer *wire.Member, generation uint64)
	// OnNewerRoster is called for each heartbeat of a peer that knows of a newer
	// change to the set of backend servers than Roster returns. It requires Roster.
	OnNewerRoster func(peer *wire.Member, roster uint64)
	// FirstHand reports whether this VM learns of changes from the platform itself. In a
	// full mesh the others need not pass on what all VMs have heard first hand. Nil means
	// that it does.
	FirstHand func() bool
	// OnChange receives state changes, in order.
	OnChange func(c Change)
	// OnReplaced is called once, when a process with the same id and a higher
	// incarnation has appeared. This process must then stop.
	OnReplaced func()

	// FullMeshMaxVMs is the number of members up to which each VM links to all
	// others; 0 disables the full mesh.
	FullMeshMaxVMs int

	// ZoneSharing says that VMs share backend servers with those next to them in their
	// availability zone, in the order of ids. Without a full mesh, each VM then links to
	// these as well, and events are sent within the zone only.
	ZoneSharing bool

	// Metrics is the set to register counters in; nil creates a private set.
	Metrics *metrics.Set
}

// StoreSpan is what a VM knows of the answers of the platform. Times are rounded to milliseconds.
type StoreSpan struct {
	Steady   time.Duration // For how long VMs of the fleet were answered without a gap; 0 if it is not known.
	Answered time.Duration // How long ago the last answer was.
	Followed time.Duration // How long ago a VM last knew all changes of the platform; 0 when none is known.
	News     News          // What the VM that told this knows; not set when it is told.
	// Delay is how long the heartbeat that told this may have been on its way; not set when it is told.
	Delay time.Duration
}

// after returns the span as it is told after a while.
func (s StoreSpan) after(d time.Duration) StoreSpan {
	if s.Steady > 0 {
		s.Answered += d
	}
	if s.Followed > 0 {
		s.Followed += d
	}
	return s
}

// Driver drives a View over links of package peer. It is safe for concurrent use.
type Driver struct {
	opts     Options
	count    counters
	snapshot atomic.Pointer[Snapshot]
	// beforeStep is called before each step; tests block in it to pause this VM.
	beforeStep func()
	wake       chan struct{} // Wakes Run to send an urgent heartbeat.

	mu       sync.Mutex
	view     *View
	links    map[LinkID]*peer.Link
	linkIDs  map[*peer.Link]LinkID
	replaced bool
}

type counters struct {
	changes [Gone + 1]*metrics.Counter
	queries, refutations, oneWay,
	outdated, pauses *metrics.Counter
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
	c.pauses = set.GetOrCreateCounter(`azuredeal_member_pauses_total`)
	return c
}

func (c *counters) set(s Stats) {
	c.queries.Set(s.Queries)
	c.refutations.Set(s.Refutations)
	c.oneWay.Set(s.OneWayLinks)
	c.outdated.Set(s.OutdatedRecords)
	c.pauses.Set(s.Pauses)
}

// New returns a Driver. Its methods SelfRecord, OnLink and OnHeartbeat serve as
// the fields Self, OnLink and OnHeartbeat of peer.Options.
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
	if o.Roster == nil {
		o.Roster = func() uint64 { return 0 }
	}
	if o.FirstHand == nil {
		o.FirstHand = func() bool { return true }
	}
	d := &Driver{
		opts:       o,
		count:      newCounters(o.Metrics),
		beforeStep: func() {},
		wake:       make(chan struct{}, 1),
		view:       NewView(time.Now(), o.Self, o.Seeds, o.RandSeed),
		links:      map[LinkID]*peer.Link{},
		linkIDs:    map[*peer.Link]LinkID{},
	}
	d.view.fullMeshMaxVMs, d.view.zoneSharing = o.FullMeshMaxVMs, o.ZoneSharing
	d.snapshot.Store(d.view.Snapshot())
	return d
}

// SelfRecord returns this VM's own record for the Hello message.
func (d *Driver) SelfRecord() *wire.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.self.wire()
}

// Snapshot returns the members as of the last tick with changes. It takes no lock.
func (d *Driver) Snapshot() *Snapshot { return d.snapshot.Load() }

// Dump returns the state for operators.
func (d *Driver) Dump() Dump {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Dump(time.Now())
}

// QueueEvents sends events to all linked VMs with the next heartbeat, or
// immediately if they are urgent.
func (d *Driver) QueueEvents(events []*wire.Event, urgent bool) {
	d.mu.Lock()
	d.view.QueueEvents(events)
	if urgent {
		d.view.EventsNow(time.Now())
	}
	d.mu.Unlock()
	if urgent {
		d.wakeUp()
	}
}

// QueueRates sends request rates that backend servers stated to this VM to all linked VMs
// with the next heartbeat, or immediately if they are urgent.
func (d *Driver) QueueRates(rates []*wire.Rate, urgent bool) {
	d.mu.Lock()
	d.view.QueueRates(time.Now(), rates)
	if urgent {
		d.view.RatesNow(time.Now())
	}
	d.mu.Unlock()
	if urgent {
		d.wakeUp()
	}
}

// QueueSuspects sends requests that may crash backend servers to linked VMs: immediately what
// this VM found itself, and with relay set what another VM has told it.
func (d *Driver) QueueSuspects(suspects []*wire.Suspect, relay bool) {
	d.mu.Lock()
	d.view.QueueSuspects(time.Now(), suspects, relay)
	d.mu.Unlock()
	d.wakeUp()
}

// wakeUp makes Run send the heartbeats that are due.
func (d *Driver) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// SetSeedAddrs replaces the seed addresses.
func (d *Driver) SetSeedAddrs(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.seeds = slices.Clone(addrs)
}

// Leave announces the graceful shutdown of this VM.
func (d *Driver) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.Leave(time.Now())
}

// OnLink registers a link that has come up, or removes one that has ended. It
// closes a link that the view refuses.
func (d *Driver) OnLink(l *peer.Link, up bool) {
	d.beforeStep()
	var suspects []*wire.Suspect
	if up && d.opts.Suspects != nil {
		suspects = d.opts.Suspects()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !up {
		id := d.linkIDs[l]
		delete(d.linkIDs, l)
		delete(d.links, id)
		d.view.LinkDown(now, id)
		return
	}
	id := d.view.LinkUp(now, l.Remote(), l.DialedAddr())
	if id == 0 {
		l.Close()
		return
	}
	d.links[id] = l
	d.linkIDs[l] = id
	for _, s := range suspects {
		d.view.link(id).queueSuspect(now, s)
	}
}

// OnHeartbeat merges a received heartbeat and calls the handlers of Options.
func (d *Driver) OnHeartbeat(l *peer.Link, h *wire.Heartbeat) {
	d.beforeStep()
	d.mu.Lock()
	id, ok := d.linkIDs[l]
	var delay time.Duration
	delayKnown := false
	if ok {
		d.view.HandleHeartbeat(time.Now(), id, h)
		delay, delayKnown = d.view.heartbeatDelay(id)
	}
	reports := d.view.PopReceivedReports()
	d.mu.Unlock()
	d.passOn(h)
	if ok && d.opts.OnNewerRoster != nil && h.GetRoster() > d.opts.Roster() {
		d.opts.OnNewerRoster(l.Remote(), h.GetRoster())
	}
	if len(reports) > 0 && d.opts.OnReports != nil {
		d.opts.OnReports(reports)
	}
	if ok && d.opts.OnNewerGeneration != nil && h.GetGeneration() > d.opts.Generation() {
		d.opts.OnNewerGeneration(l.Remote(), h.GetGeneration())
	}
	// After the positions: what the other VM knows of the platform holds for a VM that knows its changes.
	if delayKnown && d.opts.OnStoreSpan != nil {
		d.opts.OnStoreSpan(readStoreSpan(h, delay))
	}
}

// readStoreSpan returns what a heartbeat says that may have been on its way for a delay.
func readStoreSpan(h *wire.Heartbeat, delay time.Duration) StoreSpan {
	millisecond := func(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
	return StoreSpan{
		Steady: millisecond(h.GetSteady()), Answered: millisecond(h.GetAnswered()),
		Followed: millisecond(h.GetFollowed()), Delay: delay,
		News: News{Generation: h.GetGeneration(), Roster: h.GetRoster()},
	}
}

// passOn calls the handlers of what a heartbeat says of backend servers and requests.
func (d *Driver) passOn(h *wire.Heartbeat) {
	if len(h.GetEvents()) > 0 && d.opts.OnEvents != nil {
		d.opts.OnEvents(h.GetEvents())
	}
	if len(h.GetRates()) > 0 && d.opts.OnRates != nil {
		d.opts.OnRates(h.GetRates())
	}
	if len(h.GetSuspects()) > 0 && d.opts.OnSuspects != nil {
		d.opts.OnSuspects(h.GetSuspects())
	}
}

// Run drives the view until ctx ends and returns the context's error.
func (d *Driver) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	if d.opts.DiscoverVMs != nil {
		wg.Go(func() { d.pollDiscovery(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var nextReport time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.wake:
		}
		d.beforeStep()
		now := time.Now()
		if d.opts.Reports != nil && !now.Before(nextReport) {
			nextReport = now.Add(heartbeatInterval)
			d.submitReports(d.opts.Reports())
		}
		for _, addr := range d.step() {
			wg.Go(func() { d.dial(ctx, addr) })
		}
	}
}

func (d *Driver) submitReports(reports []*wire.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.Report(time.Now(), reports)
}

// step runs one tick of the view and returns the addresses to dial.
func (d *Driver) step() []string {
	news, firstHand := d.news(), d.opts.FirstHand()
	d.mu.Lock()
	d.view.Announce(time.Now(), news, firstHand)
	plan := d.view.Tick(time.Now())
	if len(plan.Changes) > 0 {
		d.snapshot.Store(d.view.Snapshot())
	}
	d.count.set(d.view.stats)
	for _, id := range plan.Close {
		d.links[id].Close()
	}
	for _, id := range plan.Send {
		d.links[id].Send(func() *wire.Heartbeat { return d.buildHeartbeat(id) })
	}
	replaced := plan.Replaced && !d.replaced
	d.replaced = d.replaced || plan.Replaced
	d.mu.Unlock()
	for _, c := range plan.Changes {
		d.count.changes[c.Member.state].Inc()
		if d.opts.OnChange != nil {
			d.opts.OnChange(c)
		}
	}
	if replaced && d.opts.OnReplaced != nil {
		d.opts.OnReplaced()
	}
	return plan.Dial
}

// news returns the newest changes that this VM knows of.
func (d *Driver) news() News {
	return News{Generation: d.opts.Generation(), Roster: d.opts.Roster()}
}

// buildHeartbeat builds the heartbeat for a link, or nil if the link is down.
func (d *Driver) buildHeartbeat(id LinkID) *wire.Heartbeat {
	d.beforeStep()
	var span StoreSpan
	if d.opts.StoreSpan != nil {
		span = d.opts.StoreSpan() // Before the positions, which have to be as new at least.
	}
	readAt := time.Now()
	news := d.news()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	h := d.view.BuildHeartbeat(now, id, news)
	if h != nil && d.opts.StoreSpan != nil {
		span = span.after(now.Sub(readAt))
		h.Steady, h.Answered = millis(span.Steady), millis(span.Answered)
		h.Followed = millis(span.Followed)
	}
	return h
}

// millis returns a duration in milliseconds, rounded up, as 0 says that it is not known. A negative
// one, of a time that another VM told of and that has not come yet, counts as 0.
func millis(d time.Duration) uint32 {
	return uint32(min(max(0, d+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
}

// HeartbeatNow sends a heartbeat on all links at once.
func (d *Driver) HeartbeatNow() {
	d.mu.Lock()
	for _, l := range d.view.links {
		l.nextHeartbeat = time.Now()
	}
	d.mu.Unlock()
	d.wakeUp()
}

// dial opens a link, which OnLink registers, or records the failure.
func (d *Driver) dial(ctx context.Context, addr string) {
	_, err := d.opts.Link(ctx, addr)
	if err == nil {
		return
	}
	d.beforeStep()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.DialFailed(time.Now(), addr)
}

// pollDiscovery reads the platform's list of VMs periodically until ctx ends. A
// failed read leaves the earlier list.
func (d *Driver) pollDiscovery(ctx context.Context) {
	for {
		readCtx, cancel := context.WithTimeout(ctx, discoverTimeout)
		vms, err := d.opts.DiscoverVMs(readCtx)
		cancel()
		if err == nil {
			d.mu.Lock()
			d.view.SetDiscoveredVMs(vms)
			d.mu.Unlock()
		}
		pause := discoverInterval - discoverJitter + rand.N(2*discoverJitter)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}
