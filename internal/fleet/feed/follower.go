package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/internal/fleet/watch"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	minBackoff = 100 * time.Millisecond
	// maxBackoff is short enough for a VM to catch up in the allowed time after an outage.
	// It applies to a VM that has no objects yet or no other VMs to hear from.
	maxBackoff = 500 * time.Millisecond
	// maxWatcherBackoff applies to the watchers of a fleet. The first of them that reaches
	// the platform again brings the changes to all.
	maxWatcherBackoff = 2 * time.Second
	// maxTrailingBackoff applies to the second kind of objects while calls for the first one fail as
	// well. The answer to a call for either ends the wait of the other.
	maxTrailingBackoff = 4 * maxWatcherBackoff
	// coalesceDelay is how long a watcher waits after a change before its next watch, so
	// that changes in quick succession cost one call. It is well within the 2 s in which
	// a change has to take effect.
	coalesceDelay = watch.ChangePause
	// pullInterval is the least time between two pulls from other VMs. The watchers of a
	// fleet see changes in quick succession at different times, and each pull of changes
	// rebuilds the release.
	pullInterval = 400 * time.Millisecond
	// missedChangeDelay is how long a watcher may be behind another VM before it interrupts
	// its watch and pulls the change. It leaves time for the response of the watch, which
	// the platform sends to all watchers at the same moment.
	missedChangeDelay = 300 * time.Millisecond
	// pullPatience is how long a VM that does not watch tries to pull a known change from
	// other VMs before it reads the platform.
	pullPatience = 600 * time.Millisecond
	// pullTimeout is the time limit of one pull. It leaves time for a second VM.
	pullTimeout = 300 * time.Millisecond
	// nearDelay is how long a VM waits for news from a VM of its own availability zone,
	// after news from another zone. Traffic between zones is expensive, and news takes up
	// to 100 ms from link to link.
	nearDelay = 250 * time.Millisecond
	// roleInterval is how often a VM that does not watch checks whether it should.
	roleInterval = 500 * time.Millisecond
	// catchUpWait is how long the platform may let a VM wait that looks for changes that
	// it could not pull.
	catchUpWait = 200 * time.Millisecond
	// listingWait is how long the platform may let a VM wait that looks for changes after a
	// stale listing, or in place of silent watchers. There is nothing to wait for, but the platform
	// takes no shorter time.
	listingWait = time.Millisecond
	// maxSources bounds the VMs that are remembered to pull from; each tells again with its
	// next heartbeat.
	maxSources = 16
)

// ErrHistoryGone means that the platform has dropped the history after a position, or has
// begun another era since.
var ErrHistoryGone = errors.New("history after this position is gone")

// errInterrupted means that a wait was ended so that the follower looks again at once.
var errInterrupted = errors.New("wait interrupted")

// errBehind means that a listing is older than what is known.
var errBehind = errors.New("listing is behind the known position")

// Peer is a VM that has told of a newer position.
type Peer struct {
	Addr string // "ip:port".
	Near bool   // It is in the availability zone of this VM.
}

// Fleet is what a follower needs of the other VMs.
type Fleet struct {
	Size     func() int // Returns the number of VMs.
	Watchers func() int // Returns the number of VMs that watch the platform.
	// Watches reports whether this VM watches the platform itself. VMs that do not pull the
	// changes from others.
	Watches func() bool
	// Peers returns the other VMs that this one is linked with. Nil means none.
	Peers func() []Peer
	// AskOrder returns the place of this VM among those that ask the platform when the watchers are
	// silent, see watch.Options; nil means that none does. HeartbeatNow tells the others at once.
	AskOrder     func() (place, count int, ok bool)
	HeartbeatNow func()
	// Pull asks the VM at addr for the changes after a position.
	Pull func(ctx context.Context, addr string, pull *wire.Pull) (*wire.Changes, error)
}

// Update is what one step of a follower brought.
type Update struct {
	Kind    string
	Err     error    // A call to the platform failed; the other fields are empty.
	Upto    Position // All changes up to it are known.
	Changes []Change
	Listed  bool // The changes lead to a listing of all objects.
	// Held is until when the platform held the call, waiting for changes; zero if it did not.
	Held time.Time
	// Relayed says that another VM passed the changes on, so that they tell nothing about
	// this VM's path to the platform.
	Relayed bool
	// Grace is how much longer removed objects may belong to running processes, because the
	// platform has just come back from an outage. It is set for relayed changes only.
	Grace time.Duration
}

