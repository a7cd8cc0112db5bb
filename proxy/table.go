package proxy

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/note"
)

// Route is a route of the release, ready for use.
type Route struct {
	name       string
	service    string
	split      *split // Nil when all requests go to one service.
	methods    []string
	idempotent bool
	keyed      bool // An Idempotency-Key is required.
	deadline   time.Duration
	class      limit.Class
	attempts   int // Backend servers that one request may be sent to.
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Service returns the name of the service that the route leads to; empty when
// its requests are split among several.
func (r *Route) Service() string { return r.service }

// next returns the service for one more request.
func (r *Route) next() string {
	if r.split == nil {
		return r.service
	}
	return r.split.next()
}

// split deals requests out among services by weight. It is a smooth weighted
// round robin: any run of requests is split within one request of the weights,
// where drawing at random would be off by several percent over a few hundred.
type split struct {
	mu    sync.Mutex
	parts []note.WeightedService
	total int
	owed  []int // What each part is behind, in weights.
}

const splitPhases = 100 // Places at which a split may begin.

func newSplit(parts []note.WeightedService) *split {
	if len(parts) == 0 {
		return nil
	}
	s := &split{parts: parts, owed: make([]int, len(parts))}
	for _, p := range parts {
		s.total += p.Weight
	}
	// VMs that begin at the same place would send their first requests to the same
	// part, and each VM sees only a few requests of a route.
	for range rand.IntN(min(s.total, splitPhases) + 1) {
		s.next()
	}
	return s
}

func (s *split) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i, p := range s.parts {
		s.owed[i] += p.Weight
		if p.Weight > 0 && (best < 0 || s.owed[i] > s.owed[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.owed[best] -= s.total
	return s.parts[best].Service
}

// Idempotent reports whether requests may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

func newRoute(n *note.Route) *Route {
	return &Route{
		name:       n.Name,
		service:    n.Service,
		split:      newSplit(n.Split),
		attempts:   orDefault(n.MaxAttempts, attemptsMost),
		methods:    n.Methods,
		idempotent: n.Idempotent,
		keyed:      !n.Idempotent && n.IdempotencyKey != note.KeyOptional,
		deadline:   n.Deadline.Std(),
		class:      classOf(n.Class),
	}
}

func classOf(name string) limit.Class {
	switch name {
	case note.ClassUrgent:
		return limit.Urgent
	case note.ClassBulk:
		return limit.Bulk
	default:
		return limit.Normal
	}
}

// RouteTable finds routes. It is immutable.
type RouteTable struct {
	hosts map[string]*paths
	any   *paths
	size  int
}

// paths holds the routes of one host. A lookup costs one hash for the exact
// path and one for each leading directory that some prefix has.
type paths struct {
	exact  map[string][]*Route
	prefix map[string][]*Route // By the path up to its last slash.
	depth  int                 // Most slashes in a prefix.
}

// NewRouteTable returns the table of a release. Of two routes with the same host,
// path and method, the first by name is found.
func NewRouteTable(rel *note.Release) *RouteTable {
	t := &RouteTable{hosts: map[string]*paths{}, any: newPaths()}
	for _, n := range rel.Routes() {
		t.size++
		if n.Host == "" {
			t.any.add(&n)
			continue
		}
		host := canonicalHost(n.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = newPaths()
		}
		t.hosts[host].add(&n)
	}
	return t
}

// Len returns the number of routes.
func (t *RouteTable) Len() int { return t.size }

// Find returns the route for a request, or nil. A route for the host goes
// before one for any host, an exact path before a prefix, and a longer prefix
// before a shorter one; routes without the method do not count. The prefix
// "/a/*" covers what begins with "/a/".
func (t *RouteTable) Find(host, path, method string) *Route {
	if p := t.hosts[canonicalHost(host)]; p != nil {
		if r := p.find(path, method); r != nil {
			return r
		}
	}
	return t.any.find(path, method)
}

func newPaths() *paths {
	return &paths{exact: map[string][]*Route{}, prefix: map[string][]*Route{}}
}

func (p *paths) add(n *note.Route) {
	r := newRoute(n)
	if !strings.HasSuffix(n.Path, "/*") {
		p.exact[n.Path] = append(p.exact[n.Path], r)
		return
	}
	key := strings.TrimSuffix(n.Path, "*")
	p.prefix[key] = append(p.prefix[key], r)
	p.depth = max(p.depth, strings.Count(key, "/"))
}

func (p *paths) find(path, method string) *Route {
	if r := withMethod(p.exact[path], method); r != nil {
		return r
	}
	// Slashes deeper than any prefix are left out, so that a path with many
	// slashes costs no more hashes than the table is deep.
	end := 0
	for range p.depth {
		next := strings.IndexByte(path[end:], '/')
		if next < 0 {
			break
		}
		end += next + 1
	}
	for end > 0 {
		if r := withMethod(p.prefix[path[:end]], method); r != nil {
			return r
		}
		end = strings.LastIndexByte(path[:end-1], '/') + 1
	}
	return nil
}

func withMethod(routes []*Route, method string) *Route {
	for _, r := range routes {
		if len(r.methods) == 0 || slices.Contains(r.methods, method) {
			return r
		}
	}
	return nil
}

// canonicalHost returns the host in lower case, without port and final dot.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
