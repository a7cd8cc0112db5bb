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
	benchWorkers    = 35 // Workers of one real deployment.
	benchDuration   = 20 * time.Second
	benchSettleTime = 5 * time.Second
	ticksPerSecond  = 100 // USER_HZ of Linux, in ticks per second.
)

// BenchmarkFleetIdle reports what an idle fleet of processes costs on each VM: CPU as a percentage
// of a core, resident memory in MB, and bytes per second on the links between VMs, both
// directions.
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
	c := newCluster(b, benchWorkers, vms)
	if out, code := c.publish(c.release("first"), c.vms[0].admin); code != 0 {
		b.Fatalf("publish: exit %d, %s", code, out)
	}
	c.awaitGeneration(1, c.vms...)
	time.Sleep(benchSettleTime)
	ticks, bytes := c.usage(b)
	time.Sleep(benchDuration)
	ticksAfter, bytesAfter := c.usage(b)
	vmSeconds := benchDuration.Seconds() * float64(vms)
	b.ReportMetric(100*(ticksAfter-ticks)/ticksPerSecond/vmSeconds, "%core/vm")
	b.ReportMetric((bytesAfter-bytes)/vmSeconds, "B/s/vm")
	b.ReportMetric(c.memory(b)/float64(vms), "RSS-MB/vm")
	for _, p := range c.vms {
		_ = p.cmd.Process.Kill()
	}
}

// usage returns the CPU ticks and the bytes on peer links, summed over all VMs.
func (c *cluster) usage(b *testing.B) (ticks, bytes float64) {
	for _, v := range c.vms {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		_, stat, _ := strings.Cut(string(data), ") ")
		fields := strings.Fields(stat)
		for _, i := range []int{11, 12} { // utime and stime; index 0 is the process state.
			n, _ := strconv.ParseFloat(fields[i], 64)
			ticks += n
		}
		bytes += metric(b, v, "azuredeal_peer_conn_sent_bytes_total") + metric(b, v, "azuredeal_peer_conn_received_bytes_total")
	}
	return ticks, bytes
}

// metric returns the value of a metric of the VM, or 0 if it has none of that name.
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

// memory returns the resident memory of all VMs together, in MB.
func (c *cluster) memory(b *testing.B) float64 {
	total := 0.0
	for _, v := range c.vms {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		_, stat, _ := strings.Cut(string(data), "VmRSS:")
		n, _ := strconv.ParseFloat(strings.Fields(stat)[0], 64)
		total += n / 1024
	}
	return total
}