// Options configures a follower.
type Options struct {
	Kind  string // Kind of the objects, as the platform names it.
	Fleet Fleet
	// List returns all objects and the position of the listing. With allowStale it may be
	// seconds behind, and is cheaper.
	List func(ctx context.Context, allowStale bool) (objects []Change, upto Position, err error)
	// Watch returns the changes after a position, of the same era, as soon as there are any,
	// or none after wait. It returns ErrHistoryGone when the platform no longer has them.
	Watch func(ctx context.Context, after Position, wait time.Duration) (changes []Change, upto Position, err error)
	// Store is told of the calls to the platform, and decides how long the watches are. Nil means that
	// this VM follows no other kind.
	Store *watch.State
	// AllowStale reports whether the first listing may be stale; nil means that it may not.
	AllowStale func() bool
	// Grace returns how much longer removed objects may belong to running processes.
	Grace func() time.Duration
	Log   zerolog.Logger
}

// Follower follows the objects of one kind: it lists them once, and then watches the
// platform for changes or pulls them from other VMs.
type Follower struct {
	opts  Options
	log   *Log
	other *Follower     // Follows the other kind; both share one history in the platform.
	news  chan struct{} // Wakes a follower that waits for news of other VMs.
	leads bool          // Of the two, this one calls first where one call is enough.
	// turnedAway is set while calls of this VM to the platform fail.
	turnedAway atomic.Bool

	mu           sync.Mutex
	cancelWatch  context.CancelFunc // Ends the current watch; nil when there is none.
	checkPending bool               // A check for a missed change is scheduled.
	askPending   bool               // The platform is to be asked at once.
	retryPending bool               // The other follower has been answered again.
	announced    Position           // Newest one that another VM has told of.
	behindSince  time.Time          // Since when announced is above what this VM knows.
	sources      map[Peer]Position  // VMs to pull from, with the position that each told of.
}

// NewFollower returns a follower of one kind.
func NewFollower(o Options) *Follower {
	if o.Store == nil {
		o.Store = watch.New(watch.Options{Kinds: []string{o.Kind}})
	}
	return &Follower{opts: o, log: NewLog(), news: make(chan struct{}, 1), sources: map[Peer]Position{}}
}

// Link makes two followers tell each other when the platform has dropped its history, and when it
// answers again. Where one call shows whether it answers, the first one makes it.
func Link(first, second *Follower) {
	first.other, second.other, first.leads = second, first, true
}

// Newest returns the position of the newest known change.
func (f *Follower) Newest() Position { return f.log.Newest() }

// Reply returns the reply to a pull of another VM.
func (f *Follower) Reply(pull *wire.Pull) *wire.Changes {
	reply := f.log.Reply(Position(pull.GetAfter()), pull.GetComplete())
	if f.opts.Grace != nil {
		reply.Grace = uint32(max(0, f.opts.Grace()).Milliseconds())
	}
	return reply
}

// watchWait returns how long the next watch waits.
func (f *Follower) watchWait() time.Duration {
	return f.opts.Store.WatchTime(time.Now(), f.opts.Kind, f.opts.Fleet.Watchers(), rand.Float64())
}

// ObservePeer records the newest position that another VM knows. A VM that does not watch
// pulls the changes from there; one that watches and still lacks them after
// missedChangeDelay starts its watch anew.
func (f *Follower) ObservePeer(peer Peer, position Position) {
	if position <= f.log.Known() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.announced <= f.log.Known() {
		f.behindSince = time.Now()
	}
	f.announced = max(f.announced, position)
	if len(f.sources) < maxSources || f.sources[peer] != 0 {
		f.sources[peer] = position
	}
	f.signalNews()
	if f.checkPending {
		return
	}
	f.checkPending = true
	time.AfterFunc(missedChangeDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.checkPending = false
		if known := f.log.Known(); position > known && f.cancelWatch != nil {
			f.opts.Log.Info().Str("kind", f.opts.Kind).Stringer("position", position).Stringer("known", known).
				Msg("another VM knows a newer position; restarting the watch")
			f.cancelWatch()
		}
	})
}

// Run follows the kind until ctx ends and sends each update to updates. It returns the
// error of ctx.
func (f *Follower) Run(ctx context.Context, updates chan<- Update) error {
	listing := limit.NewBackoff(minBackoff, maxBackoff, rand.Uint64())
	following := limit.NewBackoff(minBackoff, maxWatcherBackoff, rand.Uint64())
	trailing := limit.NewBackoff(maxWatcherBackoff, maxTrailingBackoff, rand.Uint64())
	listed, allowStale := false, f.opts.AllowStale != nil
	for ctx.Err() == nil {
		u, err := f.step(ctx, listed, allowStale)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrHistoryGone):
			f.opts.Log.Info().Str("kind", f.opts.Kind).Stringer("known", f.log.Known()).Msg("platform dropped its history; listing all objects")
			listed, allowStale = false, false
			if f.other != nil {
				f.other.interruptWatch()
			}
			continue
		case errors.Is(err, errInterrupted):
			continue
		case err != nil:
			u = Update{Err: err, Held: u.Held}
			f.turnedAway.Store(true)
			f.opts.Store.Failed()
		default:
			if !u.Relayed {
				f.noteAnswer()
			}
			// Only the first listing may be stale, as later ones follow a loss of history.
			listed, allowStale = true, false
			listing.Reset()
			following.Reset()
			trailing.Reset()
		}
		u.Kind = f.opts.Kind
		select {
		case updates <- u:
		case <-ctx.Done():
			return ctx.Err()
		}
		switch {
		case !listed || f.opts.Fleet.Size() < watch.MinWatchers:
			f.pause(ctx, u, listing)
		case f.trails():
			f.pause(ctx, u, trailing)
		default:
			f.pause(ctx, u, following)
		}
	}
	return ctx.Err()
}

