package note

import (
	"encoding/json"
	"time"
)

// Defaults of fields that a note omits. Zero is a valid bias and a valid retry ratio, so
// Preset sets these two before the JSON is decoded.
const (
	defaultSlots         = 3   // Concurrent requests of every backend server of the first users.
	defaultConns         = 400 // Connections that every backend server of the first users accepts.
	defaultBias          = 0.5
	defaultRetryRatio    = 0.1 // At most 10% of requests are retried.
	defaultRetryBurst    = 10
	defaultQueue         = 64
	defaultBodyBytes     = 1 << 20
	defaultResponseBytes = 64 << 20 // Archive downloads are long.
	defaultDeadline      = Duration(5 * time.Second)
	defaultProbePath     = "/healthz"
	defaultProbePeriod   = Duration(5 * time.Second)
	defaultRate          = 100 // Requests per second.
)

// Preset sets the defaults of the fields for which zero is a valid value. Decoders call
// it before they decode a service.
func (s *Service) Preset() {
	s.Detection.Bias = defaultBias
	s.Limits.RetryRatio = defaultRetryRatio
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

// withDefaults returns the service with omitted fields set to their defaults. The
// default floor is half of the servers that are not leaving, rounded up.
func (s Service) withDefaults() Service {
	servers := make([]Server, len(s.Servers))
	for i, v := range s.Servers {
		v.Slots = or(v.Slots, defaultSlots)
		v.Conns = or(v.Conns, defaultConns)
		servers[i] = v
	}
	s.Servers = servers
	s.Floor = or(s.Floor, (s.activeServers()+1)/2)
	s.Detection.Profile = or(s.Detection.Profile, ProfileSteady)
	s.Limits.Queue = or(s.Limits.Queue, defaultQueue)
	s.Limits.RetryBurst = or(s.Limits.RetryBurst, defaultRetryBurst)
	s.Limits.Body = or(s.Limits.Body, defaultBodyBytes)
	s.Limits.MaxResponseBytes = or(s.Limits.MaxResponseBytes, defaultResponseBytes)
	s.Deadline = or(s.Deadline, defaultDeadline)
	s.Probe.Path = or(s.Probe.Path, defaultProbePath)
	s.Probe.Period = or(s.Probe.Period, defaultProbePeriod)
	s.Echo = or(s.Echo, EchoRequired)
	return s
}

// activeServers counts the servers that are not leaving.
func (s Service) activeServers() int {
	n := 0
	for _, v := range s.Servers {
		if !v.Leaving {
			n++
		}
	}
	return n
}

// withDefaults returns the route with omitted fields set to their defaults.
func (t Route) withDefaults() Route {
	if !t.Idempotent {
		t.IdempotencyKey = or(t.IdempotencyKey, KeyRequired)
	}
	t.Class = or(t.Class, ClassNormal)
	return t
}

// withDefaults returns the account with omitted fields set to their defaults. The default
// burst is the number of requests that the rate allows in one second, at least 1.
func (a Account) withDefaults() Account {
	a.Rate = or(a.Rate, defaultRate)
	a.Burst = or(a.Burst, max(1, int(min(a.Rate, maxBurst))))
	return a
}
