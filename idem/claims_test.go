package idem

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/seed"
	"github.com/azuredeal/azuredeal/wire"
)

// claim claims the n-th key of shard 0 on VM i.
func (f *fleet) claim(i, n int) (claim, error) {
	key := digest{0, 0, byte(n), byte(n >> 8)}
	return f.vm(i).claims.claim(f.ctx, key, digest{})
}

// storedClaims returns the number of claims stored in shard 0.
func (f *fleet) storedClaims() int {
	object, _ := f.memory.Client().Get(f.ctx, "claim/000")
	var out wire.Claims
	_ = proto.Unmarshal(object.Value, &out)
	return len(out.GetClaims())
}

// Guards against two owners of one key when VMs claim it concurrently, against requests
// that fail because of write conflicts, and against one write per request when many
// arrive at the same time.
func TestClaimsShareWrites(t *testing.T) {
	for _, c := range []struct{ vms, writes int }{{3, 120}, {1, 1}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t.Context(), c.vms, seed.For(t, testSeed))
			var writes atomic.Int64
			f.put = func(apply func() error) error { writes.Add(1); return apply() }
			var owners sync.Map
			var group sync.WaitGroup
			for n := range 120 {
				group.Go(func() {
					time.Sleep(f.millis(2))
					got, err := f.claim(n%c.vms, n/3)
					first, _ := owners.LoadOrStore(n/3, got.owner)
					if err != nil || first != got.owner {
						t.Errorf("key %d: owners %v and %v, error %v", n/3, first, got.owner, err)
					}
				})
			}
			group.Wait()
			if n := int(writes.Load()); n > c.writes || f.storedClaims() != 40 {
				t.Errorf("%d VMs: %d writes, %d claims stored", c.vms, n, f.storedClaims())
			}
		})
	}
}

// Guards against a second run of a key whose claim the platform has lost, because it came back
// from a copy, and against keys that can never be claimed again after that.
func TestClaimLostInRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 3, seed.For(t, testSeed))
		kept, err := f.claim(0, 1)
		if err != nil {
			t.Fatal(err)
		}
		copied := f.memory.Copy()
		lost, err := f.claim(0, 2)
		if err != nil {
			t.Fatal(err)
		}
		f.replace(0) // The owner of the lost claim is gone.
		f.memory.Restore(copied)
		if got, err := f.claim(1, 1); err != nil || got != kept {
			t.Errorf("kept claim: %v, %v", got, err)
		}
		time.Sleep(KeyTTL - time.Minute)
		for _, key := range []int{2, 3} { // Nobody can tell a new key from one that has run.
			if got, err := f.claim(1, key); fault.KindOf(err) != fault.ClaimFailed {
				t.Errorf("key %d: claimed by %v, %v; the lost claim of key 2 was of %v", key, got.owner, err, lost.owner)
			}
		}
		f.replace(2) // Starts after the era has begun.
		time.Sleep(2*time.Minute + claimGrace)
		for i, key := range []int{2, 3} {
			if _, err := f.claim(i+1, key); err != nil {
				t.Errorf("key %d after all lost claims have expired: %v", key, err)
			}
		}
	})
}

// Guards against claims that are never removed from the platform, and against a claim
// that is removed while a run that began before its expiry may still be in progress.
func TestClaimsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 2, seed.For(t, testSeed))
		first, _ := f.claim(0, 1)
		time.Sleep(KeyTTL + claimGrace - time.Minute)
		second, err := f.claim(1, 1)
		if _, other := f.claim(1, 2); err != nil || other != nil || second != first || f.storedClaims() != 2 {
			t.Error("claim removed before the end of the grace period")
		}
		time.Sleep(time.Minute)
		if second, err = f.claim(1, 1); err != nil || second == first || f.storedClaims() != 2 {
			t.Error("claim still stored after the grace period")
		}
	})
}

