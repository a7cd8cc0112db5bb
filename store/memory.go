package store

import (
	"context"
	"maps"
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
	objects     map[string]Object // With versions of the first era; see object.
	lastVersion Version
	era         uint64
	changed     chan struct{} // Closed and replaced by every write and deletion.
	vms         []VM
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]Object{}, era: FirstEra, changed: make(chan struct{})}
}

// Copy is what a store held at one moment. The zero value is that of an empty store.
type Copy struct {
	objects     map[string]Object
	lastVersion Version
}

// Copy returns a copy of all objects.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{objects: maps.Clone(m.objects), lastVersion: m.lastVersion}
}

// Restore makes the store come back from a copy, in another era. What was written since is
// lost, and its versions are given out again.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects = map[string]Object{}
	maps.Copy(m.objects, c.objects)
	m.lastVersion = c.lastVersion
	m.era++
	m.notifyWatches()
}

// Era returns the current era.
func (m *Memory) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// object returns an object with its version in the current era. The caller holds m.mu.
func (m *Memory) object(name string) Object {
	o := m.objects[name]
	o.Version = m.inEra(o.Version)
	return o
}

func (m *Memory) inEra(v Version) Version { return v | Version(m.era-FirstEra)<<eraShift }

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
	return m.object(name), nil
}

func (m *Memory) put(_ context.Context, name string, value []byte, cond Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, fault.New(fault.Invalid, "value of %d bytes exceeds %d", len(value), MaxValueBytes)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.object(name).Version; current != cond {
		return 0, fault.New(fault.Conflict, "object is at version %d, not %d", current, cond)
	}
	m.lastVersion++
	m.objects[name] = Object{Value: slices.Clone(value), Version: m.lastVersion}
	m.notifyWatches()
	return m.inEra(m.lastVersion), nil
}

func (m *Memory) remove(_ context.Context, name string, cond Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.object(name).Version; current != cond {
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
			out = append(out, ObjectInfo{Name: name, Version: m.inEra(o.Version)})
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
		o, changed := m.object(name), m.changed
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
