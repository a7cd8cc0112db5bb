// Package conf defines, decodes and validates the JSON settings of an entry VM.
package conf

import (
	"cmp"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/strict"
)

// Entry configures the listener for callers.
type Entry struct {
	Addr     string `json:"addr"` // "ip:port".
	CertFile string `json:"cert"` // PEM certificate chain; TLS is off when empty.
	KeyFile  string `json:"key"`  // PEM private key.
}

// Admin configures the listener for operators.
type Admin struct {
	Addr  string `json:"addr"`  // "ip:port".
	Token string `json:"token"` // Bearer token of operators; no authentication when empty.
}

// Peer configures the links between entry VMs.
type Peer struct {
	Addr string `json:"addr"` // "ip:port".
	// Secret is the shared key that authenticates entry VMs to each other. It also
	// signs issued idempotency keys.
	Secret         string   `json:"secret"`
	CAFile         string   `json:"ca"` // PEM; with CertFile and KeyFile, mutual TLS replaces Secret.
	CertFile       string   `json:"cert"`
	KeyFile        string   `json:"key"`
	Seeds          []string `json:"seeds"` // Peer addresses for joining the fleet.
	FullMeshMaxVMs int      `json:"mesh"`  // Largest fleet, in VMs, in which every VM links to every other.
}

// Values of Platform.API.
const (
	APIOwn     = "own"     // The object API of azuredeal's own stand-in for a platform.
	APIObjects = "objects" // A metadata store with objects by kind, see docs/platform.md.
)

// Platform configures access to the platform and the rules that it imposes on the
// fleet. All fields but URL and API apply to APIObjects only, where no release note
// sets these rules.
type Platform struct {
	URL string `json:"url"`
	API string `json:"form"`
	// RetryRatio and FleetRetryBurst limit the retries and hedged requests of the whole
	// fleet for one service within any 10 s to RetryRatio times the requests plus
	// FleetRetryBurst. Platforms state the burst as any number, also a fraction.
	RetryRatio      float64 `json:"retry"`
	FleetRetryBurst float64 `json:"slack"`
	Floor           float64 `json:"floor"` // Minimum share of a service's backend servers that ejection leaves in use.
	// ReregistrationGrace is how long after an outage of the platform the entries of
	// running backend servers may still be missing.
	ReregistrationGrace note.Duration `json:"return"`
	// Heartbeat is how often backend servers renew their entries. The platform removes an
	// entry after three such intervals of silence.
	Heartbeat note.Duration `json:"beat"`
	// Apply is the time in which a change of the configuration has to be in force on all VMs.
	Apply note.Duration `json:"apply"`
	// Drain is the time after which no VM sends requests to a backend server that has left.
	Drain note.Duration `json:"drain"`
}

// OptionalListener configures a listener that is off when Addr is empty.
type OptionalListener struct {
	Addr string `json:"addr"` // "ip:port".
}

// Limits sets bounds on the resources that callers may use on this VM.
type Limits struct {
	HeaderBytes int           `json:"header"` // Request header, in bytes.
	ReadTime    note.Duration `json:"read"`   // Time limit for reading a request with its body.
	IdleTime    note.Duration `json:"idle"`   // Time limit for an idle connection.
	Conns       int           `json:"conns"`  // Maximum number of connections from callers.
	Rate        float64       `json:"rate"`   // Requests per second from callers without an account.
	Burst       int           `json:"burst"`
	Memory      float64       `json:"memory"` // Memory that the process may use, in MB; 0 to find it out.
}

// Drain configures the graceful shutdown.
type Drain struct {
	// TTL is how long callers may cache a discovery response. A VM that shuts down
	// keeps serving that long unless ServeTime is set.
	TTL note.Duration `json:"ttl"`
	// ServeTime is how long a VM that shuts down keeps serving; 0 means TTL. Callers
	// that cache discovery responses for longer than TTL need a larger value.
	ServeTime note.Duration `json:"stay"`
	Timeout   note.Duration `json:"deadline"` // Time limit for in-flight requests after ServeTime.
	// KillAfter is the time after which the platform kills a process that it has told to
	// stop; 0 means never. ServeTime then takes half of it at most, and Timeout is what is
	// left but for the exit.
	KillAfter note.Duration `json:"grace"`
}

const (
	// maxServeShare is the share of Drain.KillAfter that ServeTime may take. The rest is for
	// requests in flight.
	maxServeShare = 0.5
	// exitTime is the part of Drain.KillAfter in which requests that were cut off get their
	// responses and the process exits, maxExitShare of it at most.
	exitTime     = note.Duration(400 * time.Millisecond)
	maxExitShare = 1.0 / 6
)

