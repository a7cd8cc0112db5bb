package deploy_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/store"
)

// Guards against two operators who both believe that their note was accepted on
// the same base.
func TestTwoPublishers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		mustPublish(t, publisher(p, 1), first(20))
		var errs [2]error
		done := make(chan struct{})
		for i := range errs {
			go func() {
				_, errs[i] = publisher(p, uint64(i+2)).Publish(t.Context(), more(i, 1))
				done <- struct{}{}
			}()
		}
		<-done
		<-done
		var conflict *deploy.ConflictError
		if (errs[0] == nil) == (errs[1] == nil) || !errors.As(errors.Join(errs[:]...), &conflict) {
			t.Fatalf("errors %v", errs)
		}
		if fault.Of(conflict) != fault.Conflict || conflict.Base() != 1 || conflict.Current() != 2 {
			t.Errorf("conflict %v", conflict)
		}
		loser := 0
		if errs[0] == nil {
			loser = 1
		}
		if got := mustPublish(t, publisher(p, 4), more(loser, 2)); got != 3 {
			t.Errorf("rebased note became generation %d", got)
		}
	})
}

// Guards against a note that is refused or applied twice because the answer of a
// write was lost, before or after the write took effect.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tt := range []struct {
			name    string
			matches func(string) bool
			effect  bool
		}{
			{"head took effect", isHead, true},
			{"head did not", isHead, false},
			{"chunk took effect", isChunk, true},
			{"chunk did not", isChunk, false},
		} {
			p := newPlatform()
			mustPublish(t, publisher(p, 1), first(20))
			lost := 0
			lose := func(name string) error {
				if tt.matches(name) && lost == 0 {
					lost++
					return errSilent
				}
				return nil
			}
			if tt.effect {
				p.after = lose
			} else {
				p.before = lose
			}
			pub := publisher(p, 2)
			if got := mustPublish(t, pub, more(0, 1)); got != 2 || lost != 1 {
				t.Errorf("%s: generation %d", tt.name, got)
			}
			if got := mustPublish(t, pub, more(1, 2)); got != 3 {
				t.Errorf("%s: next generation %d", tt.name, got)
			}
		}
	})
}

// Guards against an operator who cannot find out what became of a note when the
// platform went down in the middle of the commit, and against a repeat that is
// applied again or a reused id that is taken for a repeat.
func TestRepeatedNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		mustPublish(t, publisher(p, 1), first(20))
		p.after = func(name string) error {
			if isHead(name) {
				p.setDown(true)
				return errSilent
			}
			return nil
		}
		pub := publisher(p, 2)
		if _, err := pub.Publish(t.Context(), more(0, 1)); fault.Of(err) != fault.PlatformDown {
			t.Fatalf("commit in an outage: %v", err)
		}
		p.setDown(false)
		p.after = nil
		mustPublish(t, publisher(p, 3), more(1, 2))
		for _, base := range []uint64{1, 3} {
			if got := mustPublish(t, pub, more(0, base)); got != 2 {
				t.Errorf("repeat on base %d returned generation %d", base, got)
			}
		}
		other := more(2, 3)
		other.ID = "more-0"
		if _, err := pub.Publish(t.Context(), other); fault.Of(err) != fault.Invalid {
			t.Errorf("id of another note: %v", err)
		}
		if _, err := pub.Publish(t.Context(), more(4, 3)); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a reader that sees half of a note whose publisher died between
// chunks and head, and against what it left staying for ever.
func TestPublisherDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := running(t)
		defer stop()
		p := newPlatform()
		mustPublish(t, publisher(p, 1), first(20))
		v := newVMs()
		follower := v.add(ctx, "a", p.client())
		v.reach(t, 1, time.Second)
		before := len(p.names(t, "release/chunk/"))
		dying, die := context.WithCancel(ctx)
		p.before = func(name string) error {
			if isHead(name) {
				die()
				return errSilent
			}
			return nil
		}
		if _, err := publisher(p, 2).Publish(dying, more(0, 1)); fault.Of(err) != fault.PlatformDown {
			t.Fatal(err)
		}
		p.before = nil
		time.Sleep(2 * time.Minute)
		if _, ok := follower.Release().Route("route-1000000"); ok || follower.Generation() != 1 {
			t.Error("a reader saw a note that was not committed")
		}
		if after := len(p.names(t, "release/chunk/")); after != before+1 {
			t.Fatalf("the dead publisher left %d chunks", after-before)
		}
		pub := publisher(p, 3)
		mustPublish(t, pub, more(1, 1))
		time.Sleep(8 * time.Minute)
		mustPublish(t, pub, more(2, 2))
		if pub.Stats().Collected != 0 {
			t.Error("objects were deleted before readers of an older head had time to end")
		}
		time.Sleep(20 * time.Minute)
		mustPublish(t, pub, more(3, 3))
		if chunks := p.names(t, "release/chunk/"); len(chunks) > before+3 || pub.Stats().Collected < 2 {
			t.Errorf("%d chunks, %+v", len(chunks), pub.Stats())
		}
	})
}

// Guards against an order of writes in which the death of a publisher, or the
// pause between two of its writes, leaves a head that refers to what is missing.
func TestEveryPrefixOfWrites(t *testing.T) {
	for allowed := range 5 {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform()
			mustPublish(t, publisher(p, 1), first(20))
			dying, die := context.WithCancel(t.Context())
			writes := 0
			p.before = func(string) error {
				if writes++; writes > allowed {
					die()
					return errSilent
				}
				return nil
			}
			_, _ = publisher(p, 2).Publish(dying, more(0, 1))
			die()
			want := uint64(1)
			if allowed >= 3 { // The chunk, the manifest, then head.
				want = 2
			}
			if got := whole(t.Context(), p); got != want {
				t.Errorf("after %d writes generation %d can be loaded", allowed, got)
			}
		})
	}
}

// Guards against a collector that is late: it runs for a release before the one
// that another publisher is about to build on, and must not take that
// publisher's chunks, however long both are paused.
func TestLateCollector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		held := func(matches func(string) bool) (*deploy.Publisher, chan struct{}) {
			c := p.client()
			get, put, gate := c.Get, c.Put, make(chan struct{})
			c.Get = func(ctx context.Context, name string) (store.Object, error) {
				if matches(name) {
					<-gate
				}
				return get(ctx, name)
			}
			c.Put = func(ctx context.Context, name string, value []byte, cond store.Version) (store.Version, error) {
				if matches("put " + name) {
					<-gate
				}
				return put(ctx, name, value, cond)
			}
			return deploy.NewPublisher(c), gate
		}
		collecting := func(name string) bool { return name == "release/garbage" }
		b1, gate1 := held(collecting)
		b2, gate2 := held(collecting)
		a, gate3 := held(func(name string) bool { return name == "put release/head" })
		done := make(chan error)
		publish := func(pub *deploy.Publisher, n *note.Note) {
			go func() {
				_, err := pub.Publish(t.Context(), n)
				done <- err
			}()
			time.Sleep(time.Minute)
		}
		publish(b1, first(2))   // Committed; its collector has yet to run.
		publish(b2, more(0, 1)) // The same.
		publish(a, more(1, 2))  // Its chunks are written; head is not.
		close(gate1)
		time.Sleep(time.Hour)
		close(gate2)
		time.Sleep(time.Hour)
		close(gate3)
		for range 3 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if got := whole(t.Context(), p); got != 3 {
			t.Errorf("generation %d can be loaded", got)
		}
	})
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Guards against a collector that deletes what a release refers to. Publishers
// that pause between any two calls add and withdraw the same routes, so their
// chunks come back after they were marked as garbage.
func TestCollectorKeepsReleases(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			p := newPlatform()
			mustPublish(t, publisher(p, seed), first(2))
			pause := locked(seed + 100)
			p.before = func(string) error {
				if pause() < 0.05 { // Now and then for longer than the collector waits.
					time.Sleep(time.Duration(pause() * float64(30*time.Minute)))
				}
				return nil
			}
			done := make(chan int)
			for w := range 4 {
				choice := rand.New(rand.NewPCG(seed, random.Uint64()))
				go func() { done <- toggle(t.Context(), publisher(p, uint64(w)), p, w, choice) }()
			}
			accepted := <-done + <-done + <-done + <-done
			p.before = nil
			if accepted < 20 || p.count("delete") < 1 {
				t.Errorf("seed %d: %d notes accepted, %d objects deleted", seed, accepted, p.count("delete"))
			}
			if got := whole(t.Context(), p); got != uint64(accepted+1) {
				t.Errorf("seed %d: generation %d loads after %d notes", seed, got, accepted)
			}
		})
	}
}

