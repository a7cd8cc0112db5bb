package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/caller"
	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pool"
)

// startWaitingVM runs a VM whose ReleaseSource waits for release before it applies a release with
// one backend server. It returns the address for callers.
func startWaitingVM(t *testing.T, release <-chan struct{}) string {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	}))
	t.Cleanup(backend.Close)
	settings := conf.Default()
	settings.Name, settings.Zone = "vm-1", "z"
	settings.Entry.Addr, settings.Admin.Addr, settings.Peer.Addr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Peer.Secret = strings.Repeat("s", 32)
	ctx, cancel := context.WithCancel(t.Context())
	vm, err := New(ctx, settings, Options{
		Log:     zerolog.Nop(),
		Dialect: pool.DefaultDialect(),
		ReleaseSource: func(ctx context.Context, apply func(*note.Release, caller.Limits)) error {
			select {
			case <-release:
			case <-ctx.Done():
				return ctx.Err()
			}
			s := note.Service{
				Name: "a", Echo: note.EchoOpen, Deadline: note.Duration(time.Minute), Limits: note.Limits{Queue: 10, Body: 1 << 10},
				Servers: []note.Server{{Addr: backend.Listener.Addr().String(), Zone: "z", Slots: 3, Conns: 100}},
			}
			r := note.Route{Name: "look", Service: "a", Path: "/look/*", Idempotent: true}
			apply(note.NewRelease(1, []note.Service{s}, []note.Route{r}, nil), caller.Limits{
				HeaderBytes: 1 << 12, BodyBytes: 1 << 10, ReadTime: time.Minute, IdleTime: time.Minute, Conns: 100,
			})
			<-ctx.Done()
			return ctx.Err()
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- vm.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("VM ended with %v", err)
		}
	})
	return vm.EntryAddr()
}

// Pattern: all VMs restart at once and callers connect at the same moment. Guards against
// requests that are refused while the VM has no release yet, although it has one within
// their deadline, and against callers that wait for a VM that gets none.
func TestPatternRequestsDuringStart(t *testing.T) {
	release := make(chan struct{})
	addr := startWaitingVM(t, release)
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + addr + "/look/1")
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	time.Sleep(releaseWait / 4)
	close(release)
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d for a request that came before the release", got)
	}

	resp, err := http.Get("http://" + startWaitingVM(t, nil) + "/look/1")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d of a VM that gets no release", resp.StatusCode)
	}
}
