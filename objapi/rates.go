package objapi

import (
	"slices"
	"sync"
	"time"
)

// rateSeconds is the number of seconds for which rates are kept.
const rateSeconds = 600

// Rate is the number of calls in one second. A watch counts as one read in each second
// in which it waits.
type Rate struct {
	UnixSecond int64 `json:"second"` // Unix time.
	Reads      int   `json:"reads"`
	Writes     int   `json:"writes"`
}

// rates counts calls per second. The zero value is ready to use.
type rates struct {
	mu             sync.Mutex
	seconds        []Rate
	waitingWatches int
}

// Rates returns the counts of the last 600 seconds, oldest first.
func (s *Server) Rates() []Rate {
	s.rates.mu.Lock()
	defer s.rates.mu.Unlock()
	s.rates.secondAt(time.Now())
	return slices.Clone(s.rates.seconds)
}

func (c *rates) read(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.secondAt(now).Reads++
}

func (c *rates) write(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.secondAt(now).Writes++
}

// addWatches adds n to the number of waiting watches. A watch is counted as a read when
// its call arrives, so it is added here only to the following seconds.
func (c *rates) addWatches(now time.Time, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.secondAt(now)
	c.waitingWatches += n
}

// secondAt returns the counts of the current second, after adding the seconds that
// passed since the last call and deleting those older than rateSeconds. The lock must
// be held.
func (c *rates) secondAt(now time.Time) *Rate {
	second := now.Unix()
	if len(c.seconds) == 0 {
		c.seconds = append(c.seconds, Rate{UnixSecond: second})
	}
	first := max(c.seconds[len(c.seconds)-1].UnixSecond+1, second-rateSeconds+1)
	for t := first; t <= second; t++ {
		c.seconds = append(c.seconds, Rate{UnixSecond: t, Reads: c.waitingWatches})
	}
	if excess := len(c.seconds) - rateSeconds; excess > 0 {
		c.seconds = slices.Delete(c.seconds, 0, excess)
	}
	return &c.seconds[len(c.seconds)-1]
}