// noteAnswer ends the pause of the other follower when calls of this one had failed before.
func (f *Follower) noteAnswer() {
	if f.turnedAway.Swap(false) && f.other != nil {
		f.other.retryNow()
	}
}

// trails reports whether the calls of the follower that calls first fail, so that this one need not call.
func (f *Follower) trails() bool {
	return f.other != nil && !f.leads && f.other.turnedAway.Load()
}

// pause waits before the next step: after a failure, until another VM knows a newer
// position at the latest, and after changes, so that changes in quick succession are taken
// together.
func (f *Follower) pause(ctx context.Context, u Update, backoff *limit.Backoff) {
	var delay time.Duration
	switch {
	case u.Err != nil:
		delay = backoff.Next()
	case u.Relayed:
		delay = pullInterval
	case len(u.Changes) > 0:
		delay = coalesceDelay
	default:
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-f.news:
			if f.takeRetry() || u.Err != nil && f.isBehind() {
				return
			}
		}
	}
}

// AskNow makes the follower ask the platform at once, also in place of an open watch.
func (f *Follower) AskNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.askPending = true
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
	f.signalNews()
}

// retryNow ends the pause after a failed call.
func (f *Follower) retryNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryPending = true
	f.signalNews()
}

// takeRetry reports whether the platform is to be called without a further pause.
func (f *Follower) takeRetry() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.askPending || f.retryPending
	f.retryPending = false
	return pending
}

func (f *Follower) takeAsk() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.askPending
	f.askPending = false
	return pending
}

