package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	waitTimeout  = 20 * time.Second // Generous: only a failing test waits this long.
	pollInterval = 20 * time.Millisecond
)

// buildPrograms builds both commands and returns their directory.
func buildPrograms(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "../azuredeal", "../standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// process is a running program under test with its log output.
type process struct {
	t    testing.TB
	cmd  *exec.Cmd
	done chan struct{} // Closed when the process has ended.

	mu    sync.Mutex
	lines []map[string]any
	raw   bytes.Buffer
}

func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(name, args...), done: make(chan struct{})}
	output, input, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = input, input // Logs and errors of a program may go to different ones.
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = input.Close()
	go p.read(output)
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("%s %v:\n%s", filepath.Base(name), args, p.raw.String())
		}
	})
	return p
}

func (p *process) read(output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var line map[string]any
		p.mu.Lock()
		p.raw.WriteString(lines.Text() + "\n")
		if json.Unmarshal(lines.Bytes(), &line) == nil {
			p.lines = append(p.lines, line)
		}
		p.mu.Unlock()
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// field waits for a log line with the message and returns one of its fields.
func (p *process) field(message, field string) string {
	p.t.Helper()
	var got string
	p.eventually("log line "+message, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, line := range p.lines {
			if line["message"] == message {
				got, _ = line[field].(string)
				return true
			}
		}
		return false
	})
	return got
}

func (p *process) eventually(condition string, ok func() bool) { eventually(p.t, condition, ok) }

func eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", condition)
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// exitCode waits until the process has exited and returns its exit code.
func (p *process) exitCode() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		p.t.Fatal("the process did not exit")
	}
	return p.cmd.ProcessState.ExitCode()
}

// vm is an entry VM that runs as a process.
type vm struct {
	*process
	entry string
	admin string
	peer  string
}

// cluster is a platform, workers and entry VMs, each a process of its own.
type cluster struct {
	t        testing.TB
	dir      string
	platform string
	workers  []string
	vms      []*vm
}

func newCluster(t testing.TB, workers, vms int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: buildPrograms(t)}
	c.platform = startProcess(t, c.dir+"/standin", "platform", "--latency", "1").field("serving", "addr")
	for i := range workers {
		p := startProcess(t, c.dir+"/standin", "worker", "--name", fmt.Sprintf("w%d", i), "--median", "5ms", "--seed", fmt.Sprint(i+1))
		c.workers = append(c.workers, p.field("serving", "addr"))
	}
	for range vms {
		c.startVM()
	}
	return c
}

// startVM starts one more VM, with the peer addresses of the others as seeds.
func (c *cluster) startVM() *vm {
	c.t.Helper()
	return c.startVMWith(c.platform)
}

