package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against a flood of lines, and against lines that are dropped in silence.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out buffer
		log, stop := New(&out, zerolog.InfoLevel)
		time.Sleep(time.Second - time.Duration(time.Now().Nanosecond())) // To the start of a second.
		for range 3 * linesPerSecond {
			log.Info().Msg("flood")
		}
		time.Sleep(time.Second)
		log.Info().Msg("calm")
		stop()
		text := out.String()
		if n := strings.Count(text, "flood"); n != linesPerSecond {
			t.Errorf("%d lines in a second, want %d", n, linesPerSecond)
		}
		if !strings.Contains(text, `"lines":400`) || !strings.Contains(text, "calm") {
			t.Errorf("the end of the log is %q", text[max(0, len(text)-300):])
		}
	})
}

// Guards against work that waits for an output that takes nothing.
func TestSlowOutputBlocksNobody(*testing.T) {
	release := make(chan struct{})
	log, stop := New(writer(func(p []byte) (int, error) {
		<-release
		return len(p), nil
	}), zerolog.InfoLevel)
	for range linesPerSecond {
		log.Info().Msg("line")
	}
	close(release)
	stop()
}

type writer func(p []byte) (int, error)

func (w writer) Write(p []byte) (int, error) { return w(p) }
