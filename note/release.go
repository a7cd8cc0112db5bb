// Package note defines releases and the release notes that change them: their JSON
// formats, validation, encoding in chunks, and how a note is applied to a release.
package note

import (
	"encoding/json"
	"sync"
	"time"
)

// Duration is a duration that is encoded in JSON as a Go duration string, such as
// "1.5s".
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
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Server is one backend server of a service.
type Server struct {
	Addr    string `json:"addr"` // "ip:port".
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"` // Maximum number of concurrent requests.
	Conns   int    `json:"conns"` // Maximum number of connections.
	Leaving bool   `json:"leaving,omitempty"`
	// InstanceID identifies the process that listens on Addr. If set, it is sent with each
	// request, so that a process of another service that reuses the address refuses it.
	InstanceID string `json:"id,omitempty"`
	// Start tells processes with the same InstanceID apart, as a restart may keep it; 0 when
	// it is not known. It is not part of a note.
	Start uint64 `json:"-"`
}

// Values of Detection.Profile.
const (
	ProfileFast   = "fast"   // Short detection time.
	ProfileSteady = "steady" // Few false ejections.
	// ProfileSwitch is for servers that repeatedly fail most requests for some seconds and
	// get few requests per second each: it evaluates single requests of all VMs and never
	// ejects a server.
	ProfileSwitch = "switch"
)

// Detection configures the trade-off between detection time and false ejections for a
// service.
type Detection struct {
	Profile string `json:"profile"`
	// Bias adjusts the trade-off within the profile, from 0 for the shortest detection
	// time to 1 for the fewest false ejections.
	Bias float64 `json:"bias"`
}

// Limits bounds the queue, the message sizes and the retries of a service.
type Limits struct {
	Queue            int     `json:"queue"`  // Maximum number of requests waiting on one VM.
	Body             int64   `json:"body"`   // Maximum size of a request body in bytes.
	MaxResponseBytes int64   `json:"answer"` // Maximum size of a response body in bytes.
	RetryRatio       float64 `json:"retry"`  // Retry budget: retries and hedged requests per request, 0 to 1.
	RetryBurst       int     `json:"burst"`  // Retries and hedged requests of one VM in excess of RetryRatio.
	// RetryRefill is the time in which RetryBurst is refilled; with 0 it is granted once.
	RetryRefill Duration `json:"refill,omitempty"`
	Hedge       bool     `json:"hedge"`
}

// Probe configures the active health checks of backend servers.
type Probe struct {
	Path   string   `json:"path"`
	Period Duration `json:"period"`
}

// Values of Service.Echo.
const (
	EchoRequired = "required" // A response without the request ID is a mismatch.
	EchoChecked  = "checked"  // The request ID is checked if the response has one.
	// EchoOpen is EchoChecked for servers whose responses may have neither Content-Length
	// nor chunked encoding; such a response is complete when the server closes the
	// connection without an error.
	EchoOpen = "open"
)

// Service is a set of backend servers with their configuration.
type Service struct {
	Name      string    `json:"name"`
	Servers   []Server  `json:"servers"`
	Floor     int       `json:"floor"` // Minimum number of backend servers that ejection leaves in use.
	Detection Detection `json:"detection"`
	Limits    Limits    `json:"limits"`
	Deadline  Duration  `json:"deadline"`
	Probe     Probe     `json:"probe"`
	Echo      string    `json:"echo"`
}

// Values of Route.IdempotencyKey.
const (
	KeyRequired = "required"
	KeyOptional = "optional"
)

// Values of Route.Class and Account.MaxClass, from the highest priority to the lowest.
const (
	ClassUrgent = "urgent"
	ClassNormal = "normal"
	ClassBulk   = "bulk"
)

// WeightedService is one target service of a route that splits its requests by weight.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // Relative to the other weights of the split.
}

// Route maps requests to a service, or to several by weight.
type Route struct {
	Name           string            `json:"name"`
	Service        string            `json:"service,omitempty"` // Empty when Split is set.
	Split          []WeightedService `json:"split,omitempty"`
	Host           string            `json:"host,omitempty"`    // Empty matches any host.
	Path           string            `json:"path"`              // Exact, or a prefix when it ends in "/*".
	Methods        []string          `json:"methods,omitempty"` // Empty matches any method.
	Idempotent     bool              `json:"idempotent"`
	IdempotencyKey string            `json:"key,omitempty"`      // KeyRequired or KeyOptional; only on a non-idempotent route.
	Deadline       Duration          `json:"deadline,omitempty"` // 0 uses the deadline of the service.
	Class          string            `json:"class"`
	// MaxAttempts is the maximum number of backend servers that one request is sent to; 0
	// uses the maximum of the proxy.
	MaxAttempts int `json:"attempts,omitempty"`
}

// Account is the account of a caller.
type Account struct {
	Name        string  `json:"name"`
	TokenDigest string  `json:"digest"` // SHA-256 of the token, hex.
	Rate        float64 `json:"rate"`   // Requests per second on each VM.
	Burst       int     `json:"burst"`
	MaxClass    string  `json:"class,omitempty"` // Highest class of its requests; empty for no limit.
}

// Release is an immutable configuration with its generation. Its items are stored in
// buckets by name hash; consecutive releases share the buckets that did not change.
type Release struct {
	generation uint64
	services   table[Service]
	routes     table[Route]
	accounts   table[Account]

	once    sync.Once // Guards encoded and err.
	encoded *EncodedRelease
	err     error
}

// NewRelease returns a release with copies of the given lists. If several items of a
// kind have the same name, the last one is used.
func NewRelease(generation uint64, services []Service, routes []Route, accounts []Account) *Release {
	return &Release{
		generation: generation,
		services:   newTable[Service]().with(services, nil),
		routes:     newTable[Route]().with(routes, nil),
		accounts:   newTable[Account]().with(accounts, nil),
	}
}

// Generation returns the generation of the release; each accepted note increments it.
func (r *Release) Generation() uint64 { return r.generation }

// Service returns the service with the given name.
func (r *Release) Service(name string) (Service, bool) { return r.services.find(name) }

// Route returns the route with the given name.
func (r *Release) Route(name string) (Route, bool) { return r.routes.find(name) }

// Account returns the account with the given name.
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
