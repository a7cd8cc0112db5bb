package demo

import (
	_ "embed" // For the embedded trace.
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/worker"
)

//go:embed trace.json
var embeddedTrace []byte

// Trace is a recorded load with the faults that occur during it and the expectations for
// its outcomes.
type Trace struct {
	Name         string        `json:"name"`
	Seed         uint64        `json:"seed"`
	Span         note.Duration `json:"span"`
	Zones        []string      `json:"zones"` // One entry VM in each.
	Services     []Service     `json:"services"`
	Flows        []Flow        `json:"flows"`
	Events       []Event       `json:"events"`
	Expectations Expectations  `json:"expect"`
}

// Service is a service and the properties of its workers.
type Service struct {
	Name     string        `json:"name"`
	Workers  int           `json:"workers"`
	Floor    int           `json:"floor"`
	Deadline note.Duration `json:"deadline"`
	Median   note.Duration `json:"median"` // Median service time of a worker.
	Profile  string        `json:"profile"`
}

// Flow is a stream of similar requests.
type Flow struct {
	Service string  `json:"service"`
	Method  string  `json:"method"`
	Path    string  `json:"path"` // Prefix; the number of the request follows.
	Rate    float64 `json:"rate"` // Requests per second.
	// RepeatShare is the share of requests that the caller sends a second time with the
	// same key, at another VM.
	RepeatShare float64 `json:"repeat"`
}

// Event changes the behavior of a worker at a time of the trace.
type Event struct {
	At      note.Duration `json:"at"`
	Service string        `json:"service"`
	Worker  int           `json:"worker"`
	Mode    worker.Mode   `json:"mode"`
}

// Expectations are bounds on outcomes, beside those that hold for every trace.
type Expectations struct {
	MaxMissedShare   float64       `json:"missed"` // Share of requests without a complete response within the deadline.
	MaxDetectionTime note.Duration `json:"detect"` // From the start of the fault until a VM reduces the weight of the worker.
}

// arrival is one request of the schedule.
type arrival struct {
	at     time.Duration
	flow   Flow
	number int
	zone   int
	repeat bool
}

func loadTrace(data []byte) (*Trace, error) {
	t := &Trace{}
	if err := json.Unmarshal(data, t); err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	return t, nil
}

// schedule returns the arrivals of the trace ordered by time. The same trace
// always gives the same schedule.
func (t *Trace) schedule() []arrival {
	rng := rand.New(rand.NewPCG(t.Seed, 0))
	var out []arrival
	for _, f := range t.Flows {
		mean := float64(time.Second) / f.Rate
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() * mean)
			if at >= t.Span.Std() {
				break
			}
			out = append(out, arrival{at: at, flow: f, zone: rng.IntN(len(t.Zones)), repeat: rng.Float64() < f.RepeatShare})
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range out {
		out[i].number = i
	}
	return out
}
