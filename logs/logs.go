// Package logs makes the logger of a process: JSON lines whose volume is bounded,
// written without blocking the work that they tell of.
package logs

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// linesPerSecond bounds the lines of a process. At 300 bytes a line it is 60 KB/s.
	linesPerSecond = 200
	// ringLines is how many lines wait for an output that is slow; more are dropped.
	ringLines = 4096
)

// New returns a logger at the given level. Lines beyond linesPerSecond, and those that
// an output is too slow for, are dropped; a line tells how many. stop writes what
// waits.
func New(out io.Writer, level zerolog.Level) (log zerolog.Logger, stop func()) {
	b := &bound{}
	ring := diode.NewWriter(out, ringLines, 0, func(missed int) { b.miss(missed) })
	plain := zerolog.New(ring).Level(level).With().Timestamp().Logger()
	b.tell = func(dropped int) { plain.Warn().Int("lines", dropped).Msg("log lines dropped") }
	return plain.Sample(b), func() { _ = ring.Close() }
}

// bound is a sampler that passes so many lines in each second.
type bound struct {
	tell func(dropped int)

	mu      sync.Mutex
	second  int64
	lines   int
	dropped int
}

// Sample implements zerolog.Sampler.
func (b *bound) Sample(zerolog.Level) bool {
	now := time.Now().Unix()
	b.mu.Lock()
	told := 0
	if now != b.second {
		told = b.dropped
		b.second, b.lines, b.dropped = now, 0, 0
	}
	pass := b.lines < linesPerSecond
	if pass {
		b.lines++
	} else {
		b.dropped++
	}
	b.mu.Unlock()
	if told > 0 {
		b.tell(told)
	}
	return pass
}

// miss counts lines that the output was too slow for.
func (b *bound) miss(lines int) {
	b.mu.Lock()
	b.dropped += lines
	b.mu.Unlock()
}
