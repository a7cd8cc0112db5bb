package note_test

import (
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
)

var update = flag.Bool("update", false, "rewrite golden files")

func server(i int) note.Server {
	return note.Server{
		Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("z%d", i%6), Slots: 3, Conns: 400,
	}
}

// fleetNote returns a note that creates a release with the given number of routes, and
// with services, backend servers and accounts in the ratio of 460, 14,000 and 53,000 to
// 25,000 routes.
func fleetNote(routes int) *note.Note {
	n := &note.Note{ID: "first"}
	services := max(1, routes*460/25_000)
	for i := range services {
		s := note.Service{Name: fmt.Sprintf("service-%d", i)}
		for j := range 30 {
			s.Servers = append(s.Servers, server(i*30+j))
		}
		n.Added.Services = append(n.Added.Services, s)
	}
	for i := range routes {
		n.Added.Routes = append(n.Added.Routes, route(i, services))
	}
	for i := range routes * 53 / 25 {
		n.Added.Accounts = append(n.Added.Accounts, account(i))
	}
	return n
}

func route(i, services int) note.Route {
	return note.Route{
		Name: fmt.Sprintf("route-%d", i), Service: fmt.Sprintf("service-%d", i%services),
		Path: fmt.Sprintf("/v1/tenant-%d/objects/*", i), Methods: []string{"GET", "HEAD"}, Idempotent: true,
	}
}

func account(i int) note.Account {
	return note.Account{Name: fmt.Sprintf("account-%d", i), TokenDigest: tokenDigest(fmt.Sprint(i)), Rate: 50, Burst: 100}
}

func mustApply(t testing.TB, rel *note.Release, n *note.Note) *note.Release {
	t.Helper()
	next, problems := note.Apply(rel, n)
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	return next
}

// shopRelease returns a small release that the tests apply notes to.
func shopRelease(t testing.TB) *note.Release {
	return mustApply(t, nil, &note.Note{ID: "shop", Added: note.Items{
		Services: []note.Service{
			{Name: "layout", Servers: []note.Server{server(1), server(2), server(3)}},
			{Name: "stock", Servers: []note.Server{server(4)}},
		},
		Routes: []note.Route{
			{Name: "plans", Service: "layout", Path: "/plans/*", Methods: []string{"GET"}, Idempotent: true},
			{Name: "plans2", Service: "layout", Path: "/plans/*", Methods: []string{"GET"}, Host: "b.example", Idempotent: true},
			{Name: "facings", Service: "stock", Path: "/facings", Methods: []string{"GET"}, Idempotent: true},
		},
		Accounts: []note.Account{{Name: "shop", TokenDigest: tokenDigest("shop")}},
	}})
}

func compareGolden(t *testing.T, name string, p note.Problems) {
	t.Helper()
	var b strings.Builder
	for _, problem := range p {
		fmt.Fprintf(&b, "%s | %s | %s\n", problem.Path(), problem.Value(), problem.Allowed())
	}
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || b.String() != string(want) {
		t.Errorf("problems differ from %s (%v):\n%s", path, err, b.String())
	}
}

