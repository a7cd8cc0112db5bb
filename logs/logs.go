// Package logs creates the logger of a process: JSON lines at a limited rate, written
// without blocking the goroutines that log.
package logs

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// maxLinesPerSecond limits the log lines of a process; at 300 bytes a line this is
	// 60 KB/s.
	maxLinesPerSecond = 200
	// ringLines is the number of lines buffered for a slow output. When the buffer is
	// full, lines are dropped.
	ringLines = 4096
)

// New returns a logger at the given level that writes to out. It drops lines beyond
// maxLinesPerSecond and lines that out is too slow for, and logs their number. stop writes
// the buffered lines and closes the logger.
func New(out io.Writer, level zerolog.Level) (log zerolog.Logger, stop func()) {
	l := &lineLimiter{}
	ring := diode.NewWriter(out, ringLines, 0, func(missed int) { l.addDropped(missed) })
	unsampled := zerolog.New(ring).Level(level).With().Timestamp().Logger()
	l.onDropped = func(dropped int) { unsampled.Warn().Int("lines", dropped).Msg("log lines dropped") }
	return unsampled.Sample(l), func() { _ = ring.Close() }
}

// lineLimiter is a sampler that passes at most maxLinesPerSecond lines in each second.
type lineLimiter struct {
	onDropped func(dropped int)

	mu      sync.Mutex
	second  int64 // Unix time of the second that lines counts.
	lines   int
	dropped int
}

// Sample implements zerolog.Sampler.
func (l *lineLimiter) Sample(zerolog.Level) bool {
	now := time.Now().Unix()
	l.mu.Lock()
	droppedBefore := 0
	if now != l.second {
		droppedBefore = l.dropped
		l.second, l.lines, l.dropped = now, 0, 0
	}
	pass := l.lines < maxLinesPerSecond
	if pass {
		l.lines++
	} else {
		l.dropped++
	}
	l.mu.Unlock()
	if droppedBefore > 0 {
		l.onDropped(droppedBefore)
	}
	return pass
}

// addDropped counts lines that were dropped because the output was too slow.
func (l *lineLimiter) addDropped(lines int) {
	l.mu.Lock()
	l.dropped += lines
	l.mu.Unlock()
}
