package note

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"
)

// Apply returns the release that n makes of rel, with defaults filled in and a
// generation one above that of rel. It returns no release when the note has
// problems. Neither rel nor n is changed; a nil rel stands for an empty release
// of generation 0. The base of the note is the publisher's concern.
func Apply(rel *Release, n *Note) (*Release, Problems) {
	if rel == nil {
		rel = NewRelease(0, nil, nil, nil)
	}
	var p Problems
	checkName(&p, "id", n.ID)
	services := merge(&p, "services", rel.services, n.Added.Services, n.Changed.Services, n.Withdrawn.Services)
	routes := merge(&p, "routes", rel.routes, n.Added.Routes, n.Changed.Routes, n.Withdrawn.Routes)
	accounts := merge(&p, "accounts", rel.accounts, n.Added.Accounts, n.Changed.Accounts, n.Withdrawn.Accounts)
	if len(services.items)+len(services.gone)+len(routes.items)+len(routes.gone)+
		len(accounts.items)+len(accounts.gone) == 0 {
		p.Add("note", "no changes", "at least one item in added, changed or withdrawn")
	}
	if rel.generation == math.MaxUint64 {
		p.Add("base", rel.generation, "a generation that can grow")
	}
	next := &Release{
		generation: rel.generation + 1,
		services:   rel.services.with(services.items, services.gone),
		routes:     rel.routes.with(routes.items, routes.gone),
		accounts:   rel.accounts.with(accounts.items, accounts.gone),
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

// item is what every kind of item can do.
type item[T any] interface {
	named
	filled() T
	check(p *Problems, path string)
}

// delta is what a note does to the items of one kind.
type delta[T named] struct {
	items []T      // Added and changed, with defaults.
	paths []string // Of items.
	gone  []string
}

// merge checks the three lists of one kind by themselves and against what exists.
func merge[T item[T]](p *Problems, kind string, have table[T], added, changed []T, withdrawn []string) delta[T] {
	var d delta[T]
	seen := map[string]string{} // Path by name.
	once := func(path, name string) {
		if first, ok := seen[name]; ok {
			p.Add(path, name, "a name that the note has once; it is also at %s", first)
			return
		}
		seen[name] = path
	}
	take := func(list string, items []T, exists bool, allowed string) {
		for i, raw := range items {
			path := fmt.Sprintf("%s.%s[%d]", list, kind, i)
			v := raw.filled()
			v.check(p, path)
			once(path+".name", v.label())
			if _, ok := have.find(v.label()); ok != exists {
				p.Add(path+".name", v.label(), "%s", allowed)
			}
			d.items = append(d.items, v)
			d.paths = append(d.paths, path)
		}
	}
	take("added", added, false, "a name that does not exist yet")
	take("changed", changed, true, "a name that exists")
	for i, name := range withdrawn {
		path := fmt.Sprintf("withdrawn.%s[%d]", kind, i)
		once(path, name)
		if _, ok := have.find(name); !ok {
			p.Add(path, name, "a name that exists")
		}
	}
	d.gone = withdrawn
	return d
}

// checkServices adds routes of the note whose service does not exist after it.
func checkServices(p *Problems, next *Release, routes delta[Route]) {
	for i, t := range routes.items {
		for name := range t.uses() {
			if _, ok := next.services.find(name); !ok {
				p.Add(routes.paths[i]+".service", name, "a service that exists after the note")
			}
		}
	}
}

// maxUsers bounds the routes that a problem names.
const maxUsers = 3

// checkWithdrawn adds withdrawn services that routes still use. Routes of the
// note itself are left to checkServices.
func checkWithdrawn(p *Problems, next *Release, withdrawn []string, routes delta[Route]) {
	if len(withdrawn) == 0 {
		return
	}
	users := make(map[string][]string, len(withdrawn))
	for _, name := range withdrawn {
		users[name] = nil
	}
	inNote := make(map[string]bool, len(routes.items))
	for _, t := range routes.items {
		inNote[t.Name] = true
	}
	for t := range next.routes.all() {
		for name := range t.uses() {
			if by, ok := users[name]; ok && !inNote[t.Name] {
				users[name] = append(by, t.Name)
			}
		}
	}
	for i, name := range withdrawn {
		if by := users[name]; len(by) > 0 {
			p.Add(fmt.Sprintf("withdrawn.services[%d]", i), name, "a service that no route uses; it is used by %s", some(by))
		}
	}
}

// uses yields the services that the route leads to.
func (t *Route) uses() iter.Seq[string] {
	return func(yield func(string) bool) {
		if len(t.Split) == 0 {
			yield(t.Service)
			return
		}
		for _, part := range t.Split {
			if !yield(part.Service) {
				return
			}
		}
	}
}

// some lists the first few names and counts the others.
func some(names []string) string {
	slices.Sort(names)
	if len(names) <= maxUsers {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxUsers], ", "), len(names)-maxUsers)
}

// place is what has to differ between two routes that share a method. An exact
// path comes before a prefix, a longer prefix before a shorter one and a host
// before any host, so other overlaps are not ambiguous.
type place struct{ host, path string }

// checkAmbiguous adds routes of the note that match the same requests as another
// route.
func checkAmbiguous(p *Problems, next *Release, routes delta[Route]) {
	if len(routes.items) == 0 {
		return
	}
	at := make(map[place][]*Route, len(routes.items))
	for _, t := range routes.items {
		at[place{t.Host, t.Path}] = nil
	}
	for t := range next.routes.all() {
		where := place{t.Host, t.Path}
		if list, ok := at[where]; ok {
			at[where] = append(list, t)
		}
	}
	for i, t := range routes.items {
		for _, other := range at[place{t.Host, t.Path}] {
			if other.Name == t.Name {
				continue
			}
			if m := sharedMethod(&t, other); m != "" {
				p.Add(routes.paths[i]+".path", strings.TrimSpace(m+" "+t.Host+t.Path),
					"a host, path and method that no other route has; route %s has them", other.Name)
				break
			}
		}
	}
}

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

// anyMethod stands for the methods of a route that names none.
const anyMethod = "any method"

// checkDigests adds accounts of the note whose token another account has.
func checkDigests(p *Problems, next *Release, accounts delta[Account]) {
	if len(accounts.items) == 0 {
		return
	}
	owners := make(map[string]int, len(accounts.items))
	for _, a := range accounts.items {
		owners[a.TokenDigest] = 0
	}
	for a := range next.accounts.all() {
		if n, ok := owners[a.TokenDigest]; ok {
			owners[a.TokenDigest] = n + 1
		}
	}
	for i, a := range accounts.items {
		if owners[a.TokenDigest] > 1 {
			p.Add(accounts.paths[i]+".digest", a.TokenDigest, "a token that no other account has")
		}
	}
}
