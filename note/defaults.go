package note

import (
	"encoding/json"
	"time"
)

// Defaults of fields that a note leaves out. The zero value of a bias and of a
// retry share is meaningful, so these two are set before the JSON is read.
const (
	defaultSlots    = 3   // Every backend server of the first users.
	defaultConns    = 400 // The same.
	defaultBias     = 0.5
	defaultRetry    = 0.1 // Retries at most 10% of requests.
	defaultBurst    = 10
	defaultQueue    = 64
	defaultBody     = 1 << 20  // Bytes.
	defaultAnswer   = 64 << 20 // Bytes; archive pulls are long.
	defaultDeadline = Duration(5 * time.Second)
	defaultProbe    = "/healthz"
	defaultPeriod   = Duration(5 * time.Second)
	defaultRate     = 100 // Requests a second.
)

// Preset sets the defaults of fields whose zero value is meaningful. Decoders
// call it before they read a service.
func (s *Service) Preset() {
	s.Detection.Bias = defaultBias
	s.Limits.RetryRatio = defaultRetry
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Service) UnmarshalJSON(data []byte) error {
	type plain Service
	s.Preset()
	p := plain(*s)
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	*s = Service(p)
	return nil
}

// or returns value, or other when value is the zero value.
func or[T comparable](value, other T) T {
	var zero T
	if value == zero {
		return other
	}
	return value
}

// filled returns the service with its defaults. A floor that is left out is half
// of the servers that are not leaving, rounded up.
func (s Service) filled() Service {
	servers := make([]Server, len(s.Servers))
	for i, v := range s.Servers {
		v.Slots = or(v.Slots, defaultSlots)
		v.Conns = or(v.Conns, defaultConns)
		servers[i] = v
	}
	s.Servers = servers
	s.Floor = or(s.Floor, (s.staying()+1)/2)
	s.Detection.Profile = or(s.Detection.Profile, ProfileSteady)
	s.Limits.Queue = or(s.Limits.Queue, defaultQueue)
	s.Limits.RetryBurst = or(s.Limits.RetryBurst, defaultBurst)
	s.Limits.Body = or(s.Limits.Body, defaultBody)
	s.Limits.MaxResponseBytes = or(s.Limits.MaxResponseBytes, defaultAnswer)
	s.Deadline = or(s.Deadline, defaultDeadline)
	s.Probe.Path = or(s.Probe.Path, defaultProbe)
	s.Probe.Period = or(s.Probe.Period, defaultPeriod)
	s.Echo = or(s.Echo, EchoRequired)
	return s
}

// staying counts the servers that are not leaving.
func (s Service) staying() int {
	n := 0
	for _, v := range s.Servers {
		if !v.Leaving {
			n++
		}
	}
	return n
}

func (t Route) filled() Route {
	if !t.Idempotent {
		t.IdempotencyKey = or(t.IdempotencyKey, KeyRequired)
	}
	t.Class = or(t.Class, ClassNormal)
	return t
}

// filled returns the account with its defaults; its burst is one second's rate.
func (a Account) filled() Account {
	a.Rate = or(a.Rate, defaultRate)
	a.Burst = or(a.Burst, max(1, int(min(a.Rate, maxBurst))))
	return a
}
