package member

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/wire"
)

// BenchmarkMembers runs fleets of drivers with real links (TLS, yamux, protobuf)
// over pipes in this process and reports the control plane cost of one member:
//
//	go test -run xxx -bench Members -benchtime 1x ./member
//
// conn-B/s is bytes below TLS, sent plus received; hb/s is heartbeats sent;
// cpu-ms/s is CPU time of the process per member. queries and pauses are counts of
// the fleet in the window; they are 0 in the idle runs on an unloaded machine, and
// each query costs a round of messages. The churn runs replace 1% of the VMs per
// minute, but at least one: it leaves, is killed, and another starts.
func BenchmarkMembers(b *testing.B) {
	for _, churn := range []bool{false, true} {
		for _, n := range []int{18, 60, 180} {
			name := fmt.Sprintf("idle/n=%d", n)
			if churn {
				name = fmt.Sprintf("churn/n=%d", n)
			}
			b.Run(name, func(b *testing.B) {
				for b.Loop() {
					measureFleet(b, n, churn)
				}
			})
		}
	}
}

const (
	benchWindow = 20 * time.Second
	benchLeave  = 5 * time.Second // From the announcement to the kill.
)

type usage struct {
	cpu             time.Duration
	bytes, messages uint64
	queries, pauses uint64
}

func measureFleet(b *testing.B, n int, churn bool) {
	base := memory()
	f := newFleet(b, 6)
	f.net.direct = true
	f.startAll(n)
	time.Sleep(2 * unchosenLinger) // Links to unchosen peers are closed by then.
	heap := memory() - base
	before := f.usage()
	start := time.Now()
	replaced := 0
	if churn {
		replaced = max(1, int(float64(n)*0.01*benchWindow.Minutes()))
		for i := range replaced {
			victim := f.vms[3+i]
			victim.driver.Leave()
			time.Sleep(benchLeave)
			victim.cancel()
			f.start(n+i, 1)
		}
	}
	time.Sleep(benchWindow - time.Since(start))
	after := f.usage()
	seconds := time.Since(start).Seconds() * float64(n)
	links := 0
	for _, v := range f.vms {
		links += len(v.driver.Dump().Links)
	}
	b.ReportMetric(float64(after.bytes-before.bytes)/seconds, "conn-B/s")
	b.ReportMetric(float64(after.messages-before.messages)/seconds, "hb/s")
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/1000/seconds, "cpu-ms/s")
	b.ReportMetric(float64(heap)/1024/float64(n), "KB")
	b.ReportMetric(float64(links)/float64(n), "links")
	b.ReportMetric(float64(after.queries-before.queries), "queries")
	b.ReportMetric(float64(after.pauses-before.pauses), "pauses")
	b.ReportMetric(float64(replaced), "replaced")
	b.ReportMetric(0, "ns/op")
	f.close()
	f.vms = nil
}

func (f *fleet) usage() usage {
	var u usage
	for _, v := range f.vms {
		u.bytes += v.counter("azuredeal_peer_conn_sent_bytes_total") + v.counter("azuredeal_peer_conn_received_bytes_total")
		u.messages += v.counter(`azuredeal_peer_sent_messages_total{kind="heartbeat"}`)
		u.queries += v.counter("azuredeal_member_queries_total")
		u.pauses += v.counter("azuredeal_member_pauses_total")
	}
	u.cpu = cpuTime()
	return u
}

func (v *vm) counter(name string) uint64 { return v.metrics.GetOrCreateCounter(name).Get() }

func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// memory returns the bytes of heap and stacks in use.
func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkMembersView runs the views of a fleet of up to 1,300 on a simulated
// clock, without links, and reports messages, their bytes before framing and TLS,
// and the CPU time per view and simulated second, including the cost of the
// simulation.
//
//	go test -run xxx -bench MembersView -benchtime 1x ./member
func BenchmarkMembersView(b *testing.B) {
	for _, churn := range []bool{false, true} {
		for _, n := range []int{180, 1300} {
			name := fmt.Sprintf("idle/n=%d", n)
			if churn {
				name = fmt.Sprintf("churn/n=%d", n)
			}
			b.Run(name, func(b *testing.B) {
				for b.Loop() {
					measureViews(b, n, churn)
				}
			})
		}
	}
}

func measureViews(b *testing.B, n int, churn bool) {
	s := newSim(6)
	s.addConverged(n)
	s.run(20 * time.Second)
	s.countBytes = true
	for _, v := range s.vms {
		v.messages, v.bytes = 0, 0
	}
	const window = 20 * time.Second
	replaced := 0
	if churn {
		replaced = max(1, int(float64(n)*0.01*window.Minutes()))
	}
	start := cpuTime()
	for i := range replaced {
		s.replace(i, n)
		s.run(window / time.Duration(replaced))
	}
	if !churn {
		s.run(window)
	}
	cpu := cpuTime() - start
	messages, bytes, links := 0, 0, 0
	for _, v := range s.vms {
		messages += v.messages
		bytes += v.bytes
		links += len(v.view.links)
	}
	seconds := window.Seconds() * float64(n)
	b.ReportMetric(float64(bytes)/seconds, "sent-B/s")
	b.ReportMetric(float64(messages)/seconds, "hb/s")
	b.ReportMetric(float64(cpu.Microseconds())/1000/seconds, "cpu-ms/s")
	b.ReportMetric(float64(links)/float64(n), "links")
	b.ReportMetric(float64(replaced), "replaced")
	b.ReportMetric(0, "ns/op")
}

// replace kills the VM that the previous call made leave, makes another leave, and
// starts a new one.
func (s *sim) replace(i, n int) {
	if i > 0 {
		s.vms[i+9].dead = true
	}
	s.vms[i+10].view.Leave(s.now)
	s.add(n+i, s.seeds(3)...)
}

// BenchmarkMembersApply measures the handling of a heartbeat without records and
// of one with a changed record, in a view of 1,300 members, and the memory of that
// view.
func BenchmarkMembersApply(b *testing.B) {
	for _, changes := range []int{0, 1} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			base := memory()
			s := newSim(6)
			s.now = now
			self := s.add(0)
			for i := 1; i < 1300; i++ {
				m := NewMember(vmID(i), uint64(i), fmt.Sprintf("zone-%d", i%6), fmt.Sprintf("10.0.%d.%d:7400", i>>8, i&255), "10.0.0.0:8080")
				self.view.insert(now, m)
			}
			heap := memory() - base
			var ids []LinkID
			for i := 1; i < 14; i++ {
				ids = append(ids, self.view.LinkUp(now, self.view.members[vmID(i)].wire(), ""))
			}
			h := &wire.Heartbeat{Incarnation: 1}
			version := uint64(1)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				h.Seq++
				h.Members = nil
				if changes > 0 {
					version++
					h.Members = []*wire.Member{{Id: vmID(1000), Incarnation: 1000, Version: version, Zone: "zone-4", State: wire.State_STATE_ALIVE}}
				}
				self.view.HandleHeartbeat(now, ids[0], h)
			}
			b.ReportMetric(float64(heap)/1024, "view-KB")
		})
	}
}
