// Package logs creates the logger of a process: JSON lines at a limited rate, written
// without blocking the goroutines that log.
package logs

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxLinesPerSecond limits the log lines of a process; at 300 bytes a line this is
	// 60 KB/s.
	maxLinesPerSecond = 200
	// bufferLines is the number of lines buffered for a slow output. When the buffer is
	// full, lines are dropped.
	bufferLines = 4096
)

// New returns a logger at the given level that writes to out. It drops lines beyond
// maxLinesPerSecond and lines that out is too slow for, and logs their number. stop writes
// the buffered lines and closes the logger.
func New(out io.Writer, level zerolog.Level) (log zerolog.Logger, stop func()) {
	l := &lineLimiter{}
	b := &buffer{lines: make(chan []byte, bufferLines), stop: make(chan struct{}), done: make(chan struct{}), out: out, onDropped: l.addDropped}
	go b.run()
	unsampled := zerolog.New(b).Level(level).With().Timestamp().Logger()
	l.onDropped = func(dropped int) { unsampled.Warn().Int("lines", dropped).Msg("log lines dropped") }
	return unsampled.Sample(l), b.close
}

// buffer writes lines on a goroutine of its own, so that a slow output blocks no one else.
// The ring buffer of zerolog was replaced because a line can stay in it until the next one.
type buffer struct {
	lines     chan []byte
	stop      chan struct{} // Closed by close.
	done      chan struct{} // Closed when run has ended.
	once      sync.Once
	out       io.Writer
	onDropped func(lines int)
}

// Write implements io.Writer. It keeps a copy of line, or drops it when the buffer is full.
func (b *buffer) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.onDropped(1)
	}
	return len(line), nil
}

// run writes lines until close is called, and then those that are left. There is nowhere to
// report an error of the output to.
func (b *buffer) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			_, _ = b.out.Write(line)
			continue
		case <-b.stop:
		}
		for len(b.lines) > 0 {
			_, _ = b.out.Write(<-b.lines)
		}
		return
	}
}

// close writes the buffered lines. Later lines are not written.
func (b *buffer) close() {
	b.once.Do(func() { close(b.stop) })
	<-b.done
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
