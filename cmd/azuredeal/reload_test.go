package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/conf"
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

// Guards against settings that change while the process starts, before it watches the file,
// and are never noticed.
func TestSettingsChangedDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(seed string) {
		data, err := os.ReadFile("../../examples/vm-1.json")
		if err != nil {
			t.Fatal(err)
		}
		data = regexp.MustCompile(`(?s)"seeds": *\[.*?\]`).ReplaceAll(data, []byte(`"seeds": ["`+seed+`"]`))
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("127.0.0.1:1")
	file, _, err := readSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	write("127.0.0.1:2")
	ctx, stop := context.WithCancel(t.Context())
	var seeds []string
	file.watch(ctx, zerolog.Nop(), func(s conf.Settings) {
		seeds = s.Peer.Seeds
		stop()
	})
	if !slices.Equal(seeds, []string{"127.0.0.1:2"}) {
		t.Errorf("seeds %v, want those of the changed file", seeds)
	}
}