// Guards against a shard value that exceeds the size limit of the platform, and against
// overwriting a shard that cannot be decoded.
func TestClaimsBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 1, seed.For(t, testSeed))
		writes, client, full := 0, f.memory.Client(), &wire.Claims{}
		f.put = func(apply func() error) error { writes++; return apply() }
		for n := range 20_000 {
			p := &pending{key: digest{0, 0, byte(n), byte(n >> 8)}}
			full.Claims = append(full.Claims, f.vm(0).claims.newClaim(time.Now(), p))
		}
		full.Claims = full.Claims[:maxShardBytes*len(full.Claims)/proto.Size(full)]
		value, _ := proto.Marshal(full)
		version, _ := client.Put(t.Context(), "claim/000", value, 0)
		if _, err := f.claim(0, 1); err != nil {
			t.Errorf("known claim in a full shard: %v", err)
		}
		_, err := f.claim(0, 20_001)
		wantKind(t, "new claim in a full shard", err, fault.ClaimFailed)
		if _, err = client.Put(t.Context(), "claim/000", []byte("garbage"), version); err != nil {
			t.Fatal(err)
		}
		_, err = f.claim(0, 20_002)
		wantKind(t, "damaged shard", err, fault.ClaimFailed)
		if _, err := f.vm(0).claims.claim(t.Context(), digest{1, 1}, digest{}); err != nil || writes != 1 {
			t.Errorf("another shard: %v, %d writes", err, writes)
		}
	})
}

// BenchmarkApprovals measures the cost of a request with a key at a platform that takes
// 3 ms per call: with one write per claim, with batched writes, and with issued keys.
// Requests go to the VMs in round-robin order.
func BenchmarkApprovals(b *testing.B) {
	for _, c := range []struct {
		kind               string
		batch, shards, vms int
	}{
		{"unbatched", 1, claimShards, 18},
		{"batched", claimBatchSize, claimShards, 18},
		{"batched", claimBatchSize, 16, 18},
		{"batched", claimBatchSize, claimShards, 1},
		{"batched", claimBatchSize, 16, 1},
		{"issued", claimBatchSize, claimShards, 18},
	} {
		for _, rate := range []int{10, 100, 1000, 5000} {
			name := fmt.Sprintf("%s/shards=%d/vms=%d/rate=%d", c.kind, c.shards, c.vms, rate)
			b.Run(name, func(b *testing.B) {
				f := newFleet(b.Context(), c.vms, testSeed)
				for _, v := range f.vms {
					v.claims.batch, v.claims.shards = c.batch, make([]shard, c.shards)
				}
				approvals(b, f, rate, c.kind == "issued")
			})
		}
	}
}

// approvals sends b.N requests at the given rate per second and reports the cost per
// request.
func approvals(b *testing.B, f *fleet, rate int, issued bool) {
	var reads, writes, failed, added atomic.Int64
	f.get = func() error { reads.Add(1); return nil }
	f.put = func(apply func() error) error { writes.Add(1); return apply() }
	var group sync.WaitGroup
	start := time.Now()
	for n := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		group.Go(func() {
			ctx, cancel := context.WithTimeout(b.Context(), 2*time.Second)
			defer cancel()
			v, call := f.vm(n%len(f.vms)), Call{Account: fmt.Sprint(n % 7), Key: fmt.Sprint("order ", n)}
			if issued {
				call.Key = v.keys.Issue(time.Now())
			}
			begin := time.Now()
			if _, err := v.Do(ctx, call, respondsWith("x")); err != nil {
				failed.Add(1)
			}
			added.Add(int64(time.Since(begin)))
		})
	}
	group.Wait()
	for name, total := range map[string]*atomic.Int64{"writes": &writes, "reads": &reads, "failed": &failed} {
		b.ReportMetric(float64(total.Load())/float64(b.N), name+"/op")
	}
	b.ReportMetric(float64(added.Load())/float64(b.N)/1e6, "added-ms/op")
	b.ReportMetric(0, "ns/op") // Determined by the rate, so not reported.
}
