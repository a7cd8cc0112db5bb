package proxy

import (
	"fmt"
	"strings"
	"testing"

	"github.com/azuredeal/azuredeal/note"
)

func ExampleRouteTable_Find() {
	table := NewRouteTable(note.NewRelease(1, nil, []note.Route{
		{Name: "lookup", Path: "/plans/*", Methods: []string{"GET"}, Idempotent: true},
		{Name: "approve", Path: "/plans/7/approve", Methods: []string{"POST"}},
	}, nil))
	r := table.Find("shop.example:8080", "/plans/7/approve", "POST")
	fmt.Println(r.Name(), r.Idempotent())
	// Output: approve false
}

func tableOf(routes ...note.Route) *RouteTable {
	for i := range routes {
		if routes[i].Methods == nil {
			routes[i].Methods = []string{"GET"}
		}
	}
	return NewRouteTable(note.NewRelease(1, nil, routes, nil))
}

// Guards against matching a request to the wrong route, such as a non-idempotent
// request to an idempotent route.
func TestRouteTableFind(t *testing.T) {
	table := tableOf(
		note.Route{Name: "any", Path: "/*"},
		note.Route{Name: "plans", Path: "/plans/*"},
		note.Route{Name: "deep", Path: "/plans/a/b/*"},
		note.Route{Name: "exact", Path: "/plans/a"},
		note.Route{Name: "approve", Path: "/plans/a", Methods: []string{"POST", "PUT"}},
		note.Route{Name: "post", Path: "/plans/*", Methods: []string{"POST"}},
		note.Route{Name: "host", Host: "Signs.Example", Path: "/plans/*"},
		note.Route{Name: "six", Host: "[::1]", Path: "/"},
		note.Route{Name: "twin-a", Path: "/twin"},
		note.Route{Name: "twin-b", Path: "/twin"},
	)
	for _, c := range []struct{ method, host, path, want string }{
		{"GET", "x", "/", "any"},
		{"GET", "x", "/plans", "any"},
		{"GET", "x", "/plans/", "plans"},
		{"GET", "x", "/plans/z", "plans"},
		{"GET", "x", "/plans/a", "exact"},
		{"PUT", "x", "/plans/a", "approve"},
		{"POST", "x", "/plans/a", "approve"},
		{"POST", "x", "/plans/a/", "post"},
		{"PUT", "x", "/plans/z", ""},
		{"DELETE", "x", "/plans/a", ""},
		{"GET", "x", "/plans/a/b", "plans"},
		{"GET", "x", "/plans/a/b/", "deep"},
		{"GET", "x", "/plans/a/b/c/d/e", "deep"},
		{"GET", "x", "/plans/a/bc/d", "plans"},
		{"GET", "x", "/" + strings.Repeat("y/", 1000), "any"},
		{"GET", "signs.example", "/plans/a", "host"},
		{"GET", "SIGNS.example.:8080", "/plans/a", "host"},
		{"GET", "signs.example", "/other", "any"},
		{"POST", "signs.example", "/plans/a", "approve"},
		{"GET", "[::1]:80", "/", "six"},
		{"GET", "[::1]", "/", "six"},
		{"GET", "x", "/twin", "twin-a"},
		{"GET", "", "", ""},
	} {
		got := ""
		if r := table.Find(c.host, c.path, c.method); r != nil {
			got = r.Name()
		}
		if got != c.want {
			t.Errorf("%s %s%s: route %q, want %q", c.method, c.host, c.path, got, c.want)
		}
	}
}

// Guards against paths that a backend server may normalize to the path of another route.
func TestAmbiguousPath(t *testing.T) {
	b := serveRaw(t, echoBody)
	f := newFixture(t, nil, b)
	for _, path := range []string{
		"/look/../act", "/look/%2e%2e/act", "/look/./x", "/look/..;a=1/act", "//look/x",
		"/look//x", "/look%2Fx", "/look/a%2fb", "/look/..%5cact", "/look/%00", "/look/..",
	} {
		expectResponse(t, f.do("GET", path, ""), 400, "BadRequest", "no")
	}
	for _, path := range []string{"/look/a.b", "/look/..a", "/look/.well-known", "/look/%41", "/look/x/"} {
		expectResponse(t, f.do("GET", path, ""), 200, "", "")
	}
}

func manyRoutes(n int) *note.Release {
	routes := make([]note.Route, n)
	for i := range routes {
		routes[i] = note.Route{Name: fmt.Sprint("r", i), Service: "s", Methods: []string{"GET", "POST"}}
		routes[i].Path = fmt.Sprintf("/shop%d/plans/p%d", i%100, i)
		if i%2 == 0 {
			routes[i].Path += "/*"
		}
		if i%3 == 0 {
			routes[i].Host = fmt.Sprintf("h%d.example", i%50)
		}
	}
	return note.NewRelease(1, nil, routes, nil)
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{250, 2500, 25000} {
		table := NewRouteTable(manyRoutes(n))
		paths := make([]string, 64)
		for i := range paths {
			k := i * (n / len(paths))
			paths[i] = fmt.Sprintf("/shop%d/plans/p%d/x", k%100, k)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.Find("h7.example", paths[i%len(paths)], "GET")
			}
		})
	}
}

func BenchmarkNewRouteTable(b *testing.B) {
	rel := manyRoutes(25000)
	b.ReportAllocs()
	for b.Loop() {
		NewRouteTable(rel)
	}
}
