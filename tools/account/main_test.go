package main

import (
	"os"
	"strings"
	"testing"
)

// Guards against requests that are counted under a wrong cause, twice or not at all.
func TestAccount(t *testing.T) {
	logs, err := os.Open("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	defer logs.Close()
	a, err := readAccount(logs)
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	if err := a.print(&got); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/day.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("differs from testdata/day.golden:\n%s", got.String())
	}
}
