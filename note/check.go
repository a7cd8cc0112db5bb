package note

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds of what a note may hold.
const (
	maxName     = 64
	maxHost     = 253
	maxPath     = 512
	maxServers  = 2000
	maxParts    = 16
	maxWeight   = 1_000_000
	maxAttempts = 16
	maxID       = 128
	maxSlots    = 10_000
	maxConns    = 1_000_000
	maxQueue    = 100_000
	maxBody     = 64 << 20 // Bytes; a VM holds the body in memory.
	maxAnswer   = 1 << 40  // Bytes; long answers are streamed.
	maxRate     = 1e6      // Requests a second.
	maxBurst    = 1e6
	minDeadline = 10 * time.Millisecond
	maxDeadline = time.Hour
	minPeriod   = 100 * time.Millisecond
	maxPeriod   = 10 * time.Minute
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	pathPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()+,;=:@/-]*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

	profiles = []string{ProfileFast, ProfileSteady, ProfileSwitch}
	echoes   = []string{EchoRequired, EchoChecked, EchoOpen}
	keys     = []string{KeyRequired, KeyOptional}
	classes  = []string{ClassUrgent, ClassNormal, ClassBulk}
	methods  = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

const nameForm = "1 to 64 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

func checkName(p *Problems, path, name string) {
	if len(name) > maxName || !namePattern.MatchString(name) {
		p.Add(path, name, nameForm)
	}
}

func checkOneOf(p *Problems, path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		p.Add(path, value, "one of %s", strings.Join(allowed, ", "))
	}
}

// inside checks a range, ends included. NaN is outside.
func inside[T cmp.Ordered](p *Problems, path string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	p.Add(path, value, "%v to %v", low, high)
}

func checkSpan(p *Problems, path string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		p.Add(path, d.Std(), "%v to %v", low, high)
	}
}

// check adds the problems of the service itself; its defaults are filled in.
func (s Service) check(p *Problems, path string) {
	checkName(p, path+".name", s.Name)
	s.checkServers(p, path)
	if n := s.staying(); n == 0 {
		p.Add(path+".servers", fmt.Sprintf("%d servers", len(s.Servers)), "at least one server that is not leaving")
	} else {
		inside(p, path+".floor", s.Floor, 1, n)
	}
	checkOneOf(p, path+".detection.profile", s.Detection.Profile, profiles)
	inside(p, path+".detection.bias", s.Detection.Bias, 0, 1)
	inside(p, path+".limits.queue", s.Limits.Queue, 1, maxQueue)
	inside(p, path+".limits.body", s.Limits.Body, 1, maxBody)
	inside(p, path+".limits.answer", s.Limits.MaxResponseBytes, 1, maxAnswer)
	inside(p, path+".limits.retry", s.Limits.RetryRatio, 0, 1)
	inside(p, path+".limits.burst", s.Limits.RetryBurst, 0, maxBurst)
	checkSpan(p, path+".limits.refill", s.Limits.RetryRefill, 0, maxDeadline)
	checkSpan(p, path+".deadline", s.Deadline, minDeadline, maxDeadline)
	checkPath(p, path+".probe.path", s.Probe.Path)
	checkSpan(p, path+".probe.period", s.Probe.Period, minPeriod, maxPeriod)
	checkOneOf(p, path+".echo", s.Echo, echoes)
}

func (s Service) checkServers(p *Problems, path string) {
	if len(s.Servers) > maxServers {
		p.Add(path+".servers", fmt.Sprintf("%d servers", len(s.Servers)), "at most %d servers", maxServers)
		return
	}
	seen := make(map[string]bool, len(s.Servers))
	for i, v := range s.Servers {
		at := fmt.Sprintf("%s.servers[%d]", path, i)
		checkAddress(p, at+".addr", v.Addr)
		if seen[v.Addr] {
			p.Add(at+".addr", v.Addr, "an address that the service has once")
		}
		seen[v.Addr] = true
		checkName(p, at+".zone", v.Zone)
		inside(p, at+".slots", v.Slots, 1, maxSlots)
		inside(p, at+".conns", v.Conns, 1, maxConns)
		if len(v.InstanceID) > maxID {
			p.Add(at+".id", v.InstanceID, "at most %d bytes", maxID)
		}
	}
}

