package conf

import (
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/strict"
)

// Guards against fields that are not decoded, and against absent fields that lose
// their default.
func TestLoadValid(t *testing.T) {
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

// Guards against decoding that stops at the first problem: an operator needs the
// whole list at once.
func TestLoadInvalidListsEveryProblem(t *testing.T) {
	_, err := Load("testdata/bad.json")
	ps, ok := err.(strict.Problems)
	if !ok {
		t.Fatalf("error %v is not a strict.Problems", err)
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

func TestParseRejectsTrailingData(t *testing.T) {
	if _, err := Parse([]byte(`{} {}`)); err == nil {
		t.Error("trailing data was accepted")
	}
}

// Guards against input that panics, or that fails without a problem to report.
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
			t.Error("strict.Problems error with an empty list")
		}
	})
}

// Guards against a settings page whose list of fields differs from the code.
func TestSettingsPageListsEveryField(t *testing.T) {
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