// fitKillAfter fits ServeTime and Timeout into the time before the kill. How long callers go on
// coming does not depend on that time, so the rest is all left to the requests in flight.
func (d *Drain) fitKillAfter() {
	if d.KillAfter <= 0 {
		return
	}
	share := func(part float64) note.Duration { return note.Duration(part * float64(d.KillAfter)) }
	d.ServeTime = min(cmp.Or(d.ServeTime, d.TTL), share(maxServeShare))
	d.Timeout = d.KillAfter - min(exitTime, share(maxExitShare)) - d.ServeTime
}

// Settings are the settings of one entry VM.
type Settings struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Zones    []string `json:"zones"` // Availability zones from nearest to farthest; may be empty.
	Entry    Entry    `json:"entry"`
	Admin    Admin    `json:"admin"`
	Peer     Peer     `json:"peer"`
	Platform Platform `json:"platform"`
	// Ready serves readiness checks, Lookup the addresses that callers use, both in
	// the platform's API.
	Ready  OptionalListener `json:"ready"`
	Lookup OptionalListener `json:"lookup"`
	Limits Limits           `json:"limits"`
	Drain  Drain            `json:"drain"`
	Log    string           `json:"log"`
}

// Default returns settings with the defaults of the optional fields.
func Default() Settings {
	return Settings{
		Limits: Limits{
			HeaderBytes: 32 << 10,
			ReadTime:    note.Duration(10 * time.Second),
			IdleTime:    note.Duration(time.Minute),
			Conns:       10000,
			Rate:        100,
			Burst:       200,
		},
		Platform: Platform{
			API:                 APIOwn,
			RetryRatio:          0.1,
			Floor:               0.5,
			ReregistrationGrace: note.Duration(2 * time.Second),
			Heartbeat:           note.Duration(1500 * time.Millisecond),
			Apply:               note.Duration(2 * time.Second),
			Drain:               note.Duration(2 * time.Second),
		},
		Peer: Peer{FullMeshMaxVMs: 24},
		Drain: Drain{
			TTL:     note.Duration(30 * time.Second),
			Timeout: note.Duration(time.Minute),
		},
		Log: "info",
	}
}

// Load reads and validates the settings file at path. The error is strict.Problems
// if the file can be read but is invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(data)
}

// Parse decodes and validates settings. The error is strict.Problems and lists every
// problem.
func Parse(data []byte) (Settings, error) {
	s := Default()
	ps := strict.Decode("settings", data, maxFileBytes, &s)
	s.check(&ps)
	s.Drain.fitKillAfter()
	return s, ps.Err()
}

var logLevels = []string{"debug", "info", "warn", "error"}

const (
	maxFileBytes   = 1 << 20
	minSecretBytes = 32 // Output size of SHA-256, the hash of the HMAC that uses the secret as key.
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxConns       = 1 << 20
	maxNameBytes   = 63
	minMemory      = 64      // MB.
	maxMemory      = 1 << 20 // MB.
	maxFullMeshVMs = 64      // A VM supports at most this many links.
	// maxFleetRetryBurst is far above what any fleet could send within 10 s.
	maxFleetRetryBurst = 1 << 20
)

func (s *Settings) check(ps *strict.Problems) {
	checkName(ps, "name", s.Name)
	checkName(ps, "zone", s.Zone)
	for i, z := range s.Zones {
		checkName(ps, "zones["+strconv.Itoa(i)+"]", z)
	}
	s.checkAddrs(ps)
	s.checkTLS(ps)
	if u, err := url.Parse(s.Platform.URL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		ps.Add("platform.url", s.Platform.URL, "an http or https URL")
	}
	s.checkPlatform(ps)
	s.checkLimits(ps)
	if !slices.Contains(logLevels, s.Log) {
		ps.Add("log", s.Log, "one of %s", strings.Join(logLevels, ", "))
	}
}

func (s *Settings) checkPlatform(ps *strict.Problems) {
	p := s.Platform
	if p.API != APIOwn && p.API != APIObjects {
		ps.Add("platform.form", p.API, "%s or %s", APIOwn, APIObjects)
	}
	if p.RetryRatio < 0 || p.RetryRatio > 1 {
		ps.Add("platform.retry", p.RetryRatio, "0 to 1")
	}
	if p.Floor < 0 || p.Floor > 1 {
		ps.Add("platform.floor", p.Floor, "0 to 1")
	}
	if p.FleetRetryBurst < 0 || p.FleetRetryBurst > maxFleetRetryBurst {
		ps.Add("platform.slack", p.FleetRetryBurst, "0 to %d", maxFleetRetryBurst)
	}
	checkDuration(ps, "platform.return", p.ReregistrationGrace)
	checkDuration(ps, "platform.beat", p.Heartbeat)
	checkDuration(ps, "platform.apply", p.Apply)
	checkDuration(ps, "platform.drain", p.Drain)
}

