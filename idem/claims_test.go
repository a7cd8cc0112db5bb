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
	"github.com/azuredeal/azuredeal/wire"
)

// inShard returns the n-th key of shard 0.
func inShard(n int) digest { return digest{0, 0, byte(n), byte(n >> 8), byte(n >> 16)} }

func (f *fleet) shard(t *testing.T) *wire.Claims {
	object, _ := f.memory.Client().Get(t.Context(), "claim/000")
	var out wire.Claims
	if err := proto.Unmarshal(object.Value, &out); err != nil {
		t.Fatal(err)
	}
	return &out
}

// Guards against two owners of one key when VMs claim it at once, and against
// conflicts that fail requests.
func TestClaimsOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 3, testSeed)
		var owners [40]sync.Map
		var group sync.WaitGroup
		for n := range 120 {
			group.Go(func() {
				time.Sleep(f.span(20 * time.Millisecond))
				got, err := f.vm(n%3).guard.claims.claim(t.Context(), inShard(n/3), digest{})
				if err != nil {
					t.Error(err)
				}
				owners[n/3].Store(got.owner, true)
			})
		}
		group.Wait()
		for n := range owners {
			count := 0
			owners[n].Range(func(_, _ any) bool { count++; return true })
			if count != 1 {
				t.Errorf("key %d has %d owners", n, count)
			}
		}
		if n := len(f.shard(t).GetClaims()); n != 40 {
			t.Errorf("%d claims stored", n)
		}
	})
}

// Guards against a write for each of many requests that come at the same time.
func TestClaimsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 1, testSeed)
		var group sync.WaitGroup
		for n := range 100 {
			group.Go(func() {
				time.Sleep(time.Duration(n) * 20 * time.Microsecond)
				if _, err := f.vm(0).guard.claims.claim(t.Context(), inShard(n), digest{}); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		if f.writes > 1 {
			t.Errorf("%d writes for 100 requests within 2 ms", f.writes)
		}
	})
}

// Guards against claims that pile up for ever, and against one that is dropped
// while a run that began before its expiry may go on.
func TestClaimsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 2, testSeed)
		claim := func(i, n int) claim {
			got, err := f.vm(i).guard.claims.claim(t.Context(), inShard(n), digest{})
			if err != nil {
				t.Error(err)
			}
			return got
		}
		first := claim(0, 1)
		time.Sleep(KeyLife + claimGrace - time.Minute)
		if claim(1, 1) != first || claim(1, 2) == first || len(f.shard(t).GetClaims()) != 2 {
			t.Error("dropped before the end of the grace period")
		}
		time.Sleep(time.Minute)
		if claim(1, 1) == first || len(f.shard(t).GetClaims()) != 2 {
			t.Error("still there after it")
		}
	})
}

// Guards against a value that the platform refuses, and against a value that
// cannot be read and is overwritten.
func TestClaimsBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 1, testSeed)
		client := f.memory.Client()
		full := &wire.Claims{}
		for n := range 20_000 {
			key := inShard(n)
			w := f.vm(0).guard.claims.newClaim(time.Now(), &pending{key: key})
			w.Key = key[:]
			full.Claims = append(full.Claims, w)
		}
		each := proto.Size(full) / len(full.Claims)
		full.Claims = full.Claims[len(full.Claims)-shardMost/each:]
		value, _ := proto.Marshal(full)
		version, err := client.Put(t.Context(), "claim/000", value, 0)
		if err != nil {
			t.Fatal(err)
		}
		claims := f.vm(0).guard.claims
		if _, err := claims.claim(t.Context(), inShard(19_999), digest{}); err != nil {
			t.Errorf("claim in a full shard: %v", err)
		}
		_, err = claims.claim(t.Context(), inShard(20_001), digest{})
		wantKind(t, "new claim in a full shard", err, fault.ClaimFailed)
		if _, err = client.Put(t.Context(), "claim/000", []byte("garbage"), version); err != nil {
			t.Fatal(err)
		}
		_, err = claims.claim(t.Context(), inShard(20_002), digest{})
		wantKind(t, "damaged shard", err, fault.ClaimFailed)
		if _, err := claims.claim(t.Context(), digest{1, 1}, digest{}); err != nil || f.writes != 1 {
			t.Errorf("another shard: %v, %d writes", err, f.writes)
		}
	})
}

// BenchmarkApprovals measures what an approval costs at a platform that takes
// 3 ms a call: with a write for each claim, with shared writes, and with issued
// keys. Approvals arrive at 18 VMs in turn.
func BenchmarkApprovals(b *testing.B) {
	cases := []struct {
		kind               string
		batch, shards, vms int
	}{
		{"unbatched", 1, claimShards, 18},
		{"batched", claimBatch, claimShards, 18},
		{"batched", claimBatch, 16, 18},
		{"batched", claimBatch, claimShards, 1},
		{"batched", claimBatch, 16, 1},
		{"issued", claimBatch, claimShards, 18},
	}
	for _, c := range cases {
		for _, rate := range []int{10, 100, 1000, 5000} {
			name := fmt.Sprintf("%s/shards=%d/vms=%d/rate=%d", c.kind, c.shards, c.vms, rate)
			b.Run(name, func(b *testing.B) {
				f := newFleet(b.Context(), c.vms, testSeed)
				for _, v := range f.vms {
					v.guard.ledger = NewLedger(b.Context(), 1<<20, 1<<20)
					v.guard.claims.batch = c.batch
					v.guard.claims.shards = make([]shard, c.shards)
				}
				approvals(b, f, rate, c.kind == "issued")
			})
		}
	}
}

// approvals sends b.N requests at a rate and reports the costs of one.
func approvals(b *testing.B, f *fleet, rate int, issued bool) {
	var reads, writes, failed, added atomic.Int64
	f.get = func() error { reads.Add(1); return nil }
	f.put = func(apply func() error) error { writes.Add(1); return apply() }
	approve := func(n int) {
		ctx, cancel := context.WithTimeout(b.Context(), 2*time.Second)
		defer cancel()
		v, call := f.vm(n%len(f.vms)), Call{Account: "a", Key: fmt.Sprint("order ", n)}
		if issued {
			call.Key = v.guard.keys.Issue(time.Now())
		}
		start := time.Now()
		if _, err := v.guard.Do(ctx, call, gives("x")); err != nil {
			failed.Add(1)
		}
		added.Add(int64(time.Since(start)))
	}
	var group sync.WaitGroup
	start := time.Now()
	for n := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		group.Go(func() { approve(n) })
	}
	group.Wait()
	for name, total := range map[string]*atomic.Int64{"writes": &writes, "reads": &reads, "failed": &failed} {
		b.ReportMetric(float64(total.Load())/float64(b.N), name+"/op")
	}
	b.ReportMetric(float64(added.Load())/float64(b.N)/1e6, "added-ms/op")
	b.ReportMetric(0, "ns/op") // Set by the rate.
}
