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

// Route is a route of a release in the form that requests are matched with.
type Route struct {
	name        string
	service     string
	split       *split // Nil when service gets all requests.
	methods     []string
	idempotent  bool
	requiresKey bool // Requests need an idempotency key.
	deadline    time.Duration
	class       limit.Class
	maxAttempts int // Limit on attempts per request that reached a server.
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Service returns the name of the service that gets the requests; empty when they
// are split among several services.
func (r *Route) Service() string { return r.service }

// anyService returns the name of a service that gets requests, without a request for it.
func (r *Route) anyService() string {
	if r.split == nil || len(r.split.services) == 0 {
		return r.service
	}
	return r.split.services[0].Service
}

// nextService returns the name of the service for the next request.
func (r *Route) nextService() string {
	if r.split == nil {
		return r.service
	}
	return r.split.nextService()
}

// split distributes requests among services by weight with smooth weighted round
// robin: over any sequence of requests the shares are within one request of the
// weights. Random selection would be off by several percent over a few hundred
// requests.
type split struct {
	mu             sync.Mutex
	services       []note.WeightedService
	total          int
	currentWeights []int // Current weight of each service, as in smooth weighted round robin.
}

const maxSplitStarts = 100 // Limit on the random starting position of a split.

func newSplit(services []note.WeightedService) *split {
	if len(services) == 0 {
		return nil
	}
	s := &split{services: services, currentWeights: make([]int, len(services))}
	for _, p := range services {
		s.total += p.Weight
	}
	// Start at a random position: otherwise all VMs would send their first requests to
	// the same service, and each VM sees only a few requests of a route.
	for range rand.IntN(min(s.total, maxSplitStarts) + 1) {
		s.nextService()
	}
	return s
}

func (s *split) nextService() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	for i, p := range s.services {
		s.currentWeights[i] += p.Weight
		if p.Weight > 0 && (best < 0 || s.currentWeights[i] > s.currentWeights[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	s.currentWeights[best] -= s.total
	return s.services[best].Service
}

// Idempotent reports whether requests may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

func newRoute(n *note.Route) *Route {
	return &Route{
		name:        n.Name,
		service:     n.Service,
		split:       newSplit(n.Split),
		maxAttempts: orDefault(n.MaxAttempts, defaultMaxAttempts),
		methods:     n.Methods,
		idempotent:  n.Idempotent,
		requiresKey: !n.Idempotent && n.IdempotencyKey != note.KeyOptional,
		deadline:    n.Deadline.Std(),
		class:       parseClass(n.Class),
	}
}

func parseClass(name string) limit.Class {
	switch name {
	case note.ClassUrgent:
		return limit.Urgent
	case note.ClassBulk:
		return limit.Bulk
	default:
		return limit.Normal
	}
}

// RouteTable maps host, path and method to a route. It is safe for concurrent use; it
// does not change apart from the positions of weighted splits.
type RouteTable struct {
	hosts   map[string]*hostRoutes
	anyHost *hostRoutes
	size    int
}

// hostRoutes holds the routes of one host. A lookup costs one map access for the
// exact path and at most one for each directory level that prefixes have.
type hostRoutes struct {
	exact  map[string][]*Route
	prefix map[string][]*Route // By the path without the "*"; ends in a slash.
	depth  int                 // Largest number of slashes in a prefix.
}

// NewRouteTable returns the route table of a release. Of two routes with the same
// host, path and method, the first by name wins.
func NewRouteTable(rel *note.Release) *RouteTable {
	t := &RouteTable{hosts: map[string]*hostRoutes{}, anyHost: newHostRoutes()}
	for _, n := range rel.Routes() {
		t.size++
		if n.Host == "" {
			t.anyHost.add(&n)
			continue
		}
		host := canonicalHost(n.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = newHostRoutes()
		}
		t.hosts[host].add(&n)
	}
	return t
}

// Len returns the number of routes.
func (t *RouteTable) Len() int { return t.size }

// Find returns the route for a request, or nil if none matches. A route for the host
// takes precedence over one for any host, an exact path over a prefix, and a longer
// prefix over a shorter one. Routes that do not allow the method are skipped. The
// prefix "/a/*" matches every path that begins with "/a/".
func (t *RouteTable) Find(host, path, method string) *Route {
	if p := t.hosts[canonicalHost(host)]; p != nil {
		if r := p.find(path, method); r != nil {
			return r
		}
	}
	return t.anyHost.find(path, method)
}

func newHostRoutes() *hostRoutes {
	return &hostRoutes{exact: map[string][]*Route{}, prefix: map[string][]*Route{}}
}

func (p *hostRoutes) add(n *note.Route) {
	r := newRoute(n)
	if !strings.HasSuffix(n.Path, "/*") {
		p.exact[n.Path] = append(p.exact[n.Path], r)
		return
	}
	key := strings.TrimSuffix(n.Path, "*")
	p.prefix[key] = append(p.prefix[key], r)
	p.depth = max(p.depth, strings.Count(key, "/"))
}

func (p *hostRoutes) find(path, method string) *Route {
	if r := firstWithMethod(p.exact[path], method); r != nil {
		return r
	}
	// Ignore path levels deeper than the longest prefix, so that a path with many
	// slashes needs no more lookups than the table has levels.
	end := 0
	for range p.depth {
		next := strings.IndexByte(path[end:], '/')
		if next < 0 {
			break
		}
		end += next + 1
	}
	for end > 0 {
		if r := firstWithMethod(p.prefix[path[:end]], method); r != nil {
			return r
		}
		end = strings.LastIndexByte(path[:end-1], '/') + 1
	}
	return nil
}

func firstWithMethod(routes []*Route, method string) *Route {
	for _, r := range routes {
		if len(r.methods) == 0 || slices.Contains(r.methods, method) {
			return r
		}
	}
	return nil
}

// canonicalHost returns the host in lower case, without port and trailing dot.
func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
