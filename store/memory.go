package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

const maxWatchWait = 10 * time.Second

// Memory stores objects in memory, for the stand-in platform and tests. It is safe for
// concurrent use.
type Memory struct {
	mu          sync.Mutex
	objects     map[string]Object
	lastVersion Version
	changed     chan struct{} // Closed and replaced by every write and deletion.
	vms         []VM
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]Object{}, changed: make(chan struct{})}
}

// Client returns a client of the store.
func (m *Memory) Client() *Client {
	return &Client{Get: m.get, Put: m.put, Delete: m.remove, List: m.list, Watch: m.watch, ListVMs: m.listVMs}
}

// SetVMs replaces the list of VMs with a copy of vms.
func (m *Memory) SetVMs(vms []VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = slices.Clone(vms)
}

func (m *Memory) get(_ context.Context, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[name], nil
}

func (m *Memory) put(_ context.Context, name string, value []byte, cond Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, fault.New(fault.Invalid, "value of %d bytes exceeds %d", len(value), MaxValueBytes)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.objects[name].Version; current != cond {
		return 0, fault.New(fault.Conflict, "object is at version %d, not %d", current, cond)
	}
	m.lastVersion++
	m.objects[name] = Object{Value: slices.Clone(value), Version: m.lastVersion}
	m.notifyWatches()
	return m.lastVersion, nil
}

func (m *Memory) remove(_ context.Context, name string, cond Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.objects[name].Version; current != cond {
		return fault.New(fault.Conflict, "object is at version %d, not %d", current, cond)
	}
	delete(m.objects, name)
	m.notifyWatches()
	return nil
}

// notifyWatches wakes every waiting watch, which then checks its object again. Its caller
// holds m.mu.
func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Memory) list(_ context.Context, prefix string) ([]ObjectInfo, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []ObjectInfo
	for name, o := range m.objects {
		if strings.HasPrefix(name, prefix) {
			out = append(out, ObjectInfo{Name: name, Version: o.Version})
		}
	}
	slices.SortFunc(out, func(a, b ObjectInfo) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

func (m *Memory) watch(ctx context.Context, name string, after Version) (Object, error) {
	timer := time.NewTimer(maxWatchWait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		o, changed := m.objects[name], m.changed
		m.mu.Unlock()
		if o.Version > after {
			return o, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return o, nil
		case <-ctx.Done():
			return Object{}, fault.Wrap(fault.PlatformDown, ctx.Err(), "watch")
		}
	}
}

func (m *Memory) listVMs(context.Context) ([]VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.vms), nil
}
