package main

import (
	"bytes"
	"os"
	"strings"
	"syscall"
	"testing"
)

// Guards against a hangup that ends the process, and against settings with problems
// that replace sound ones.
func TestSettingsAreReloaded(t *testing.T) {
	s := newSite(t, 1, 1)
	v := s.vms[0]
	file := v.cmd.Args[len(v.cmd.Args)-1]
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	v.signal(syscall.SIGHUP) // Nothing has changed.
	change := func(old, with string) {
		if err := os.WriteFile(file, bytes.Replace(data, []byte(old), []byte(with), 1), 0o600); err != nil {
			t.Fatal(err)
		}
		v.signal(syscall.SIGHUP)
	}
	change(`"seeds":[]`, `"seeds":["host:1"]`)
	v.eventually("a line on the problem", func() bool { return v.wrote("settings have problems") })
	change(`"seeds":[]`, `"seeds":["127.0.0.1:1"]`)
	v.eventually("the reload", func() bool { return v.wrote("settings reloaded") })
}

// wrote reports whether the log has a line with the text.
func (p *process) wrote(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.raw.String(), text)
}
