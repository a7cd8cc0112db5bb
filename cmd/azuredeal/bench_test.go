package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	benchWorkers = 35 // The workers of one deployment today.
	benchSpan    = 20 * time.Second
	benchSettle  = 5 * time.Second
	clockTicks   = 100 // USER_HZ of Linux, in ticks a second.
)

// BenchmarkFleetIdle reports what control costs on each VM of a fleet of processes
// without requests: share of a core, memory, and bytes a second on the links between
// VMs, both ways.
//
//	go test -run xxx -bench FleetIdle -benchtime 1x ./cmd/azuredeal
func BenchmarkFleetIdle(b *testing.B) {
	for _, vms := range []int{6, 18, 60} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, vms)
			}
		})
	}
}

func measureIdle(b *testing.B, vms int) {
	s := newSite(b, benchWorkers, vms)
	if out, code := s.publish(s.release("first"), s.vms[0].admin); code != 0 {
		b.Fatalf("publish: exit %d, %s", code, out)
	}
	s.awaitGeneration(1, s.vms...)
	time.Sleep(benchSettle)
	ticks, bytes := s.usage(b)
	time.Sleep(benchSpan)
	ticksAfter, bytesAfter := s.usage(b)
	span := benchSpan.Seconds() * float64(vms)
	b.ReportMetric(100*(ticksAfter-ticks)/clockTicks/span, "%core/vm")
	b.ReportMetric((bytesAfter-bytes)/span, "B/s/vm")
	b.ReportMetric(s.memory(b)/float64(vms), "RSS-MB/vm")
	for _, p := range s.vms {
		_ = p.cmd.Process.Kill()
	}
}

// usage returns the processor ticks and the bytes on links of all VMs.
func (s *site) usage(b *testing.B) (ticks, bytes float64) {
	for _, v := range s.vms {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(rest)
		for _, i := range []int{11, 12} { // utime and stime, counted from the state.
			n, _ := strconv.ParseFloat(fields[i], 64)
			ticks += n
		}
		bytes += metric(b, v, "azuredeal_peer_conn_sent_bytes_total") + metric(b, v, "azuredeal_peer_conn_received_bytes_total")
	}
	return ticks, bytes
}

func metric(b *testing.B, v *vm, name string) float64 {
	resp, err := http.Get("http://" + v.admin + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			n, _ := strconv.ParseFloat(value, 64)
			return n
		}
	}
	return 0
}

// memory returns the resident memory of all VMs in MB.
func (s *site) memory(b *testing.B) float64 {
	total := 0.0
	for _, v := range s.vms {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(data), "VmRSS:")
		n, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		total += n / 1024
	}
	return total
}