func checkName(ps *strict.Problems, path, name string) {
	if name == "" || len(name) > maxNameBytes {
		ps.Add(path, name, "a name of 1 to 63 bytes")
	}
}

func (s *Settings) checkAddrs(ps *strict.Problems) {
	checkAddr(ps, "entry.addr", s.Entry.Addr)
	checkAddr(ps, "admin.addr", s.Admin.Addr)
	checkAddr(ps, "peer.addr", s.Peer.Addr)
	for i, seed := range s.Peer.Seeds {
		checkAddr(ps, "peer.seeds["+strconv.Itoa(i)+"]", seed)
	}
	for _, optional := range []struct{ path, addr string }{
		{"ready.addr", s.Ready.Addr},
		{"lookup.addr", s.Lookup.Addr},
	} {
		if optional.addr != "" {
			checkAddr(ps, optional.path, optional.addr)
		}
	}
	// Port 0 binds any free port, so two equal addresses with port 0 don't collide.
	if entry, err := netip.ParseAddrPort(s.Entry.Addr); err == nil && entry.Port() != 0 && s.Admin.Addr == s.Entry.Addr {
		ps.Add("admin.addr", s.Admin.Addr, "an address other than entry.addr, which callers reach")
	}
}

// checkAddr requires an IP address and port, because the VMs have no name service.
func checkAddr(ps *strict.Problems, path, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		ps.Add(path, addr, `an IP number and port such as "10.0.0.1:8000"`)
	}
}

func (s *Settings) checkTLS(ps *strict.Problems) {
	if (s.Entry.CertFile == "") != (s.Entry.KeyFile == "") {
		ps.Add("entry.cert", "one of cert and key is empty", "both or none")
	}
	nonEmpty := 0
	for _, file := range []string{s.Peer.CAFile, s.Peer.CertFile, s.Peer.KeyFile} {
		if file != "" {
			nonEmpty++
		}
	}
	if nonEmpty != 0 && nonEmpty != 3 {
		ps.Add("peer.ca", "some of ca, cert and key are empty", "all three or none")
	}
	// With APIObjects the platform may hold the secret instead.
	if len(s.Peer.Secret) < minSecretBytes && (s.Platform.API != APIObjects || s.Peer.Secret != "") {
		ps.Add("peer.secret", strconv.Itoa(len(s.Peer.Secret))+" bytes", "at least 32 bytes")
	}
}

func (s *Settings) checkLimits(ps *strict.Problems) {
	checkRange(ps, "peer.mesh", s.Peer.FullMeshMaxVMs, 0, maxFullMeshVMs)
	checkRange(ps, "limits.header", s.Limits.HeaderBytes, minHeaderBytes, maxHeaderBytes)
	checkRange(ps, "limits.conns", s.Limits.Conns, 1, maxConns)
	checkDuration(ps, "limits.read", s.Limits.ReadTime)
	checkDuration(ps, "limits.idle", s.Limits.IdleTime)
	checkDuration(ps, "drain.ttl", s.Drain.TTL)
	if s.Drain.ServeTime != 0 {
		checkDuration(ps, "drain.stay", s.Drain.ServeTime)
	}
	checkDuration(ps, "drain.deadline", s.Drain.Timeout)
	if s.Drain.KillAfter != 0 {
		checkDuration(ps, "drain.grace", s.Drain.KillAfter)
	}
	if s.Limits.Rate <= 0 {
		ps.Add("limits.rate", s.Limits.Rate, "a number above 0")
	}
	checkRange(ps, "limits.burst", s.Limits.Burst, 1, maxConns)
	if m := s.Limits.Memory; m != 0 && (m < minMemory || m > maxMemory) {
		ps.Add("limits.memory", m, "%d to %d, or 0", minMemory, maxMemory)
	}
}

func checkRange(ps *strict.Problems, path string, value, low, high int) {
	if value < low || value > high {
		ps.Add(path, value, "%d to %d", low, high)
	}
}

const maxDuration = time.Hour

func checkDuration(ps *strict.Problems, path string, d note.Duration) {
	if d.Std() <= 0 || d.Std() > maxDuration {
		ps.Add(path, d.Std(), "a duration above 0s and up to 1h")
	}
}
