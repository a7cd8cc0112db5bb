package note_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/strict"
)

// Guards against docs/NOTES.md listing other fields than the code has, or in another
// order.
func TestNotesPage(t *testing.T) {
	doc, err := os.ReadFile("../docs/NOTES.md")
	if err != nil {
		t.Fatal(err)
	}
	for title, v := range map[string]any{"service": note.Service{}, "route": note.Route{}, "account": note.Account{}} {
		var want, got []string
		for _, f := range strict.Fields(v) {
			want = append(want, f.Path())
		}
		_, section, _ := strings.Cut(string(doc), "## Fields of a")
		_, section, _ = strings.Cut(section, title+"\n")
		section, _, _ = strings.Cut(section, "\n## ")
		for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(section, -1) {
			got = append(got, row[1])
		}
		if !slices.Equal(got, want) {
			t.Errorf("docs/NOTES.md lists for a %s\n%v\nthe code has\n%v", title, got, want)
		}
	}
}

// Guards against accepting a route below ReservedPathPrefix, which would never receive
// a request because the entry VMs serve these paths themselves.
func TestReservedPathPrefix(t *testing.T) {
	n := &note.Note{ID: "n", Added: note.Items{Routes: []note.Route{
		{Name: "r", Service: "layout", Path: "/azuredeal/v1/keys", Methods: []string{"POST"}},
	}}}
	_, problems := note.Apply(shopRelease(t), n)
	if len(problems) != 1 || problems[0].Path() != "added.routes[0].path" {
		t.Errorf("problems: %v", problems)
	}
}