// toggle adds and withdraws one route of its own in turn, and returns how many
// notes were accepted.
func toggle(ctx context.Context, pub *deploy.Publisher, p *platform, w int, random *rand.Rand) int {
	base := uint64(1)
	accepted := 0
	for i := range 40 {
		n := more(w, base)
		if accepted%2 == 1 {
			n = &note.Note{Base: base, Withdrawn: note.Names{Routes: []string{n.Added.Routes[0].Name}}}
		}
		n.ID = fmt.Sprintf("w%d-%d", w, i)
		generation, err := pub.Publish(ctx, n)
		var conflict *deploy.ConflictError
		switch {
		case errors.As(err, &conflict):
			base = conflict.Current()
		case err == nil:
			base = generation
			accepted++
			if whole(ctx, p) == 0 {
				return -1000
			}
		}
		time.Sleep(time.Duration(random.IntN(600)) * time.Second)
	}
	return accepted
}

// whole returns the generation that a VM without a release can load, 0 when a
// part of it is missing.
func whole(ctx context.Context, p *platform) uint64 {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := deploy.NewFollower(p.memory.Client())
	go func() { _ = f.Run(ctx) }()
	time.Sleep(10 * time.Second)
	return f.Generation()
}

// Guards against a head that grows with every note, or forgets so early that a
// repeat is not recognised.
func TestHeadBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		pub := publisher(p, 1)
		mustPublish(t, pub, first(1))
		for i := range 300 {
			n := more(i, uint64(i+1))
			n.ID = fmt.Sprintf("%064d", i)
			mustPublish(t, pub, n)
		}
		o := must(p.memory.Client().Get(t.Context(), "release/head"))
		if len(o.Value) > 30<<10 {
			t.Errorf("head has %d bytes", len(o.Value))
		}
		n := more(301-deploy.Kept, 0)
		n.ID = fmt.Sprintf("%064d", 301-deploy.Kept)
		if got := mustPublish(t, pub, n); got != uint64(303-deploy.Kept) {
			t.Errorf("oldest kept note has generation %d", got)
		}
		if _, err := pub.Publish(t.Context(), first(1)); fault.Of(err) != fault.Conflict {
			t.Errorf("a note that head has forgotten: %v", err)
		}
	})
}

// Guards against a small note that costs as much as a large release.
func TestPlannedSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		pub := publisher(p, 1)
		mustPublish(t, pub, first(25_000))
		t.Logf("first note: %d writes of %d bytes", p.count("write"), p.bytes)
		writes, bytes := p.count("write"), p.bytes
		mustPublish(t, pub, more(0, 1))
		writes, bytes = p.count("write")-writes, p.bytes-bytes
		t.Logf("note of one route: %d writes of %d bytes", writes, bytes)
		if writes > 4 || bytes > 64<<10 { // Chunk, manifest, head and marks.
			t.Errorf("note of one route: %d writes of %d bytes", writes, bytes)
		}
		if whole(t.Context(), p) != 2 {
			t.Error("the release cannot be loaded")
		}
	})
}

// Guards against a note with problems that leaves traces in the platform.
func TestRefusedNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		bad := first(1)
		bad.Added.Routes[0].Service = "missing"
		_, err := publisher(p, 1).Publish(t.Context(), bad)
		var problems note.Problems
		if !errors.As(err, &problems) || len(problems) != 1 || fault.Of(err) != fault.Invalid {
			t.Errorf("error %v", err)
		}
		if p.count("write") != 0 {
			t.Errorf("%d writes", p.count("write"))
		}
	})
}

// Guards against an object that two publishers write at once, or that was stored
// damaged, keeping either from committing.
func TestExistingChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		mustPublish(t, publisher(p, 1), first(2))
		added := must(note.Encode(apply(t, first(2), more(0, 1))))
		for _, c := range added.Chunks() {
			name := "release/chunk/" + c.Digest().String()
			if o := must(p.memory.Client().Get(t.Context(), name)); o.Version == 0 {
				must(p.memory.Client().Put(t.Context(), name, []byte("damaged"), 0))
			}
		}
		mustPublish(t, publisher(p, 2), more(0, 1))
		if whole(t.Context(), p) != 2 {
			t.Error("the release cannot be loaded")
		}
	})
}

func apply(t *testing.T, notes ...*note.Note) *note.Release {
	t.Helper()
	var rel *note.Release
	for _, n := range notes {
		next, problems := note.Apply(rel, n)
		if err := problems.Err(); err != nil {
			t.Fatal(err)
		}
		rel = next
	}
	return rel
}
