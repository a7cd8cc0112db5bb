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

type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *output) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *output) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against more than maxLinesPerSecond lines in one second, and against dropped lines
// whose number isn't logged.
func TestLineRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out output
		log, stop := New(&out, zerolog.InfoLevel)
		time.Sleep(time.Second - time.Duration(time.Now().Nanosecond())) // To the start of a second.
		for range 3 * maxLinesPerSecond {
			log.Info().Msg("flood")
		}
		time.Sleep(time.Second)
		log.Info().Msg("calm")
		stop()
		text := out.String()
		if n := strings.Count(text, "flood"); n != maxLinesPerSecond {
			t.Errorf("%d lines in one second, want %d", n, maxLinesPerSecond)
		}
		if !strings.Contains(text, `"lines":400`) || !strings.Contains(text, "calm") {
			t.Errorf("log ends with %q, want the number of dropped lines and the line after them", text[max(0, len(text)-300):])
		}
	})
}

// Guards against a line that stays in the buffer until the next one is logged: a process
// that has nothing else to say would seem to hang.
func TestEachLineIsWritten(t *testing.T) {
	for i := range 30_000 {
		written := make(chan struct{}, 1)
		log, stop := New(writerFunc(func(p []byte) (int, error) {
			written <- struct{}{}
			return len(p), nil
		}), zerolog.InfoLevel)
		log.Info().Msg("line")
		select {
		case <-written:
		case <-time.After(10 * time.Second):
			t.Fatalf("line %d was not written", i)
		}
		stop()
	}
}

// Guards against log calls that block while the output accepts no data.
func TestSlowOutputDoesNotBlock(*testing.T) {
	release := make(chan struct{})
	log, stop := New(writerFunc(func(p []byte) (int, error) {
		<-release
		return len(p), nil
	}), zerolog.InfoLevel)
	for range maxLinesPerSecond {
		log.Info().Msg("line")
	}
	close(release)
	stop()
}

type writerFunc func(p []byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }
