package main

import (
	"bytes"
	"os"
	"strings"
	"syscall"
	"testing"
)

// Guards against a SIGHUP that ends the process, and against invalid settings that replace
// valid ones.
func TestSettingsReload(t *testing.T) {
	c := newCluster(t, 1, 1)
	v := c.vms[0]
	file := v.cmd.Args[len(v.cmd.Args)-1]
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	v.signal(syscall.SIGHUP) // The file is unchanged.
	rewrite := func(old, replacement string) {
		if err := os.WriteFile(file, bytes.Replace(data, []byte(old), []byte(replacement), 1), 0o600); err != nil {
			t.Fatal(err)
		}
		v.signal(syscall.SIGHUP)
	}
	rewrite(`"seeds":[]`, `"seeds":["host:1"]`)
	v.eventually("log line on the invalid settings", func() bool { return v.logged("settings have problems") })
	rewrite(`"seeds":[]`, `"seeds":["127.0.0.1:1"]`)
	v.eventually("log line on the reload", func() bool { return v.logged("settings reloaded") })
}

// logged reports whether the output of the process contains the text.
func (p *process) logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Contains(p.raw.String(), text)
}
