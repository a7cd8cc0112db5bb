// Package note holds releases and the release notes that change them: the JSON
// formats, their validation, and how a note is applied.
package note

import (
	"encoding/json"
	"sync"
	"time"
)

// Duration is a time span written in JSON as Go writes it, such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(span)
	return nil
}

// Server is one backend server of a service.
type Server struct {
	Addr    string `json:"addr"` // "ip:port".
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"` // Requests that it runs at once.
	Conns   int    `json:"conns"` // Connections that it accepts.
	Leaving bool   `json:"leaving,omitempty"`
	// InstanceID names the process behind Addr. Where it is set, each request carries it, so
	// that a process of another service that took over the address refuses it.
	InstanceID string `json:"id,omitempty"`
}

// Profiles of Detection.
const (
	ProfileFast   = "fast"   // Short detection time.
	ProfileSteady = "steady" // Few false ejections.
	// ProfileSwitch is for servers that fail most requests for some seconds, again and
	// again, with few requests a second each: it judges by single exchanges of all VMs
	// and ejects none.
	ProfileSwitch = "switch"
)

// Detection says how a service weighs detection time against false ejections.
type Detection struct {
	Profile string `json:"profile"`
	// Bias moves the service along the trade within its profile: 0 favours
	// detection time, 1 few false ejections.
	Bias float64 `json:"bias"`
}

// Limits bounds what a service may use.
type Limits struct {
	Queue            int     `json:"queue"`  // Requests that wait on one VM at most.
	Body             int64   `json:"body"`   // Request body, in bytes.
	MaxResponseBytes int64   `json:"answer"` // Response body, in bytes.
	RetryRatio       float64 `json:"retry"`  // Retries and hedges as a share of requests, 0 to 1.
	RetryBurst       int     `json:"burst"`  // Retries and hedges of one VM beyond that share.
	// RetryRefill is the time in which Burst is granted anew; 0 grants it once.
	RetryRefill Duration `json:"refill,omitempty"`
	Hedge       bool     `json:"hedge"`
}

// Probe says how backend servers are probed.
type Probe struct {
	Path   string   `json:"path"`
	Period Duration `json:"period"`
}

// Values of Service.Echo.
const (
	EchoRequired = "required" // An answer without the request id is a mismatch.
	EchoChecked  = "checked"  // The id is checked where the answer carries one.
	// EchoOpen is EchoChecked for servers whose answers may have neither length nor
	// chunked framing; such an answer is whole when its connection is closed in order.
	EchoOpen = "open"
)

// Service is a group of backend servers with its rules.
type Service struct {
	Name      string    `json:"name"`
	Servers   []Server  `json:"servers"`
	Floor     int       `json:"floor"` // Backend servers that ejection must leave.
	Detection Detection `json:"detection"`
	Limits    Limits    `json:"limits"`
	Deadline  Duration  `json:"deadline"`
	Probe     Probe     `json:"probe"`
	Echo      string    `json:"echo"`
}

// Values of Route.Key.
const (
	KeyRequired = "required"
	KeyOptional = "optional"
)

// Values of Class, from first to last served.
const (
	ClassUrgent = "urgent"
	ClassNormal = "normal"
	ClassBulk   = "bulk"
)

// WeightedService is the share of a route's requests that goes to one service.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // Relative to the other parts.
}

// Route maps requests to a service, or to several by weight.
type Route struct {
	Name           string            `json:"name"`
	Service        string            `json:"service,omitempty"` // Empty when Split is set.
	Split          []WeightedService `json:"split,omitempty"`
	Host           string            `json:"host,omitempty"`    // Empty matches any host.
	Path           string            `json:"path"`              // Exact, or a prefix when it ends in "/*".
	Methods        []string          `json:"methods,omitempty"` // Empty takes any method.
	Idempotent     bool              `json:"idempotent"`
	IdempotencyKey string            `json:"key,omitempty"`      // Only for a non-idempotent route.
	Deadline       Duration          `json:"deadline,omitempty"` // 0 takes the service's.
	Class          string            `json:"class"`
	// MaxAttempts is how many backend servers one request may be sent to; 0 takes the
	// most that the request path allows.
	MaxAttempts int `json:"attempts,omitempty"`
}

// Account is one caller account.
type Account struct {
	Name        string  `json:"name"`
	TokenDigest string  `json:"digest"` // SHA-256 of the token, hex.
	Rate        float64 `json:"rate"`   // Requests a second on one VM.
	Burst       int     `json:"burst"`
	MaxClass    string  `json:"class,omitempty"` // Caps the class of its requests.
}

// Release is an immutable configuration with its generation. Its items lie in
// buckets by name hash; releases that follow each other share the buckets that
// no note changed.
type Release struct {
	generation uint64
	services   table[Service]
	routes     table[Route]
	accounts   table[Account]

	once    sync.Once // Guards encoded and err.
	encoded *EncodedRelease
	err     error
}

// NewRelease returns a release that holds copies of the given lists. A later
// item replaces an earlier one of the same name.
func NewRelease(generation uint64, services []Service, routes []Route, accounts []Account) *Release {
	return &Release{
		generation: generation,
		services:   newTable[Service]().with(services, nil),
		routes:     newTable[Route]().with(routes, nil),
		accounts:   newTable[Account]().with(accounts, nil),
	}
}

// Generation returns the number of the release; it grows by one with each
// accepted note.
func (r *Release) Generation() uint64 { return r.generation }

// Service returns the service of that name.
func (r *Release) Service(name string) (Service, bool) { return r.services.find(name) }

// Route returns the route of that name.
func (r *Release) Route(name string) (Route, bool) { return r.routes.find(name) }

// Account returns the account of that name.
func (r *Release) Account(name string) (Account, bool) { return r.accounts.find(name) }

// Services returns all services, sorted by name.
func (r *Release) Services() []Service { return r.services.sorted() }

// Routes returns all routes, sorted by name.
func (r *Release) Routes() []Route { return r.routes.sorted() }

// Accounts returns all accounts, sorted by name.
func (r *Release) Accounts() []Account { return r.accounts.sorted() }

// Counts returns how many services, routes and accounts the release holds.
func (r *Release) Counts() (services, routes, accounts int) {
	return r.services.size(), r.routes.size(), r.accounts.size()
}
