package deploy_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/store"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Guards against accepting two concurrent notes on the same base generation.
func TestTwoPublishers(t *testing.T) {
	simulate(t, 20, func(tf *testFleet) {
		var errs [2]error
		var group sync.WaitGroup
		for i := range errs {
			group.Go(func() { _, errs[i] = newPublisher(tf.p, uint64(i+2)).Publish(tf.ctx, addRouteNote(i, 1)) })
		}
		group.Wait()
		var conflict *deploy.ConflictError
		if (errs[0] == nil) == (errs[1] == nil) || !errors.As(errors.Join(errs[:]...), &conflict) {
			t.Fatalf("errors %v", errs)
		}
		if fault.KindOf(conflict) != fault.Conflict || conflict.BaseGeneration() != 1 || conflict.CurrentGeneration() != 2 {
			t.Errorf("conflict %v", conflict)
		}
		for i, err := range errs {
			if err != nil && tf.publish(addRouteNote(i, 2)) != 3 {
				t.Error("the rebased note was not accepted")
			}
		}
	})
}

// Guards against a note that is refused or applied twice because the response of a
// write was lost, before or after the write was applied.
func TestLostWriteResponse(t *testing.T) {
	for _, tt := range []struct {
		name        string
		matches     func(string) bool
		takesEffect bool
	}{
		{"head took effect", isHead, true},
		{"head did not", isHead, false},
		{"chunk took effect", isChunk, true},
		{"chunk did not", isChunk, false},
	} {
		simulate(t, 20, func(tf *testFleet) {
			lost := 0
			lose := func(name string) error {
				if tt.matches(name) && lost == 0 {
					lost++
					return errNoResponse
				}
				return nil
			}
			if tt.takesEffect {
				tf.p.after = lose
			} else {
				tf.p.before = lose
			}
			if got := tf.publish(addRouteNote(0, 1)); got != 2 || lost != 1 {
				t.Errorf("%s: generation %d", tt.name, got)
			}
			if got := tf.publish(addRouteNote(1, 2)); got != 3 {
				t.Errorf("%s: next generation %d", tt.name, got)
			}
		})
	}
}

// Guards against a note whose outcome stays unknown when the platform fails during
// the commit, against a repeated note that is applied again, and against a reused
// id that is accepted as a repetition.
func TestRepeatedNote(t *testing.T) {
	simulate(t, 20, func(tf *testFleet) {
		tf.p.after = func(name string) error {
			if isHead(name) {
				tf.p.setDown(true)
				return errNoResponse
			}
			return nil
		}
		if _, err := tf.pub.Publish(tf.ctx, addRouteNote(0, 1)); fault.KindOf(err) != fault.PlatformDown {
			t.Fatalf("commit in an outage: %v", err)
		}
		tf.p.setDown(false)
		tf.p.after = nil
		must(newPublisher(tf.p, 3).Publish(tf.ctx, addRouteNote(1, 2)))
		for _, base := range []uint64{1, 3} {
			if got := tf.publish(addRouteNote(0, base)); got != 2 {
				t.Errorf("repeated note on base %d returned generation %d", base, got)
			}
		}
		other := addRouteNote(2, 3)
		other.ID = "more-0"
		if _, err := tf.pub.Publish(tf.ctx, other); fault.KindOf(err) != fault.Invalid {
			t.Errorf("id of another note: %v", err)
		}
		tf.publish(addRouteNote(4, 3))
	})
}

// Guards against an order of writes in which the crash of a publisher between two
// writes leaves a release that is incomplete or cannot be loaded.
func TestPublisherCrash(t *testing.T) {
	for allowedWrites := range 5 {
		simulate(t, 20, func(tf *testFleet) {
			pubCtx, cancelPublisher := context.WithCancel(tf.ctx)
			defer cancelPublisher()
			writes := 0
			tf.p.before = func(string) error {
				if writes++; writes > allowedWrites {
					cancelPublisher()
					return errNoResponse
				}
				return nil
			}
			_, _ = tf.pub.Publish(pubCtx, addRouteNote(0, 1))
			want := uint64(1)
			if allowedWrites >= 3 { // The writes are the chunk, the manifest and head.
				want = 2
			}
			if got := tf.loadableGeneration(); got != want {
				t.Errorf("after %d writes generation %d can be loaded", allowedWrites, got)
			}
		})
	}
}

// Guards against chunks of a crashed publisher that are never deleted, and against
// deleting objects that a reader of an older head is still loading.
func TestGarbage(t *testing.T) {
	simulate(t, 20, func(tf *testFleet) {
		before := tf.p.chunkCount()
		tf.p.before = func(name string) error {
			if isHead(name) {
				return errNoResponse
			}
			return nil
		}
		_, _ = newPublisher(tf.p, 2).Publish(tf.ctx, addRouteNote(0, 1))
		tf.p.before = nil
		tf.publish(addRouteNote(1, 1))
		time.Sleep(8 * time.Minute)
		tf.publish(addRouteNote(2, 2))
		if got := tf.p.chunkCount(); got != before+3 {
			t.Errorf("%d chunks after 8 min, %d before", got, before)
		}
		time.Sleep(20 * time.Minute)
		tf.publish(addRouteNote(3, 3))
		if got := tf.p.chunkCount(); got > before+3 || tf.pub.Stats().Collected < 2 {
			t.Errorf("%d chunks, %d before; %+v", got, before, tf.pub.Stats())
		}
	})
}

