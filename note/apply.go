package note

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"
)

// Apply returns the release that results from applying n to rel, with defaults
// filled in and a generation one above that of rel. When the note has problems, it
// returns nil and all of them. Neither rel nor n is changed; a nil rel stands for an
// empty release of generation 0. Apply ignores the base generation of the note; the
// publisher checks it.
func Apply(rel *Release, n *Note) (*Release, Problems) {
	if rel == nil {
		rel = NewRelease(0, nil, nil, nil)
	}
	var p Problems
	checkName(&p, "id", n.ID)
	services := newDelta(&p, "services", rel.services, n.Added.Services, n.Changed.Services, n.Withdrawn.Services)
	routes := newDelta(&p, "routes", rel.routes, n.Added.Routes, n.Changed.Routes, n.Withdrawn.Routes)
	accounts := newDelta(&p, "accounts", rel.accounts, n.Added.Accounts, n.Changed.Accounts, n.Withdrawn.Accounts)
	if len(services.items)+len(services.removed)+len(routes.items)+len(routes.removed)+
		len(accounts.items)+len(accounts.removed) == 0 {
		p.Add("note", "no changes", "at least one item in added, changed or withdrawn")
	}
	if rel.generation == math.MaxUint64 {
		p.Add("base", rel.generation, "a generation that can grow")
	}
	next := &Release{
		generation: rel.generation + 1,
		services:   rel.services.with(services.items, services.removed),
		routes:     rel.routes.with(routes.items, routes.removed),
		accounts:   rel.accounts.with(accounts.items, accounts.removed),
	}
	checkServices(&p, next, routes)
	checkWithdrawn(&p, next, n.Withdrawn.Services, routes)
	checkAmbiguous(&p, next, routes)
	checkDigests(&p, next, accounts)
	if len(p) > 0 {
		return nil, p
	}
	return next, nil
}

// item is the constraint that Service, Route and Account satisfy.
type item[T any] interface {
	named
	withDefaults() T
	check(p *Problems, path string)
}

// delta holds the changes that a note makes to the items of one kind.
type delta[T named] struct {
	items     []T      // Added and changed items, with defaults filled in.
	itemPaths []string // Paths of items in the note, at the same indices.
	removed   []string // Names of the withdrawn items.
}

// newDelta collects the changes to the items of one kind. It checks each item by
// itself, that no name occurs twice in the note, and the names against the current
// release.
func newDelta[T item[T]](p *Problems, kind string, current table[T], added, changed []T, withdrawn []string) delta[T] {
	var d delta[T]
	pathByName := map[string]string{}
	checkUnique := func(path, name string) {
		if first, ok := pathByName[name]; ok {
			p.Add(path, name, "a name that the note has once; it is also at %s", first)
			return
		}
		pathByName[name] = path
	}
	addItems := func(list string, items []T, mustExist bool, allowed string) {
		for i, raw := range items {
			path := fmt.Sprintf("%s.%s[%d]", list, kind, i)
			v := raw.withDefaults()
			v.check(p, path)
			checkUnique(path+".name", v.itemName())
			if _, ok := current.find(v.itemName()); ok != mustExist {
				p.Add(path+".name", v.itemName(), "%s", allowed)
			}
			d.items = append(d.items, v)
			d.itemPaths = append(d.itemPaths, path)
		}
	}
	addItems("added", added, false, "a name that does not exist yet")
	addItems("changed", changed, true, "a name that exists")
	for i, name := range withdrawn {
		path := fmt.Sprintf("withdrawn.%s[%d]", kind, i)
		checkUnique(path, name)
		if _, ok := current.find(name); !ok {
			p.Add(path, name, "a name that exists")
		}
	}
	d.removed = withdrawn
	return d
}

// checkServices reports routes of the note whose service is not in the next release.
func checkServices(p *Problems, next *Release, routes delta[Route]) {
	for i, t := range routes.items {
		for name := range t.serviceNames() {
			if _, ok := next.services.find(name); !ok {
				p.Add(routes.itemPaths[i]+".service", name, "a service that exists after the note")
			}
		}
	}
}