func (f *Follower) signalNews() {
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// step lists the kind, catches up with other VMs, watches the platform or waits for news,
// whichever is due.
func (f *Follower) step(ctx context.Context, listed, allowStale bool) (Update, error) {
	switch {
	case !listed:
		f.takeAsk() // A listing tells more.
		return f.list(ctx, allowStale)
	case f.takeAsk():
		return f.ask(ctx)
	case f.isBehind():
		return f.catchUp(ctx)
	case f.log.Newest() == 0 || f.opts.Fleet.Watches():
		return f.follow(ctx)
	}
	return Update{}, f.awaitNews(ctx, roleInterval)
}

// list takes in a listing of all objects. A stale one is brought up to date before anything
// uses it: a VM that restarts must not send requests to servers that have left since.
func (f *Follower) list(ctx context.Context, allowStale bool) (Update, error) {
	allowStale = allowStale && f.opts.AllowStale()
	start := time.Now()
	objects, upto, err := f.opts.List(ctx, allowStale)
	if err != nil {
		return Update{}, err
	}
	var missed []Change
	newest := upto
	if allowStale {
		if missed, newest, err = f.opts.Watch(ctx, upto, listingWait); err != nil {
			return Update{}, err
		}
	}
	known := f.log.Known()
	changes, ok := f.log.Replace(upto, objects)
	if !ok {
		f.opts.Log.Warn().Str("kind", f.opts.Kind).Stringer("position", upto).Stringer("known", known).
			Msg("listing of the platform is behind the known position; not taking it")
		return Update{}, errors.Wrapf(errBehind, "position %v", upto)
	}
	f.opts.Log.Info().Str("kind", f.opts.Kind).Stringer("position", upto).Stringer("known", known).
		Int("objects", len(objects)).Int("changes", len(changes)).Msg("listing of the platform taken")
	missed, _ = f.log.Append(upto, newest, missed)
	changes = append(changes, missed...)
	f.tellKnown()
	f.opts.Store.Answered(f.opts.Kind, start, len(changes) > 0)
	return Update{Upto: newest, Changes: changes, Listed: true}, nil
}

// ask asks the platform for changes, and makes the other follower do so once it has answered.
func (f *Follower) ask(ctx context.Context) (Update, error) {
	u, err := f.watch(ctx, listingWait)
	if err == nil && f.leads { // The other kind need not be asked for while the platform is away.
		f.other.AskNow()
	}
	return u, err
}

// follow is the watch of a VM that watches the platform. After a failed call it does not wait, as an
// answer shows that the platform is back.
func (f *Follower) follow(ctx context.Context) (Update, error) {
	if f.turnedAway.Load() {
		return f.watch(ctx, listingWait)
	}
	wait := f.watchWait()
	f.opts.Store.Opened(f.opts.Kind, time.Now().Add(wait))
	u, err := f.watch(ctx, wait)
	if err != nil {
		f.opts.Store.Closed(f.opts.Kind)
	}
	return u, err
}

// watch waits for changes. It returns errInterrupted when cancelWatch ends the wait, and until
// when the platform held the call with any other error too.
func (f *Follower) watch(ctx context.Context, wait time.Duration) (Update, error) {
	open, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setCancelWatch(cancel)
	after, start := f.log.Known(), time.Now()
	changes, upto, err := f.opts.Watch(open, after, wait)
	f.setCancelWatch(nil)
	u := Update{Held: start.Add(min(wait, time.Since(start)))}
	switch {
	case err != nil && open.Err() != nil && ctx.Err() == nil:
		return Update{}, errInterrupted
	case err != nil:
		return u, err
	}
	u.Upto = upto
	u.Changes, _ = f.log.Append(after, upto, changes)
	f.tellKnown()
	f.opts.Store.Answered(f.opts.Kind, u.Held, len(changes) > 0)
	return u, nil
}

func (f *Follower) setCancelWatch(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWatch = cancel
}

// interruptWatch ends the current watch, which may have missed a change.
func (f *Follower) interruptWatch() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// awaitNews waits until another VM tells of a newer position, or for d.
func (f *Follower) awaitNews(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.news:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return errInterrupted
}

// isBehind reports whether another VM has told of a position that this one lacks.
func (f *Follower) isBehind() bool {
	known := f.log.Known()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced > known
}

// catchUp pulls the missing changes from a VM that knows them, and reads the platform when
// none can pass them on in time.
func (f *Follower) catchUp(ctx context.Context) (Update, error) {
	peer, wait, ok := f.takeSource(time.Now())
	if ok {
		u, err := f.pullFrom(ctx, peer)
		if err == nil {
			return u, nil
		}
		f.opts.Log.Debug().Err(err).Str("kind", f.opts.Kind).Str("peer", peer.Addr).Msg("cannot pull changes from another VM")
		return Update{}, errInterrupted
	}
	if wait > 0 {
		return Update{}, f.awaitNews(ctx, wait)
	}
	u, err := f.watch(ctx, catchUpWait)
	if err == nil {
		f.forgetSources()
	}
	return u, err
}

// takeSource removes and returns a VM to pull from, those of the own availability zone
// first. Without one it returns how long to wait for another; 0 means no longer.
func (f *Follower) takeSource(now time.Time) (peer Peer, wait time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	behindFor := now.Sub(f.behindSince)
	for p, position := range f.sources {
		switch {
		case position <= f.log.Known():
			delete(f.sources, p)
		case p.Near:
			delete(f.sources, p)
			return p, 0, true
		default:
			peer, ok = p, true
		}
	}
	if ok && behindFor >= nearDelay {
		delete(f.sources, peer)
		return peer, 0, true
	}
	patience := pullPatience
	if ok {
		patience = nearDelay
	}
	return Peer{}, max(0, patience-behindFor), false
}

func (f *Follower) forgetSources() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = 0
	clear(f.sources)
}

// pullFrom takes in the changes that another VM passes on.
func (f *Follower) pullFrom(ctx context.Context, peer Peer) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	after := f.log.Known()
	// What was lost between two eras can be more than the other VM can tell as changes. All
	// objects are then still less than a call of each VM to a platform that has just come back.
	complete := f.turnedAway.Load() || f.announcedEra() != after.Era()
	reply, err := f.opts.Fleet.Pull(ctx, peer.Addr, &wire.Pull{Feed: f.opts.Kind, After: uint64(after), Complete: complete})
	if err != nil {
		return Update{}, err
	}
	upto := Position(reply.GetUpto())
	if upto <= after {
		return Update{}, errors.Newf("its position %v is not above %v", upto, after)
	}
	changes, err := unpack(reply.GetChanges())
	if err != nil {
		return Update{}, err
	}
	if reply.GetComplete() {
		changes, _ = f.log.Replace(upto, changes)
	} else {
		changes, _ = f.log.Append(after, upto, changes)
	}
	f.tellKnown()
	return Update{Upto: upto, Changes: changes, Listed: reply.GetComplete(), Relayed: true, Grace: time.Duration(reply.GetGrace()) * time.Millisecond}, nil
}

func (f *Follower) tellKnown() { f.opts.Store.Known(f.opts.Kind, uint64(f.log.Known())) }

// announcedEra returns the newest era that another VM has told of.
func (f *Follower) announcedEra() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced.Era()
}
