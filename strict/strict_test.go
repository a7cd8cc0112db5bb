package strict

import (
	"fmt"
	"testing"
	"time"
)

type inner struct {
	Size int `json:"size"`
}

type outer struct {
	Name  string    `json:"name"`
	Items []inner   `json:"items"`
	One   inner     `json:"one"`
	Rate  float64   `json:"rate"`
	At    time.Time `json:"at"`
}

// Guards against a problem that hides those of other fields.
func TestDecodeProblemPaths(t *testing.T) {
	tests := []struct {
		name  string
		in    string
		paths []string
	}{
		{"good", `{"name":"a","items":[{"size":1}],"rate":1.5}`, nil},
		{"syntax", `{"name":`, []string{"name"}},
		{"trailing data", `{} {}`, []string{"$"}},
		{"not an object", `[]`, []string{"$"}},
		{"null", `null`, []string{"$"}},
		{"several", `{"name":1,"items":[{"size":"x"},{"siez":1}],"other":2}`, []string{"name", "items[0].size", "items[1].siez", "other"}},
		{"repeated", `{"name":"a","name":"b"}`, []string{"name"}},
		{"nested null", `{"one":null,"items":null}`, []string{"one", "items"}},
		{"own unmarshaler", `{"at":"noon"}`, []string{"at"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v outer
			ps := Decode("$", []byte(tt.in), 1<<10, &v)
			if len(ps) != len(tt.paths) {
				t.Fatalf("problems = %v, want paths %v", ps, tt.paths)
			}
			for i, p := range ps {
				if p.Path() != tt.paths[i] {
					t.Errorf("problem %d at %q, want %q", i, p.Path(), tt.paths[i])
				}
			}
		})
	}
}

// Guards against an invalid field that stops the fields after it from being decoded.
func TestDecodeContinuesAfterProblem(t *testing.T) {
	var v outer
	Decode("$", []byte(`{"name":1,"one":{"size":4}}`), 1<<10, &v)
	if v.One.Size != 4 {
		t.Errorf("one.size = %d, want 4", v.One.Size)
	}
}

func ExampleDecode() {
	var v struct {
		Floor int `json:"floor"`
	}
	fmt.Println(Decode("note", []byte(`{"floor":"ten"}`), 1<<10, &v)[0])
	// Output: floor: "ten" is not allowed; allowed: a number
}

// Guards against a field that is not part of the format and can be set, or is listed in the
// pages, by the name "-".
func TestFieldOutsideTheFormat(t *testing.T) {
	type withHidden struct {
		Name   string `json:"name"`
		Hidden int    `json:"-"`
	}
	var v withHidden
	ps := Decode("$", []byte(`{"name":"a","-":7}`), 1<<10, &v)
	if len(ps) != 1 || ps[0].Path() != "-" || v.Hidden != 0 {
		t.Errorf("problems %v, hidden field %d", ps, v.Hidden)
	}
	if fields := Fields(v); len(fields) != 1 || fields[0].Path() != "name" {
		t.Errorf("fields %v", fields)
	}
}
