package replay

import (
	"math"
	"slices"
	"time"
)

// ending says how a request ended for its caller.
type ending uint8

const (
	endGood    ending = iota // A right answer in time.
	endLate                  // No answer before the deadline.
	endFailed                // A wrong or failed answer.
	endRefused               // Refused, not run.
	endLost                  // Lost with its VM.
	endCount
)

const (
	histBase  = 10e3 // Lowest bound of the histogram, in nanoseconds.
	histRatio = 1.02 // Bound to bound, so a percentile is exact to 2%.
	histSize  = 800
)

// Result sums up the runs of one trace under one policy.
type Result struct {
	trace      *Trace
	policy     string
	held       bool
	endings    [endCount]int
	attempts   int
	hist       [histSize]int
	detected   []float64 // Seconds, one per fault.
	spread     []float64
	undetected int
	ejections  int // False ones.
	reductions int // False ones.
	hours      float64
	floor      int
	reports    int
}

func newResult(t *Trace, policy string) *Result { return &Result{trace: t, policy: policy} }

// Trace returns the trace.
func (r *Result) Trace() *Trace { return r.trace }

// Policy returns the name of the policy.
func (r *Result) Policy() string { return r.policy }

// Held reports whether the runs used the seeds kept out of tuning.
func (r *Result) Held() bool { return r.held }

func (r *Result) request(how ending, took int64, attempts int) {
	r.endings[how]++
	r.attempts += attempts
	i := int(math.Log(max(float64(took), histBase)/histBase) / math.Log(histRatio))
	r.hist[min(i, histSize-1)]++
}

func (r *Result) fault(w *window, to int64) {
	seconds := func(t int64) float64 {
		if t == never {
			t = to
		}
		return float64(t-w.first) / float64(time.Second)
	}
	if w.detected == never {
		r.undetected++
	}
	r.detected = append(r.detected, seconds(w.detected))
	r.spread = append(r.spread, seconds(w.spread))
}

func (r *Result) add(o *Result) {
	for i, n := range o.endings {
		r.endings[i] += n
	}
	for i, n := range o.hist {
		r.hist[i] += n
	}
	r.attempts += o.attempts
	r.detected = append(r.detected, o.detected...)
	r.spread = append(r.spread, o.spread...)
	r.undetected += o.undetected
	r.ejections += o.ejections
	r.reductions += o.reductions
	r.hours += o.hours
	r.floor += o.floor
	r.reports = max(r.reports, o.reports)
}

// Requests returns how many requests callers sent after the warm-up.
func (r *Result) Requests() int {
	sum := 0
	for _, n := range r.endings {
		sum += n
	}
	return sum
}

// Missed returns the requests without a right answer by their deadline, refused
// ones included.
func (r *Result) Missed() int { return r.Requests() - r.endings[endGood] }

// Refused returns the requests that were refused as not run.
func (r *Result) Refused() int { return r.endings[endRefused] }

// ExtraAttemptRatio returns the attempts beyond one per request, as a share of requests.
func (r *Result) ExtraAttemptRatio() float64 {
	return float64(r.attempts)/float64(max(1, r.Requests())) - 1
}

// FalseEjections returns the false ejections, each VM's counted.
func (r *Result) FalseEjections() int { return r.ejections }

// FalseEjectionRate returns the false ejections per 1,000 server hours.
func (r *Result) FalseEjectionRate() float64 { return 1000 * float64(r.ejections) / r.hours }

// FalseReductions returns how often a VM reduced the share of a server without
// fault.
func (r *Result) FalseReductions() int { return r.reductions }

// ServerHours returns the server hours of the runs.
func (r *Result) ServerHours() float64 { return r.hours }

// FloorViolations returns how often a VM had fewer usable servers than the floor.
func (r *Result) FloorViolations() int { return r.floor }

// Faults returns the number of faults of single servers that met requests.
func (r *Result) Faults() int { return len(r.detected) }

// Undetected returns the faults that no decision followed.
func (r *Result) Undetected() int { return r.undetected }

// DetectionTime returns the quantile of the detection times; an undetected fault
// counts with its whole span. It is 0 without faults.
func (r *Result) DetectionTime(q float64) time.Duration { return quantile(r.detected, q) }

// HalfFleetDetectionTime returns the quantile of the times until half of the VMs had reduced
// the share.
func (r *Result) HalfFleetDetectionTime(q float64) time.Duration { return quantile(r.spread, q) }

func quantile(values []float64, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return time.Duration(sorted[max(i, 0)] * float64(time.Second))
}

// Latency returns the quantile of the times that callers waited; a missed
// request counts with the time until its end.
func (r *Result) Latency(q float64) time.Duration {
	rank := int(math.Ceil(q * float64(r.Requests())))
	for i, n := range r.hist {
		if rank -= n; rank <= 0 {
			return time.Duration(histBase * math.Pow(histRatio, float64(i)+0.5))
		}
	}
	return 0
}
