package proxy

import (
	"maps"
	"slices"
	"time"
)

// ServiceDump is the traffic state of one service in the diagnostic dump of a process.
type ServiceDump struct {
	Name    string       `json:"name"`
	Running int          `json:"running"` // Requests that the queue has admitted.
	Waiting int          `json:"waiting"` // Requests in the queue.
	Servers []ServerDump `json:"servers"`
}

// ServerDump is the traffic state of one backend server.
type ServerDump struct {
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Weight    float64 `json:"weight"`
	Used      bool    `json:"used"` // In this VM's subset and not leaving.
	Leaving   bool    `json:"leaving"`
	Inflight  int     `json:"inflight"`       // Exchanges in flight.
	Limit     int     `json:"limit"`          // Concurrency limit for attempts in flight.
	Rate      float64 `json:"rate,omitempty"` // Bound on the attempts of this VM per second.
	Limited   bool    `json:"limited"`        // There is such a bound.
	Waiting   int64   `json:"waiting"`        // Age of the oldest exchange in flight, in milliseconds.
	OpenConns int     `json:"open"`           // Open connections.
	IdleConns int     `json:"idle"`           // Idle connections.
}

// Dump returns the traffic state of all services, sorted by name.
func (h *Handler) Dump() []ServiceDump {
	st := h.state.Load()
	if st == nil {
		return nil
	}
	now := time.Now()
	out := make([]ServiceDump, 0, len(st.services))
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		out = append(out, st.services[name].dump(now))
	}
	return out
}

func (s *service) dump(now time.Time) ServiceDump {
	out := ServiceDump{
		Name: s.note.Name, Running: s.queue.Running(), Waiting: s.queue.Waiting(),
		Servers: make([]ServerDump, 0, len(s.servers)),
	}
	used := s.picker.Targets()
	for _, n := range s.note.Servers {
		v := s.servers[n.Addr]
		stats := v.pool.InflightStats()
		d := ServerDump{
			Addr: n.Addr, Zone: n.Zone, Leaving: n.Leaving, Weight: v.target.Weight(),
			Used: slices.Contains(used, v.target), Inflight: stats.Count, Limit: v.limit.Limit(),
		}
		if rate := v.target.Rate(); rate.Limited() {
			d.Limited, d.Rate = true, rate.PerSecond()
		}
		if !stats.OldestStart.IsZero() {
			d.Waiting = now.Sub(stats.OldestStart).Milliseconds()
		}
		d.OpenConns, d.IdleConns = v.pool.Conns()
		out.Servers = append(out.Servers, d)
	}
	return out
}