// address takes the canonical form only, so that two spellings cannot name one
// server twice.
func checkAddress(p *Problems, path, addr string) {
	ap, err := netip.ParseAddrPort(addr)
	ok := err == nil && ap.Port() != 0 && ap.String() == addr &&
		!ap.Addr().IsUnspecified() && !ap.Addr().IsMulticast() && ap.Addr().Zone() == ""
	if !ok {
		p.Add(path, addr, `"ip:port" of one host in canonical form`)
	}
}

// ReservedPathPrefix begins the paths of the system's own calls on the callers' address. No
// route may lie below it.
const ReservedPathPrefix = "/azuredeal/"

// check adds the problems of the route itself; its defaults are filled in.
func (t Route) check(p *Problems, path string) {
	checkName(p, path+".name", t.Name)
	if t.Host != "" && (len(t.Host) > maxHost || !hostPattern.MatchString(t.Host)) {
		p.Add(path+".host", t.Host, "empty, or a host name in lower case without a port")
	}
	checkPath(p, path+".path", strings.TrimSuffix(t.Path, "*"))
	if strings.HasSuffix(t.Path, "*") && !strings.HasSuffix(t.Path, "/*") {
		p.Add(path+".path", t.Path, `"*" only as the last part, after a "/"`)
	}
	if strings.HasPrefix(t.Path, ReservedPathPrefix) {
		p.Add(path+".path", t.Path, "a path outside %s, which the entry VMs answer themselves", ReservedPathPrefix)
	}
	t.checkMethods(p, path+".methods")
	switch {
	case !t.Idempotent:
		checkOneOf(p, path+".key", t.IdempotencyKey, keys)
	case t.IdempotencyKey != "":
		p.Add(path+".key", t.IdempotencyKey, "no key, because the route is idempotent")
	}
	if t.Deadline != 0 {
		checkSpan(p, path+".deadline", t.Deadline, minDeadline, maxDeadline)
	}
	checkOneOf(p, path+".class", t.Class, classes)
	inside(p, path+".attempts", t.MaxAttempts, 0, maxAttempts)
	t.checkSplit(p, path)
}

func (t Route) checkSplit(p *Problems, path string) {
	if (t.Service == "") == (len(t.Split) == 0) {
		p.Add(path+".split", t.Service, "either a service or a split")
	}
	if len(t.Split) > maxParts {
		p.Add(path+".split", len(t.Split), "at most %d parts", maxParts)
	}
	for i, part := range t.Split {
		inside(p, fmt.Sprintf("%s.split[%d].weight", path, i), part.Weight, 0, maxWeight)
	}
	if len(t.Split) > 0 && t.weights() == 0 {
		p.Add(path+".split", 0, "a weight above 0")
	}
}

// weights returns the sum of the weights of the split.
func (t Route) weights() int {
	sum := 0
	for _, part := range t.Split {
		sum += part.Weight
	}
	return sum
}

func (t Route) checkMethods(p *Problems, path string) {
	for i, m := range t.Methods {
		at := fmt.Sprintf("%s[%d]", path, i)
		checkOneOf(p, at, m, methods)
		if slices.Contains(t.Methods[:i], m) {
			p.Add(at, m, "each method once")
		}
	}
}

// path takes paths that no client or server rewrites: an escaped, dotted or
// empty part would let one request match two routes.
func checkPath(p *Problems, path, value string) {
	dotted := slices.ContainsFunc(strings.Split(value, "/"), func(part string) bool {
		return part == "." || part == ".."
	})
	if len(value) > maxPath || !pathPattern.MatchString(value) || strings.Contains(value, "//") || dotted {
		p.Add(path, value, `a path of at most %d bytes that starts with "/", without query, escapes and empty or dotted parts`,
			maxPath)
	}
}

// check adds the problems of the account itself; its defaults are filled in.
func (a Account) check(p *Problems, path string) {
	checkName(p, path+".name", a.Name)
	if !digestPattern.MatchString(a.TokenDigest) {
		p.Add(path+".digest", a.TokenDigest, "SHA-256 of the token in 64 hex digits, lower case")
	}
	if a.Rate == 0 || !(a.Rate > 0 && a.Rate <= maxRate) {
		p.Add(path+".rate", a.Rate, "above 0, up to %v", float64(maxRate))
	}
	inside(p, path+".burst", a.Burst, 1, maxBurst)
	if a.MaxClass != "" {
		checkOneOf(p, path+".class", a.MaxClass, classes)
	}
}
