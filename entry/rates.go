package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/proxy"
)

// rateLogInterval is the interval of log lines about the attempts at a backend server that
// states a rate limit.
const rateLogInterval = 2 * time.Second

// rates is the controller of the request rates that backend servers state. Only the goroutine
// of the control loop uses it.
type rates struct {
	log      zerolog.Logger
	changes  *metrics.Counter
	stated   map[serverAddr]float64 // Requests per second; servers without a limit are missing.
	attempts func() []proxy.LimitedAttempts
	loggedAt time.Time
}

// serverAddr identifies a backend server of a release.
type serverAddr struct{ service, addr string }

func newRates(log zerolog.Logger, counters *metrics.Set) *rates {
	r := &rates{
		log: log, stated: map[serverAddr]float64{},
		changes: counters.GetOrCreateCounter(`azuredeal_stated_rate_changes_total`),
	}
	return r
}

func (r *rates) controller() board.Controller {
	return board.Controller{Name: "rates", Rate: r.observe, Step: r.step}
}

func (r *rates) observe(_ time.Time, s board.StatedRate) {
	key := serverAddr{s.Service, s.Server}
	before, known := r.stated[key]
	if !known {
		before = board.Unlimited
	}
	if s.PerSecond == before {
		return
	}
	if s.PerSecond == board.Unlimited {
		delete(r.stated, key)
	} else {
		r.stated[key] = s.PerSecond
	}
	r.changes.Inc()
	r.log.Info().Str("service", s.Service).Str("server", s.Server).Float64("before", before).Float64("rate", s.PerSecond).
		Msg("backend server states another request rate")
}

func (r *rates) step(now time.Time) {
	if now.Sub(r.loggedAt) < rateLogInterval {
		return
	}
	span := now.Sub(r.loggedAt)
	r.loggedAt = now
	for _, n := range r.attempts() {
		r.log.Info().Str("service", n.Service).Str("server", n.Server).Float64("rate", r.stated[serverAddr{n.Service, n.Server}]).
			Dur("span", span).Uint64("first", n.First).Uint64("retries", n.Retries).Uint64("hedges", n.Hedges).
			Msg("attempts at a backend server with a rate limit")
	}
}
