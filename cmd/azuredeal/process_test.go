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
	startTime = 20 * time.Second // Generous: it decides only when a test gives up.
	pollEvery = 20 * time.Millisecond
)

// programs builds both commands once and returns their folder.
func programs(t testing.TB) string {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "../azuredeal", "../standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// process is a program under test with its log lines.
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
	p.cmd.Stdout, p.cmd.Stderr = input, input // Logs go to the one, errors to the other.
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

func (p *process) eventually(what string, ok func() bool) { eventually(p.t, what, ok) }

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(pollEvery) {
		if ok() {
			return
		}
	}
	t.Fatalf("gave up waiting: %s", what)
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(startTime):
		p.t.Fatal("the process did not end")
	}
	return p.cmd.ProcessState.ExitCode()
}

// vm is an entry VM as a process.
type vm struct {
	*process
	entry string
	admin string
	peer  string
}

// site is a platform, workers and entry VMs, each a process of its own.
type site struct {
	t        testing.TB
	dir      string
	platform string
	workers  []string
	vms      []*vm
}

func newSite(t testing.TB, workers, vms int) *site {
	t.Helper()
	s := &site{t: t, dir: programs(t)}
	s.platform = startProcess(t, s.dir+"/standin", "platform", "--latency", "1").field("serving", "addr")
	for i := range workers {
		p := startProcess(t, s.dir+"/standin", "worker", "--name", fmt.Sprintf("w%d", i), "--median", "5ms", "--seed", fmt.Sprint(i+1))
		s.workers = append(s.workers, p.field("serving", "addr"))
	}
	for range vms {
		s.startVM()
	}
	return s
}

// startVM starts one more VM; it learns of the others by the first one's address.
func (s *site) startVM() *vm {
	s.t.Helper()
	return s.startVMWith(s.platform)
}

// startVMWith starts a VM that reaches the platform at the given address.
func (s *site) startVMWith(platform string) *vm {
	s.t.Helper()
	n := len(s.vms)
	var seeds []string
	for _, v := range s.vms {
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
		s.t.Fatal(err)
	}
	file := filepath.Join(s.t.TempDir(), "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	p := startProcess(s.t, s.dir+"/azuredeal", "serve", file)
	v := &vm{process: p}
	v.entry = p.field("entry VM started", "entry")
	v.admin = p.field("entry VM started", "admin")
	v.peer = p.field("entry VM started", "peer")
	s.vms = append(s.vms, v)
	return v
}

// publish runs the publish command and returns its output and exit code.
func (s *site) publish(note any, to ...string) (string, int) {
	s.t.Helper()
	data, err := json.Marshal(note)
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.t.TempDir(), "note.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(s.dir+"/azuredeal", "publish", "--to", strings.Join(to, ","), file)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// release returns a note with one service over the workers.
func (s *site) release(id string) map[string]any {
	var servers []map[string]any
	for i, addr := range s.workers {
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

// awaitGeneration waits until the VMs have a release of at least that generation
// and see each other.
func (s *site) awaitGeneration(generation float64, vms ...*vm) {
	s.t.Helper()
	for _, v := range vms {
		eventually(s.t, "release in effect on "+v.entry, func() bool {
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

// runs returns how often the workers started the action of each key.
func (s *site) runs() map[string]int {
	s.t.Helper()
	total := map[string]int{}
	for _, addr := range s.workers {
		var runs map[string]int
		if err := getJSON("http://"+addr+"/standin/runs", &runs); err != nil {
			s.t.Fatal(err)
		}
		for key, n := range runs {
			total[key] += n
		}
	}
	return total
}

func (s *site) behave(worker int, behavior string) {
	s.t.Helper()
	r, _ := http.NewRequest(http.MethodPut, "http://"+s.workers[worker]+"/standin/behavior", strings.NewReader(behavior))
	resp, err := client.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("behavior: status %d", resp.StatusCode)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	kind   string
	ran    string
	body   string
	err    error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, kind %q, ran %q, body %q, error %v", a.status, a.kind, a.ran, a.body, a.err)
}

func call(method, url, key string) answer {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("plate 7")
	}
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Azuredeal-Error"), resp.Header.Get("Azuredeal-Ran"), string(data), err}
}

// own reports whether the answer is whole and belongs to the request for path.
func (a answer) own(path string) bool {
	words := strings.Fields(a.body)
	return a.err == nil && a.status == http.StatusOK && len(words) == 5 && words[2] == path
}

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
