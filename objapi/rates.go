package objapi

import (
	"slices"
	"sync"
	"time"
)

// rateSpan is how many seconds of rates are kept.
const rateSpan = 600

// Rate is what the platform was asked for in one second. A watch counts as one
// read in each second in which it waits.
type Rate struct {
	UnixSecond int64 `json:"second"` // Unix time.
	Reads      int   `json:"reads"`
	Writes     int   `json:"writes"`
}

// rates counts calls by second. Its zero value is empty.
type rates struct {
	mu      sync.Mutex
	seconds []Rate
	waiting int // Watches.
}

// Rates returns the counts of the last 600 seconds, oldest first.
func (s *Server) Rates() []Rate {
	s.rates.mu.Lock()
	defer s.rates.mu.Unlock()
	s.rates.at(time.Now())
	return slices.Clone(s.rates.seconds)
}

func (c *rates) read(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at(now).Reads++
}

func (c *rates) write(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at(now).Writes++
}

// hold adds n waiting watches. The second in which a watch starts counts it as
// the read that it is, so only the following seconds are charged here.
func (c *rates) hold(now time.Time, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at(now)
	c.waiting += n
}

// at returns the row of the current second, after it has filled the seconds that
// passed without a call. The caller holds the lock.
func (c *rates) at(now time.Time) *Rate {
	second := now.Unix()
	if len(c.seconds) == 0 {
		c.seconds = append(c.seconds, Rate{UnixSecond: second})
	}
	first := max(c.seconds[len(c.seconds)-1].UnixSecond+1, second-rateSpan+1)
	for t := first; t <= second; t++ {
		c.seconds = append(c.seconds, Rate{UnixSecond: t, Reads: c.waiting})
	}
	if over := len(c.seconds) - rateSpan; over > 0 {
		c.seconds = slices.Delete(c.seconds, 0, over)
	}
	return &c.seconds[len(c.seconds)-1]
}