// startVMWith starts a VM that reaches the platform at the given address.
func (c *cluster) startVMWith(platform string) *vm {
	c.t.Helper()
	n := len(c.vms)
	var seeds []string
	for _, v := range c.vms {
		seeds = append(seeds, v.peer)
	}
	settings := map[string]any{
		"name":     fmt.Sprintf("vm-%d", n+1),
		"zone":     fmt.Sprintf("zone-%d", n%3+1),
		"entry":    map[string]any{"addr": "127.0.0.1:0"},
		"admin":    map[string]any{"addr": "127.0.0.1:0"},
		"peer":     map[string]any{"addr": "127.0.0.1:0", "secret": strings.Repeat("s3cret", 6), "seeds": append([]string{}, seeds...)},
		"platform": map[string]any{"url": "http://" + platform},
		"limits":   map[string]any{"rate": 100000, "burst": 100000},
		"drain":    map[string]any{"ttl": "300ms", "deadline": "10s"},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		c.t.Fatal(err)
	}
	file := filepath.Join(c.t.TempDir(), "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	p := startProcess(c.t, c.dir+"/azuredeal", "serve", file)
	v := &vm{process: p}
	v.entry = p.field("entry VM started", "entry")
	v.admin = p.field("entry VM started", "admin")
	v.peer = p.field("entry VM started", "peer")
	c.vms = append(c.vms, v)
	return v
}

// publish runs the publish command and returns its output and exit code.
func (c *cluster) publish(note any, to ...string) (string, int) {
	c.t.Helper()
	data, err := json.Marshal(note)
	if err != nil {
		c.t.Fatal(err)
	}
	file := filepath.Join(c.t.TempDir(), "note.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(c.dir+"/azuredeal", "publish", "--to", strings.Join(to, ","), file)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// release returns a release note with one service on all workers.
func (c *cluster) release(id string) map[string]any {
	var servers []map[string]any
	for i, addr := range c.workers {
		servers = append(servers, map[string]any{"addr": addr, "zone": fmt.Sprintf("zone-%d", i%3+1)})
	}
	return map[string]any{
		"id": id,
		"added": map[string]any{
			"services": []any{map[string]any{
				"name": "registry", "servers": servers, "floor": 3, "deadline": "3s",
				"detection": map[string]any{"profile": "fast"}, "limits": map[string]any{"hedge": true},
			}},
			"routes": []any{
				map[string]any{"name": "signs", "service": "registry", "path": "/signs/*", "methods": []string{"GET"}, "idempotent": true},
				map[string]any{"name": "orders", "service": "registry", "path": "/orders/*", "methods": []string{"POST"}, "class": "urgent"},
			},
		},
	}
}

// awaitGeneration waits until each of the VMs has applied a release of at least the
// given generation.
func (c *cluster) awaitGeneration(generation float64, vms ...*vm) {
	c.t.Helper()
	for _, v := range vms {
		eventually(c.t, "release applied on "+v.entry, func() bool {
			var dump struct {
				Generation float64 `json:"generation"`
			}
			return getJSON("http://"+v.admin+"/v1/dump", &dump) == nil && dump.Generation >= generation
		})
	}
}

func getJSON(url string, out any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

var client = &http.Client{Timeout: 10 * time.Second}

// runsByKey returns how many times the workers together ran the action of each key.
func (c *cluster) runsByKey() map[string]int {
	c.t.Helper()
	total := map[string]int{}
	for _, addr := range c.workers {
		var runsByKey map[string]int
		if err := getJSON("http://"+addr+"/standin/runs", &runsByKey); err != nil {
			c.t.Fatal(err)
		}
		for key, n := range runsByKey {
			total[key] += n
		}
	}
	return total
}

func (c *cluster) setBehavior(worker int, behavior string) {
	c.t.Helper()
	r, _ := http.NewRequest(http.MethodPut, "http://"+c.workers[worker]+"/standin/behavior", strings.NewReader(behavior))
	resp, err := client.Do(r)
	if err != nil {
		c.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Fatalf("behavior: status %d", resp.StatusCode)
	}
}

// response is what a caller received.
type response struct {
	status int
	kind   string
	ran    string
	body   string
	err    error
}

func (r response) String() string {
	return fmt.Sprintf("status %d, kind %q, ran %q, body %q, error %v", r.status, r.kind, r.ran, r.body, r.err)
}

// call sends a request as a caller does, with the idempotency key unless it is empty.
func call(method, url, key string) response {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("plate 7")
	}
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("Azuredeal-Error"), resp.Header.Get("Azuredeal-Ran"), string(data), err}
}

// own reports whether the response is complete and belongs to the request for path.
func (r response) own(path string) bool {
	fields := strings.Fields(r.body)
	return r.err == nil && r.status == http.StatusOK && len(fields) == 5 && fields[2] == path
}

// keys returns count idempotency keys that the VM has issued.
func (v *vm) keys(count int) []string {
	v.t.Helper()
	var out struct {
		Keys []string `json:"keys"`
	}
	resp, err := client.Post(fmt.Sprintf("http://%s/azuredeal/v1/keys?count=%d", v.entry, count), "", nil)
	if err != nil {
		v.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || len(out.Keys) != count {
		v.t.Fatalf("keys: %v, %d of %d", err, len(out.Keys), count)
	}
	return out.Keys
}