// maxListedRoutes is the maximum number of routes that one problem lists by name.
const maxListedRoutes = 3

// checkWithdrawn reports withdrawn services that routes still use. Routes in the
// note itself are reported by checkServices.
func checkWithdrawn(p *Problems, next *Release, withdrawn []string, routes delta[Route]) {
	if len(withdrawn) == 0 {
		return
	}
	routesByService := make(map[string][]string, len(withdrawn))
	for _, name := range withdrawn {
		routesByService[name] = nil
	}
	inNote := make(map[string]bool, len(routes.items))
	for _, t := range routes.items {
		inNote[t.Name] = true
	}
	for t := range next.routes.all() {
		for name := range t.serviceNames() {
			if routeNames, ok := routesByService[name]; ok && !inNote[t.Name] {
				routesByService[name] = append(routeNames, t.Name)
			}
		}
	}
	for i, name := range withdrawn {
		if routeNames := routesByService[name]; len(routeNames) > 0 {
			p.Add(fmt.Sprintf("withdrawn.services[%d]", i), name, "a service that no route uses; it is used by %s", joinSome(routeNames))
		}
	}
}

// serviceNames yields the names of the services that the route sends requests to.
func (t *Route) serviceNames() iter.Seq[string] {
	return func(yield func(string) bool) {
		if len(t.Split) == 0 {
			yield(t.Service)
			return
		}
		for _, target := range t.Split {
			if !yield(target.Service) {
				return
			}
		}
	}
}

// joinSome returns the first maxListedRoutes names in sorted order and the number of
// the others.
func joinSome(names []string) string {
	slices.Sort(names)
	if len(names) <= maxListedRoutes {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedRoutes], ", "), len(names)-maxListedRoutes)
}

// hostPath identifies the requests that a route matches, apart from their method. Two
// routes that share a method are ambiguous only when both fields are equal: an exact
// path takes precedence over a prefix, a longer prefix over a shorter one, and a
// given host over any host.
type hostPath struct{ host, path string }

// checkAmbiguous reports routes of the note that have the same host, path and method
// as another route.
func checkAmbiguous(p *Problems, next *Release, routes delta[Route]) {
	if len(routes.items) == 0 {
		return
	}
	candidates := make(map[hostPath][]*Route, len(routes.items))
	for _, t := range routes.items {
		candidates[hostPath{t.Host, t.Path}] = nil
	}
	for t := range next.routes.all() {
		key := hostPath{t.Host, t.Path}
		if list, ok := candidates[key]; ok {
			candidates[key] = append(list, t)
		}
	}
	for i, t := range routes.items {
		for _, other := range candidates[hostPath{t.Host, t.Path}] {
			if other.Name == t.Name {
				continue
			}
			if m := sharedMethod(&t, other); m != "" {
				p.Add(routes.itemPaths[i]+".path", strings.TrimSpace(m+" "+t.Host+t.Path),
					"a host, path and method that no other route has; route %s has them", other.Name)
				break
			}
		}
	}
}

// sharedMethod returns a method that both routes match, or "" when there is none.
func sharedMethod(a, b *Route) string {
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		return anyMethod
	}
	for _, m := range a.Methods {
		if slices.Contains(b.Methods, m) {
			return m
		}
	}
	return ""
}

// anyMethod stands in a problem for the methods of a route that lists none.
const anyMethod = "any method"

// checkDigests reports accounts of the note that have the same token as another
// account.
func checkDigests(p *Problems, next *Release, accounts delta[Account]) {
	if len(accounts.items) == 0 {
		return
	}
	accountsByDigest := make(map[string]int, len(accounts.items))
	for _, a := range accounts.items {
		accountsByDigest[a.TokenDigest] = 0
	}
	for a := range next.accounts.all() {
		if n, ok := accountsByDigest[a.TokenDigest]; ok {
			accountsByDigest[a.TokenDigest] = n + 1
		}
	}
	for i, a := range accounts.items {
		if accountsByDigest[a.TokenDigest] > 1 {
			p.Add(accounts.itemPaths[i]+".digest", a.TokenDigest, "a token that no other account has")
		}
	}
}
