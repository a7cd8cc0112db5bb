package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/internal/fleet/quota"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/proxy"
	"github.com/azuredeal/azuredeal/wire"
)

// Guards against VMs that do not agree on who may hold a share of a server's rate, against
// holders that do not use the server, and against a server without any holder.
func TestRateHoldersUseTheServer(t *testing.T) {
	for _, c := range []struct{ servers, vms, zones int }{{19, 18, 4}, {142, 50, 4}, {585, 178, 6}, {60, 178, 6}, {5, 12, 4}} {
		t.Run(fmt.Sprintf("%d servers %d VMs", c.servers, c.vms), func(t *testing.T) {
			zones := map[string][]string{}
			zone := func(i int) string { return fmt.Sprint("z", i%c.zones) }
			for i := range c.vms {
				zones[zone(i)] = append(zones[zone(i)], fmt.Sprintf("vm-%03d", i))
			}
			s := note.Service{Name: "a", Detection: note.Detection{Profile: note.ProfileSwitch}}
			for i := range c.servers {
				s.Servers = append(s.Servers, note.Server{Addr: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Zone: zone(i), Slots: 3})
			}
			full := note.NewRelease(1, []note.Service{s}, nil, nil)
			holders := map[string][]string{} // By server.
			uses := map[string]bool{}        // VM and server.
			for name, vms := range zones {
				for i, vm := range vms {
					local := subsetRelease(full, position{vm: vm, zone: name, index: i, count: len(vms), fleet: c.vms})
					for _, server := range ratedServers(full, local, zones) {
						if known := holders[server.Addr]; known != nil && !slices.Equal(known, server.Holders) {
							t.Fatalf("holders of %s: %v and %v", server.Addr, known, server.Holders)
						}
						holders[server.Addr] = server.Holders
						uses[vm+server.Addr] = true
					}
				}
			}
			if len(holders) != c.servers {
				t.Errorf("%d of %d servers have holders", len(holders), c.servers)
			}
			for addr, vms := range holders {
				if len(vms) == 0 || len(vms) > 2*nearVMs+1 {
					t.Errorf("%s has %d holders", addr, len(vms))
				}
				for _, vm := range vms {
					if !uses[vm+addr] {
						t.Errorf("%s may hold a share of %s and does not use it", vm, addr)
					}
				}
			}
		})
	}
}

// Guards against servers of a zone whose VMs are all lost, which would get no requests.
func TestRateHoldersOfZoneWithoutVMs(t *testing.T) {
	s := note.Service{Name: "a", Servers: []note.Server{{Addr: "10.0.0.1:80", Zone: "z1"}}}
	rel := note.NewRelease(1, []note.Service{s}, nil, nil)
	got := ratedServers(rel, rel, map[string][]string{"z2": {"vm-2", "vm-4"}, "z3": {"vm-3"}})
	if len(got) != 1 || !slices.Equal(got[0].Holders, []string{"vm-2", "vm-3", "vm-4"}) || got[0].Users != 3 {
		t.Errorf("servers %+v, want all VMs as holders", got)
	}
}

// Guards against statements that do not reach the proxy or the other VMs, and against log
// lines and messages for each response.
func TestStatedRateReachesProxyAndPeers(t *testing.T) {
	now := time.Now()
	r := newRates(zerolog.Nop(), metrics.NewSet(), "vm-1", 1)
	shares := map[string]float64{}
	var told []*wire.Rate
	r.setRate = func(_, addr string, perSecond float64) { shares[addr] = perSecond }
	r.tell = func(rates []*wire.Rate, _ bool) { told = append(told, rates...) }
	r.grant = func(string, string) {}
	r.attempts = func() []proxy.LimitedAttempts { return nil }
	key := quota.KeyOf("a", "10.0.0.1:80", "i-1")
	r.setServers(now, []quota.Server{{Key: key, Service: "a", Addr: "10.0.0.1:80", Holders: []string{"vm-1"}, Users: 1}}, 1)
	now = now.Add(time.Minute)
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		r.observe(now, board.StatedRate{Service: "a", Server: "10.0.0.1:80", Instance: "i-1", PerSecond: 4, At: now})
		r.step(now)
	}
	if shares["10.0.0.1:80"] != 4 || r.limits.Load() != 1 || r.changes.Get() != 1 {
		t.Errorf("shares %v, %d limits, %d changes", shares, r.limits.Load(), r.changes.Get())
	}
	if len(told) != 1 || told[0].GetServer() != uint64(key) || told[0].GetLimit() != 4 {
		t.Errorf("told %v, want one message", told)
	}
	if len(r.logged) != 1 {
		t.Errorf("%d rates remembered for the log, want 1", len(r.logged))
	}
	r.merge(now.Add(time.Second), []*wire.Rate{{Server: uint64(key), Unlimited: true}})
	if shares["10.0.0.1:80"] != board.Unlimited || r.limits.Load() != 0 {
		t.Errorf("shares %v and %d limits after the end of the limit", shares, r.limits.Load())
	}
	r.observe(now.Add(2*time.Second), board.StatedRate{Service: "a", Server: "10.0.0.1:80", Instance: "i-1", PerSecond: 4, At: now.Add(2 * time.Second)})
	r.setServers(now.Add(3*time.Second), nil, 1)
	if len(r.logged) != 0 {
		t.Errorf("%d rates of servers that are not used are remembered for the log", len(r.logged))
	}
}

// Guards against health probes that use up what a server with a rate limit accepts.
func TestLimitedServersGetNoProbes(t *testing.T) {
	var probed []string
	p := newProber(func() int { return 1 }, func(_, server string, _ bool, _ time.Duration) { probed = append(probed, server) })
	p.skip = func(_, server string) bool { return server == "127.0.0.1:1" }
	p.probeServers(t.Context(), note.Service{Name: "a", Servers: []note.Server{{Addr: "127.0.0.1:1"}, {Addr: "127.0.0.1:2"}}})
	if !slices.Equal(probed, []string{"127.0.0.1:2"}) {
		t.Errorf("probed %v, want the server without a limit", probed)
	}
}