// Guards against a chunk object whose data does not match the digest in its name:
// a publisher that finds one must write it again, and a follower must not apply
// it. The data is that of the chunk before the note, which decodes without error.
func TestDamagedChunk(t *testing.T) {
	simulate(t, 500, func(tf *testFleet) {
		tf.startVM("vm", tf.p.client()).SetWatch(true)
		tf.waitForGeneration(1, time.Second)
		rel := tf.vms("")["vm"].Release()
		next, _ := note.Apply(rel, addRouteNote(0, 1))
		before, after := must(note.EncodeRelease(rel)), must(note.EncodeRelease(next))
		chunkOnlyIn := func(a, b *note.EncodedRelease) note.Chunk {
			return a.Chunks()[slices.IndexFunc(a.Chunks(), func(c note.Chunk) bool { return !b.HasChunk(c.Digest().String()) })]
		}
		name, client := "release/chunk/"+chunkOnlyIn(after, before).Digest().String(), tf.p.memory.Client()
		damage := func() {
			o, _ := client.Get(tf.ctx, name)
			must(client.Put(tf.ctx, name, chunkOnlyIn(before, after).Data(), o.Version))
		}
		damage()
		tf.publish(addRouteNote(0, 1))
		tf.waitForGeneration(2, 3*time.Second)
		damage()
		vm := tf.startVM("fresh", tf.p.client())
		time.Sleep(time.Minute)
		if got := vm.Generation(); got != 0 {
			t.Errorf("generation %d with a damaged chunk is applied", got)
		}
	})
}

// Guards against a delayed collector that deletes chunks of a concurrent
// publisher. The collector runs for a release before the one that the publisher
// builds on, and must keep its new and reused chunks, however long both are paused.
func TestDelayedCollector(t *testing.T) {
	pausedPublisher := func(tf *testFleet, name string, write bool) (*deploy.Publisher, chan struct{}) {
		c := tf.p.client()
		get, put, gate := c.Get, c.Put, make(chan struct{})
		c.Get = func(ctx context.Context, object string) (store.Object, error) {
			if object == name && !write {
				<-gate
			}
			return get(ctx, object)
		}
		c.Put = func(ctx context.Context, object string, value []byte, cond store.Version) (store.Version, error) {
			if object == name && write {
				<-gate
			}
			return put(ctx, object, value, cond)
		}
		pub := deploy.NewPublisher(c)
		pub.Rand = lockedRand(tf.p.seed)
		return pub, gate
	}
	for _, reused := range []bool{false, true} {
		simulate(t, 2, func(tf *testFleet) {
			collector1, gate1 := pausedPublisher(tf, "release/garbage", false)
			collector2, gate2 := pausedPublisher(tf, "release/garbage", false)
			writer, gate3 := pausedPublisher(tf, "release/head", true)
			publish := func(pub *deploy.Publisher, n *note.Note) {
				go func() {
					if _, err := pub.Publish(tf.ctx, n); err != nil {
						t.Error(err)
					}
				}()
				time.Sleep(time.Minute)
			}
			n := addRouteNote(0, 3)
			if reused { // The chunk exists and has been marked since the route was withdrawn.
				tf.publish(addRouteNote(0, 1))
				tf.publish(&note.Note{ID: "gone", BaseGeneration: 2, Withdrawn: note.ItemNames{Routes: []string{n.Added.Routes[0].Name}}})
				time.Sleep(time.Hour)
				n.ID, n.BaseGeneration = "again", 4
			} else {
				publish(collector1, addRouteNote(1, 1))
			}
			publish(collector2, addRouteNote(2, n.BaseGeneration-1))
			publish(writer, n) // Writes the chunks, then blocks before head.
			close(gate1)
			time.Sleep(time.Hour)
			close(gate2)
			time.Sleep(time.Hour)
			close(gate3)
			time.Sleep(time.Minute)
			if got := tf.loadableGeneration(); got != n.BaseGeneration+1 {
				t.Errorf("reused %v: generation %d can be loaded", reused, got)
			}
		})
	}
}

// Guards against a collector that deletes objects that a release refers to.
// Publishers with random pauses between writes add and withdraw the same routes,
// so their chunks are used again after they were marked as garbage.
func TestCollectorKeepsReleases(t *testing.T) {
	for trial := range uint64(12) {
		simulate(t, 2, func(tf *testFleet) {
			first := 1000*trial + tf.p.seed // Trials with different base seeds use different seeds.
			tf.p.before = randomPauses(first)
			done := make(chan int)
			for i := range 4 {
				go func() {
					done <- tf.toggleRoute(newPublisher(tf.p, uint64(i)), i, rand.New(rand.NewPCG(first, uint64(i))))
				}()
			}
			accepted := <-done + <-done + <-done + <-done
			tf.p.before = nil
			if accepted < 20 || tf.p.count("delete") < 1 {
				t.Errorf("seed %d: %d notes accepted, %d objects deleted", first, accepted, tf.p.count("delete"))
			}
			if got := tf.loadableGeneration(); got != uint64(accepted+1) {
				t.Errorf("seed %d: generation %d can be loaded after %d notes", first, got, accepted)
			}
		})
	}
}

