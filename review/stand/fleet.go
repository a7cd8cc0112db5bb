package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is one process of the system, started as the deploy file says.
type vm struct {
	name     string
	front    string // Address for clients.
	ready    string
	settings string // Path of the settings file.
	record   *recorder
	log      *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // Closed when the process has ended.
}

// program is the command of the deploy file, relative to the repository.
const program = "target/azuredeal"

// reservePorts returns n free loopback addresses.
func reservePorts(n int) ([]string, error) {
	addrs := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

const portsPerVM = 5

// newVMs prepares VMs in zones a, b and so on, with the settings that the template of the
// deploy file gives for the bounds of the small sites.
func newVMs(c *testCase, n int) ([]*vm, error) {
	addrs, err := reservePorts(n * portsPerVM)
	if err != nil {
		return nil, err
	}
	zones := []string{}
	for i := range n {
		zones = append(zones, zoneName(i))
	}
	seeds := []string{}
	for i := range n {
		seeds = append(seeds, addrs[i*portsPerVM+4])
	}
	vms := []*vm{}
	for i := range n {
		a := addrs[i*portsPerVM:]
		v := &vm{name: fmt.Sprintf("edge-%s-1", zoneName(i)), front: a[0], ready: a[1], record: c.record}
		settings := map[string]any{
			"name": v.name, "zone": zoneName(i), "zones": zones,
			"entry": map[string]any{"addr": a[0]}, "ready": map[string]any{"addr": a[1]}, "lookup": map[string]any{"addr": a[2]},
			"admin": map[string]any{"addr": a[3]},
			"peer":  map[string]any{"mesh": 64, "addr": a[4], "seeds": seeds},
			"platform": map[string]any{
				"url": "http://" + c.storeAddr, "form": "objects", "retry": 0.2, "slack": 62, "floor": 0.7, "return": "2000ms", "beat": "1500ms",
			},
			"limits": map[string]any{"rate": 1000000, "burst": 1000000},
			"drain":  map[string]any{"ttl": "2s", "stay": "3s", "deadline": "2s", "grace": "6s"},
			"log":    "info",
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return nil, err
		}
		v.settings = filepath.Join(c.temp, v.name+".json")
		if err := os.WriteFile(v.settings, data, 0o600); err != nil {
			return nil, err
		}
		if v.log, err = os.Create(filepath.Join(c.temp, v.name+".log")); err != nil {
			return nil, err
		}
		vms = append(vms, v)
	}
	return vms, nil
}

func zoneName(i int) string { return "zone-" + string(rune('a'+i)) }

// start starts the process. It is killed when the stand-in ends.
func (v *vm) start() error {
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{"AZUREDEAL_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.mu.Unlock()
	v.record.linef("%s starts", v.name)
	go func() {
		_ = cmd.Wait()
		v.record.linef("%s has ended: %s", v.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// rss returns the resident memory of the process in bytes, 0 when it has ended.
func (v *vm) rss() int64 {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kb int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}

// awaitReady waits until the VM says that it is ready.
func (v *vm) awaitReady(ctx context.Context) error {
	for {
		if v.isReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New(v.name + " did not become ready")
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (v *vm) isReady() bool {
	resp, err := http.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, timeout string
	priority                    int
}

const (
	hostName    = "desk.example"
	serviceName = "desk"
)

// writeConfig writes a configuration with one service, as operators do.
func (s *store) writeConfig(version int, routes []route) {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, hostName, r.prefix, r.kind, r.timeout, "600ms", r.priority, nil, 2, serviceName})
	}
	s.set("config", "main", map[string]any{
		"version": version, "base-version": 0,
		"routes": map[string]any{
			"columns": []string{
				"name", "host", wire.Prefix, "kind", "timeout", "target-latency", "priority", "traffic-split", "max-attempts", "service",
			},
			"rows": rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health-check-path", "max-connections", "protocol", "tls"},
			"rows":    [][]any{{serviceName, "/health", 390, "h1", false}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
	})
}
