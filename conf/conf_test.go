package conf

import (
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/strict"
)

func TestLoadGood(t *testing.T) {
	s, err := Load("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Drain.TTL.Std(); got != 2*time.Second {
		t.Errorf("drain.ttl = %v, want 2s", got)
	}
	if got := s.Limits.HeaderBytes; got != Default().Limits.HeaderBytes {
		t.Errorf("limits.header = %d, want the default", got)
	}
}

// An operator must see every problem of a file at once, not the first one only.
func TestLoadBadListsEveryProblem(t *testing.T) {
	_, err := Load("testdata/bad.json")
	ps, ok := err.(strict.Problems)
	if !ok {
		t.Fatalf("error %v is no list of problems", err)
	}
	got := ""
	for _, p := range ps {
		got += p.String() + "\n"
	}
	want, readErr := os.ReadFile("testdata/bad.golden")
	if readErr != nil {
		t.Fatal(readErr)
	}
	if got != string(want) {
		t.Errorf("problems differ from testdata/bad.golden:\n%s", got)
	}
}

func TestParseRefusesTrailingData(t *testing.T) {
	if _, err := Parse([]byte(`{} {}`)); err == nil {
		t.Error("trailing data was accepted")
	}
}

// Settings come from files that people edit; no input may crash the process.
func FuzzParse(f *testing.F) {
	good, err := os.ReadFile("testdata/good.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(`{"peer":{"seeds":[null,{}]},"limits":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse(data)
		if ps, ok := err.(strict.Problems); ok && len(ps) == 0 {
			t.Error("an error without problems")
		}
	})
}

// The page and the code must name the same fields.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	var want, got []string
	for _, f := range strict.Fields(Settings{}) {
		want = append(want, f.Path())
	}
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(string(page), -1) {
		got = append(got, row[1])
	}
	if !slices.Equal(got, want) {
		t.Errorf("docs/SETTINGS.md lists\n%v\nthe code has\n%v", got, want)
	}
}