// randomPauses returns a function that delays some writes, partly for longer than
// the collector keeps garbage. Each random draw depends on the object and how often
// it was written, so the order of concurrent writes does not affect other draws.
func randomPauses(seed uint64) func(name string) error {
	var mu sync.Mutex
	written := map[string]uint64{}
	return func(name string) error {
		mu.Lock()
		written[name]++
		n := written[name]
		mu.Unlock()
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(name))
		if random := rand.New(rand.NewPCG(seed, hash.Sum64()+n)); random.Float64() < 0.05 {
			time.Sleep(time.Duration(random.Float64() * float64(30*time.Minute)))
		}
		return nil
	}
}

// toggleRoute alternately adds and withdraws a route that only this publisher
// uses, and returns how many notes were accepted. After each of them the release
// must be loadable.
func (tf *testFleet) toggleRoute(pub *deploy.Publisher, id int, random *rand.Rand) int {
	base := uint64(1)
	accepted := 0
	time.Sleep(time.Duration(id) * time.Millisecond) // Gives a fixed order with overlapping commits.
	for i := range 40 {
		n := addRouteNote(id, base)
		if accepted%2 == 1 {
			n = &note.Note{BaseGeneration: base, Withdrawn: note.ItemNames{Routes: []string{n.Added.Routes[0].Name}}}
		}
		n.ID = fmt.Sprintf("w%d-%d", id, i)
		generation, err := pub.Publish(tf.ctx, n)
		var conflict *deploy.ConflictError
		switch {
		case errors.As(err, &conflict):
			base = conflict.CurrentGeneration()
		case err == nil:
			base = generation
			accepted++
			if tf.loadableGeneration() == 0 {
				tf.Errorf("generation %d cannot be loaded", generation)
			}
		}
		time.Sleep(time.Duration(random.IntN(600)) * time.Second)
	}
	return accepted
}

// Guards against a head that grows with every note, or that drops records so early
// that a repeated note is not detected.
func TestHeadSizeLimit(t *testing.T) {
	simulate(t, 1, func(tf *testFleet) {
		for i := range 300 {
			n := addRouteNote(i, uint64(i+1))
			n.ID = fmt.Sprintf("%064d", i)
			tf.publish(n)
		}
		o := must(tf.p.memory.Client().Get(tf.ctx, "release/head"))
		if len(o.Value) > 30<<10 {
			t.Errorf("head has %d bytes", len(o.Value))
		}
		oldest := 300 - deploy.MaxAcceptedNotes
		n := addRouteNote(oldest, 0)
		n.ID = fmt.Sprintf("%064d", oldest)
		if got := tf.publish(n); got != uint64(oldest+2) {
			t.Errorf("oldest recorded note has generation %d", got)
		}
		if _, err := tf.pub.Publish(tf.ctx, firstNote(1)); fault.KindOf(err) != fault.Conflict {
			t.Errorf("a note whose record head has dropped: %v", err)
		}
	})
}

// Guards against a small note that costs as many writes and bytes as a large
// release.
func TestPublishCost(t *testing.T) {
	for _, routes := range []int{250, 2500, 25_000} {
		simulate(t, routes, func(tf *testFleet) {
			writes, bytes := tf.p.count("write"), tf.p.bytes
			t.Logf("first note of %d routes: %d writes of %d bytes", routes, writes, bytes)
			tf.publish(addRouteNote(0, 1))
			writes, bytes = tf.p.count("write")-writes, tf.p.bytes-bytes
			t.Logf("note of one route: %d writes of %d bytes", writes, bytes)
			if writes > 4 || bytes > 64<<10 { // The chunk, the manifest, head and the garbage marks.
				t.Errorf("note of one route: %d writes of %d bytes", writes, bytes)
			}
			if tf.loadableGeneration() != 2 {
				t.Error("the release cannot be loaded")
			}
		})
	}
}

// Guards against writes to the platform for a note that is refused.
func TestRefusedNote(t *testing.T) {
	simulate(t, 1, func(tf *testFleet) {
		writes := tf.p.count("write")
		bad := addRouteNote(0, 1)
		bad.Added.Routes[0].Service = "missing"
		_, err := tf.pub.Publish(tf.ctx, bad)
		var problems note.Problems
		if !errors.As(err, &problems) || len(problems) != 1 || fault.KindOf(err) != fault.Invalid {
			t.Errorf("error %v", err)
		}
		if tf.p.count("write") != writes {
			t.Error("the note was written")
		}
	})
}
