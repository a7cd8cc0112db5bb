package health

import (
	"time"

	"github.com/azuredeal/azuredeal/note"
)

// Policy says how much evidence a decision needs. Evidence is a log-likelihood
// ratio in nats: how much likelier the exchanges are from an unhealthy server
// than from a typical server of the service.
type Policy struct {
	window  time.Duration // Exchanges that count, and that reports cover.
	reduce  float64       // Evidence for a reduced share, in nats.
	confirm time.Duration // Least time with a reduced share.
	trial   time.Duration // Least time on trial before an ejection.
	margin  float64       // Slow means above the 98th percentile times margin.
	passes  int           // Good exchanges that end a trial.
	base    time.Duration // First ejection.
	// switching replaces the states by a probability; only margin is used then.
	switching bool
}

// NewPolicy returns the policy for d. An unknown profile is read as steady and
// a bias outside 0 to 1 is clamped, so that a faulty note errs towards fewer
// ejections.
func NewPolicy(d note.Detection) Policy {
	bias := min(max(d.Bias, 0), 1)
	if d.Profile == note.ProfileSwitch {
		return Policy{window: time.Second, margin: 1.5 + bias/2, switching: true}
	}
	if d.Profile == note.ProfileFast {
		return Policy{
			window:  scale(time.Second, 1+bias/2),
			reduce:  13 + 4*bias,
			confirm: scale(time.Second, 1+bias),
			trial:   scale(12*time.Second, 1+bias),
			margin:  1.5 + bias/2,
			passes:  3,
			base:    5 * time.Second,
		}
	}
	return Policy{
		window:  scale(1500*time.Millisecond, 1+bias/3),
		reduce:  13 + 4*bias,
		confirm: scale(2*time.Second, 1+bias),
		trial:   scale(16*time.Second, 1+bias),
		margin:  2 + bias/2,
		passes:  4,
		base:    8 * time.Second,
	}
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