// Guards against a check that stops at the first problem or reports a wrong path.
func TestProblems(t *testing.T) {
	for _, name := range []string{"problems", "shape"} {
		data, err := os.ReadFile(filepath.Join("testdata", name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		n, err := note.Parse(data)
		var p note.Problems
		if !errors.As(err, &p) {
			_, p = note.Apply(shopRelease(t), n)
		}
		if fault.KindOf(p.Err()) != fault.Invalid {
			t.Errorf("%s: kind of %v", name, p.Err())
		}
		compareGolden(t, name+".golden", p)
	}
}

// Guards against malformed input that encoding/json accepts, and against input that ends
// the check early.
func TestParseRefuses(t *testing.T) {
	for _, text := range []string{
		``, `null`, `[]`, `7`, `{`, `{"id":"a"`, `{"id":"a"}}`, `{"id":"a"} x`, `{"id":"a"}]`, `{"id":"a","id":"b"}`,
		`{"Id":"a"}`, `{"id":null}`, `{"added":{"routes":[null]}}`, `{"unknown":[[[[`, strings.Repeat(" ", note.MaxNoteBytes+1),
		`{"x":` + strings.Repeat("[", 100_000),
	} {
		n, err := note.Parse([]byte(text))
		if fault.KindOf(err) != fault.Invalid || n != nil {
			t.Errorf("%.40q: %v", text, err)
		}
	}
	if _, err := note.Parse([]byte(` {"id":"a","base":1} ` + "\n")); err != nil {
		t.Error(err)
	}
}

// Guards against defaults that overwrite an explicit zero, and against omitted fields
// that get no default.
func TestDefaults(t *testing.T) {
	n, err := note.Parse([]byte(`{"id":"d","base":0,"added":{"services":[
		{"name":"a","servers":[{"addr":"10.0.0.1:1","zone":"a"},{"addr":"10.0.0.2:1","zone":"a"},
			{"addr":"10.0.0.3:1","zone":"a"},{"addr":"10.0.0.4:1","zone":"a","leaving":true}]},
		{"name":"b","servers":[{"addr":"10.0.0.5:1","zone":"a"}],"detection":{"bias":0},"limits":{"retry":0}}],
		"routes":[{"name":"r","service":"a","path":"/","methods":["POST"]}],
		"accounts":[{"name":"x","digest":"` + tokenDigest("x") + `","rate":0.5}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	rel := mustApply(t, nil, n)
	a, _ := rel.Service("a")
	if a.Floor != 2 || a.Servers[0].Slots != 3 || a.Servers[0].Conns != 400 || a.Detection.Bias != 0.5 ||
		a.Detection.Profile != note.ProfileSteady || a.Limits.RetryRatio != 0.1 || a.Limits.Queue == 0 ||
		a.Limits.Body == 0 || a.Limits.MaxResponseBytes == 0 || a.Deadline == 0 || a.Probe.Path == "" || a.Probe.Period == 0 ||
		a.Echo != note.EchoRequired {
		t.Errorf("service %+v", a)
	}
	if b, _ := rel.Service("b"); b.Detection.Bias != 0 || b.Limits.RetryRatio != 0 || b.Floor != 1 {
		t.Errorf("explicit zeros were replaced by defaults: %+v", b)
	}
	if r, _ := rel.Route("r"); r.IdempotencyKey != note.KeyRequired || r.Class != note.ClassNormal {
		t.Errorf("route %+v", r)
	}
	if x, _ := rel.Account("x"); x.Rate != 0.5 || x.Burst != 1 {
		t.Errorf("account %+v", x)
	}
	if n.Added.Services[0].Servers[0].Slots != 0 {
		t.Error("Apply modified the note")
	}
}

// Guards against valid changes that Apply refuses or loses, and against Apply modifying
// its input release.
func TestApply(t *testing.T) {
	rel := shopRelease(t)
	original := note.NewRelease(1, rel.Services(), rel.Routes(), rel.Accounts())
	next := mustApply(t, rel, &note.Note{
		ID: "n", BaseGeneration: 1,
		Added: note.Items{Routes: []note.Route{
			{Name: "exact", Service: "layout", Path: "/plans/today", Methods: []string{"GET"}, Idempotent: true},
			{Name: "post", Service: "layout", Path: "/plans/*", Methods: []string{"POST"}},
		}},
		Changed:   note.Items{Accounts: []note.Account{{Name: "shop", TokenDigest: tokenDigest("new")}}},
		Withdrawn: note.ItemNames{Services: []string{"stock"}, Routes: []string{"facings"}},
	})
	if s, r, a := next.Counts(); next.Generation() != 2 || s != 1 || r != 4 || a != 1 {
		t.Errorf("generation %d with %d services, %d routes, %d accounts", next.Generation(), s, r, a)
	}
	if a, _ := next.Account("shop"); a.TokenDigest != tokenDigest("new") {
		t.Errorf("account %+v", a)
	}
	if !equalReleases(rel, original) {
		t.Error("Apply modified its input release")
	}
}

// Guards against a repeated note that is not recognised as a duplicate because its base
// or field order differs, and against different notes with the same digest.
func TestDigest(t *testing.T) {
	parse := func(text string) note.Digest {
		n, err := note.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		d, err := n.Digest()
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	a := parse(`{"id":"a","base":1,"withdrawn":{"routes":["x"]}}`)
	if b := parse(`{"withdrawn":{"routes":["x"]}, "base":2,"id":"a"}`); a != b {
		t.Error("digest depends on the field order or the base")
	}
	if b := parse(`{"id":"a","base":1,"withdrawn":{"routes":["y"]}}`); a == b {
		t.Error("notes with different content have the same digest")
	}
}

// tokenDigest returns the SHA-256 of an account token in hex.
func tokenDigest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }
