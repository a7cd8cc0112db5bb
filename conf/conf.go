// Package conf holds the JSON settings of an entry VM's process.
package conf

import (
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

// Entry is the address for callers.
type Entry struct {
	Addr     string `json:"addr"` // "ip:port".
	CertFile string `json:"cert"` // PEM certificate chain; empty serves without TLS.
	KeyFile  string `json:"key"`  // PEM private key.
}

// Admin is the address for operators.
type Admin struct {
	Addr  string `json:"addr"`  // "ip:port".
	Token string `json:"token"` // Bearer token of operators; empty asks for none.
}

// Peer sets up the links between entry VMs.
type Peer struct {
	Addr string `json:"addr"` // "ip:port".
	// Secret is the key that all entry VMs share; it signs issued idempotency
	// keys too.
	Secret         string   `json:"secret"`
	CAFile         string   `json:"ca"` // PEM; with Cert and Key it replaces the proof of Secret.
	CertFile       string   `json:"cert"`
	KeyFile        string   `json:"key"`
	Seeds          []string `json:"seeds"` // Peer addresses to try first.
	FullMeshMaxVMs int      `json:"mesh"`  // In fleets of up to so many VMs each links to all others.
}

// Forms of a platform.
const (
	APIOwn     = "own"     // The object API that azuredeal's own stand-in serves.
	APIObjects = "objects" // A metadata store of objects by kind, see docs/platform.md.
)

// Platform is where the platform answers, and what it asks of the fleet. All but
// URL and Form is used with FormObjects only, where no release note says it.
type Platform struct {
	URL string `json:"url"`
	API string `json:"form"`
	// RetryRatio and Slack bound the retries and hedges of the fleet for a service within
	// any 10 s: RetryRatio of the requests, and Slack more.
	RetryRatio      float64 `json:"retry"`
	FleetRetryBurst int     `json:"slack"`
	Floor           float64 `json:"floor"` // Share of a service's backend servers that ejection leaves.
	// ReregistrationGrace is how long after an outage of the platform the entries of backend
	// servers that run may still be missing.
	ReregistrationGrace note.Duration `json:"return"`
}

// OptionalListener is an address for one purpose; empty serves nothing.
type OptionalListener struct {
	Addr string `json:"addr"` // "ip:port".
}

// Limits bounds what callers may use on this VM.
type Limits struct {
	HeaderBytes int           `json:"header"` // Request header, in bytes.
	ReadTime    note.Duration `json:"read"`   // Time for a caller to send header and body.
	IdleTime    note.Duration `json:"idle"`   // Time that a connection may stay unused.
	Conns       int           `json:"conns"`  // Connections of callers.
	Rate        float64       `json:"rate"`   // Requests a second of callers without an account.
	Burst       int           `json:"burst"`
}

// Drain sets up the graceful shutdown.
type Drain struct {
	// TTL is how long callers keep an answer with addresses. A leaving VM goes on
	// serving that long.
	TTL note.Duration `json:"ttl"`
	// ServeTime is how long a leaving VM goes on serving; 0 takes TTL. Callers that keep
	// answers for longer than TTL need more.
	ServeTime note.Duration `json:"stay"`
	Timeout   note.Duration `json:"deadline"` // Time for requests in flight after that.
}

// Settings are the settings of one entry VM.
type Settings struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Zones    []string `json:"zones"` // Zones from nearest to farthest; may be empty.
	Entry    Entry    `json:"entry"`
	Admin    Admin    `json:"admin"`
	Peer     Peer     `json:"peer"`
	Platform Platform `json:"platform"`
	// Ready answers whether the VM is ready, Lookup which addresses callers use, both
	// in the platform's form.
	Ready  OptionalListener `json:"ready"`
	Lookup OptionalListener `json:"lookup"`
	Limits Limits           `json:"limits"`
	Drain  Drain            `json:"drain"`
	Log    string           `json:"log"`
}

// Default returns settings with every optional field set.
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
		},
		Peer: Peer{FullMeshMaxVMs: 24},
		Drain: Drain{
			TTL:     note.Duration(30 * time.Second),
			Timeout: note.Duration(time.Minute),
		},
		Log: "info",
	}
}

// Load reads the settings file at path. The error is strict.Problems when the
// file could be read but is wrong.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(data)
}

// Parse decodes and checks settings. It lists every problem at once.
func Parse(data []byte) (Settings, error) {
	s := Default()
	ps := strict.Decode("settings", data, maxFile, &s)
	s.check(&ps)
	return s, ps.Err()
}

var levels = []string{"debug", "info", "warn", "error"}

const (
	maxFile   = 1 << 20 // Bytes of a settings file.
	minSecret = 32      // Bytes; the length of the SHA-256 output that it keys.
	minHeader = 1 << 10
	maxHeader = 1 << 20
	maxConns  = 1 << 20
	maxName   = 63
	maxMesh   = 64 // Links that a VM takes.
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
	if !slices.Contains(levels, s.Log) {
		ps.Add("log", s.Log, "one of %s", strings.Join(levels, ", "))
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
	checkRange(ps, "platform.slack", p.FleetRetryBurst, 0, maxConns)
	checkSpan(ps, "platform.return", p.ReregistrationGrace)
}

func checkName(ps *strict.Problems, path, name string) {
	if name == "" || len(name) > maxName {
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
	for _, extra := range []struct{ path, addr string }{
		{"ready.addr", s.Ready.Addr},
		{"lookup.addr", s.Lookup.Addr},
	} {
		if extra.addr != "" {
			checkAddr(ps, extra.path, extra.addr)
		}
	}
	// Port 0 asks for a free port, so two of them are different addresses.
	if entry, err := netip.ParseAddrPort(s.Entry.Addr); err == nil && entry.Port() != 0 && s.Admin.Addr == s.Entry.Addr {
		ps.Add("admin.addr", s.Admin.Addr, "an address other than entry.addr, which callers reach")
	}
}

// checkAddr asks for an IP number, since the VMs have no name service.
func checkAddr(ps *strict.Problems, path, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		ps.Add(path, addr, `an IP number and port such as "10.0.0.1:8000"`)
	}
}

func (s *Settings) checkTLS(ps *strict.Problems) {
	if (s.Entry.CertFile == "") != (s.Entry.KeyFile == "") {
		ps.Add("entry.cert", "one of cert and key is empty", "both or none")
	}
	set := 0
	for _, field := range []string{s.Peer.CAFile, s.Peer.CertFile, s.Peer.KeyFile} {
		if field != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		ps.Add("peer.ca", "some of ca, cert and key are empty", "all three or none")
	}
	// With FormObjects the secret lies in the platform.
	if len(s.Peer.Secret) < minSecret && (s.Platform.API != APIObjects || s.Peer.Secret != "") {
		ps.Add("peer.secret", strconv.Itoa(len(s.Peer.Secret))+" bytes", "at least 32 bytes")
	}
}

func (s *Settings) checkLimits(ps *strict.Problems) {
	checkRange(ps, "peer.mesh", s.Peer.FullMeshMaxVMs, 0, maxMesh)
	checkRange(ps, "limits.header", s.Limits.HeaderBytes, minHeader, maxHeader)
	checkRange(ps, "limits.conns", s.Limits.Conns, 1, maxConns)
	checkSpan(ps, "limits.read", s.Limits.ReadTime)
	checkSpan(ps, "limits.idle", s.Limits.IdleTime)
	checkSpan(ps, "drain.ttl", s.Drain.TTL)
	if s.Drain.ServeTime != 0 {
		checkSpan(ps, "drain.stay", s.Drain.ServeTime)
	}
	checkSpan(ps, "drain.deadline", s.Drain.Timeout)
	if s.Limits.Rate <= 0 {
		ps.Add("limits.rate", s.Limits.Rate, "a number above 0")
	}
	checkRange(ps, "limits.burst", s.Limits.Burst, 1, maxConns)
}

func checkRange(ps *strict.Problems, path string, value, low, high int) {
	if value < low || value > high {
		ps.Add(path, value, "%d to %d", low, high)
	}
}

const maxSpan = time.Hour

func checkSpan(ps *strict.Problems, path string, d note.Duration) {
	if d.Std() <= 0 || d.Std() > maxSpan {
		ps.Add(path, d.Std(), "a duration above 0s and up to 1h")
	}
}
