package health

import (
	"time"

	"github.com/azuredeal/azuredeal/note"
)

// Policy holds the thresholds of the decisions. Evidence is a log-likelihood ratio
// in nats: the log of how much likelier the exchanges are for an unhealthy server
// than for a typical server of the service.
type Policy struct {
	window         time.Duration // Sliding window of exchanges for decisions and reports.
	reduceEvidence float64       // Evidence for a reduced share, in nats.
	confirmTime    time.Duration // Minimum time in Reduced.
	trialTime      time.Duration // Minimum time in Trial before a first ejection.
	slowMargin     float64       // An exchange is slow above this multiple of the 98th percentile.
	trialPasses    int           // Good exchanges that end Reduced or Trial, or failures that end Reduced.
	firstEjection  time.Duration // Duration of the first ejection.
	// switching selects the hidden Markov model, which uses only slowMargin of the
	// other fields, and window for reports of peers.
	switching bool
}

// NewPolicy returns the policy for d. An unknown profile counts as steady and a bias
// outside 0 to 1 is clamped, so that a faulty note does not cause more ejections.
func NewPolicy(d note.Detection) Policy {
	bias := min(max(d.Bias, 0), 1)
	if d.Profile == note.ProfileSwitch {
		return Policy{window: time.Second, slowMargin: 1.5 + bias/2, switching: true}
	}
	if d.Profile == note.ProfileFast {
		return Policy{
			window:         scaleDuration(time.Second, 1+bias/2),
			reduceEvidence: 13 + 4*bias,
			confirmTime:    scaleDuration(time.Second, 1+bias),
			trialTime:      scaleDuration(12*time.Second, 1+bias),
			slowMargin:     1.5 + bias/2,
			trialPasses:    3,
			firstEjection:  5 * time.Second,
		}
	}
	return Policy{
		window:         scaleDuration(1500*time.Millisecond, 1+bias/3),
		reduceEvidence: 13 + 4*bias,
		confirmTime:    scaleDuration(2*time.Second, 1+bias),
		trialTime:      scaleDuration(16*time.Second, 1+bias),
		slowMargin:     2 + bias/2,
		trialPasses:    4,
		firstEjection:  8 * time.Second,
	}
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
