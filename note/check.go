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

// Limits on the fields of a note.
const (
	maxNameBytes     = 64
	maxHostBytes     = 253
	maxPathBytes     = 512
	maxServers       = 2000
	maxSplitServices = 16
	maxWeight        = 1_000_000
	maxAttempts      = 16
	maxIDBytes       = 128
	maxSlots         = 10_000
	maxConns         = 1_000_000
	maxQueue         = 100_000
	maxBodyBytes     = 64 << 20 // A VM keeps the whole request body in memory.
	maxResponseBytes = 1 << 40  // Long responses are streamed.
	maxRate          = 1e6      // Requests per second.
	maxBurst         = 1e6
	minDeadline      = 10 * time.Millisecond
	maxDeadline      = time.Hour
	minProbePeriod   = 100 * time.Millisecond
	maxProbePeriod   = 10 * time.Minute
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	pathPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~!$&'()+,;=:@/-]*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

	profiles  = []string{ProfileFast, ProfileSteady, ProfileSwitch}
	echoModes = []string{EchoRequired, EchoChecked, EchoOpen}
	keyModes  = []string{KeyRequired, KeyOptional}
	classes   = []string{ClassUrgent, ClassNormal, ClassBulk}
	methods   = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

const allowedName = "1 to 64 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

func checkName(p *Problems, path, name string) {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		p.Add(path, name, allowedName)
	}
}

func checkOneOf(p *Problems, path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		p.Add(path, value, "one of %s", strings.Join(allowed, ", "))
	}
}

// checkRange reports a value outside the range from low to high, both included. NaN
// is outside every range.
func checkRange[T cmp.Ordered](p *Problems, path string, value, low, high T) {
	if value >= low && value <= high {
		return
	}
	p.Add(path, value, "%v to %v", low, high)
}

func checkDuration(p *Problems, path string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		p.Add(path, d.Std(), "%v to %v", low, high)
	}
}

// check reports the problems of the service itself, whose defaults have been filled in.
func (s Service) check(p *Problems, path string) {
	checkName(p, path+".name", s.Name)
	s.checkServers(p, path)
	if n := s.activeServers(); n == 0 {
		p.Add(path+".servers", fmt.Sprintf("%d servers", len(s.Servers)), "at least one server that is not leaving")
	} else {
		checkRange(p, path+".floor", s.Floor, 1, n)
	}
	checkOneOf(p, path+".detection.profile", s.Detection.Profile, profiles)
	checkRange(p, path+".detection.bias", s.Detection.Bias, 0, 1)
	checkRange(p, path+".limits.queue", s.Limits.Queue, 1, maxQueue)
	checkRange(p, path+".limits.body", s.Limits.Body, 1, maxBodyBytes)
	checkRange(p, path+".limits.answer", s.Limits.MaxResponseBytes, 1, maxResponseBytes)
	checkRange(p, path+".limits.retry", s.Limits.RetryRatio, 0, 1)
	checkRange(p, path+".limits.burst", s.Limits.RetryBurst, 0, maxBurst)
	checkDuration(p, path+".limits.refill", s.Limits.RetryRefill, 0, maxDeadline)
	checkDuration(p, path+".deadline", s.Deadline, minDeadline, maxDeadline)
	checkPath(p, path+".probe.path", s.Probe.Path)
	checkDuration(p, path+".probe.period", s.Probe.Period, minProbePeriod, maxProbePeriod)
	checkOneOf(p, path+".echo", s.Echo, echoModes)
}

func (s Service) checkServers(p *Problems, path string) {
	if len(s.Servers) > maxServers {
		p.Add(path+".servers", fmt.Sprintf("%d servers", len(s.Servers)), "at most %d servers", maxServers)
		return
	}
	seen := make(map[string]bool, len(s.Servers))
	for i, v := range s.Servers {
		serverPath := fmt.Sprintf("%s.servers[%d]", path, i)
		checkAddress(p, serverPath+".addr", v.Addr)
		if seen[v.Addr] {
			p.Add(serverPath+".addr", v.Addr, "an address that the service has once")
		}
		seen[v.Addr] = true
		checkName(p, serverPath+".zone", v.Zone)
		checkRange(p, serverPath+".slots", v.Slots, 1, maxSlots)
		checkRange(p, serverPath+".conns", v.Conns, 1, maxConns)
		if len(v.InstanceID) > maxIDBytes {
			p.Add(serverPath+".id", v.InstanceID, "at most %d bytes", maxIDBytes)
		}
	}
}

// checkAddress accepts the canonical form only, so that a server cannot be listed
// twice in two spellings of its address.
func checkAddress(p *Problems, path, addr string) {
	ap, err := netip.ParseAddrPort(addr)
	ok := err == nil && ap.Port() != 0 && ap.String() == addr &&
		!ap.Addr().IsUnspecified() && !ap.Addr().IsMulticast() && ap.Addr().Zone() == ""
	if !ok {
		p.Add(path, addr, `"ip:port" of one host in canonical form`)
	}
}

// ReservedPathPrefix is the prefix of the paths that the entry VMs serve themselves on
// the callers' address. No route may have a path with this prefix.
const ReservedPathPrefix = "/azuredeal/"

// check reports the problems of the route itself, whose defaults have been filled in.
func (t Route) check(p *Problems, path string) {
	checkName(p, path+".name", t.Name)
	if t.Host != "" && (len(t.Host) > maxHostBytes || !hostPattern.MatchString(t.Host)) {
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
		checkOneOf(p, path+".key", t.IdempotencyKey, keyModes)
	case t.IdempotencyKey != "":
		p.Add(path+".key", t.IdempotencyKey, "no key, because the route is idempotent")
	}
	if t.Deadline != 0 {
		checkDuration(p, path+".deadline", t.Deadline, minDeadline, maxDeadline)
	}
	checkOneOf(p, path+".class", t.Class, classes)
	checkRange(p, path+".attempts", t.MaxAttempts, 0, maxAttempts)
	t.checkSplit(p, path)
}

func (t Route) checkSplit(p *Problems, path string) {
	if (t.Service == "") == (len(t.Split) == 0) {
		p.Add(path+".split", t.Service, "either a service or a split")
	}
	if len(t.Split) > maxSplitServices {
		p.Add(path+".split", len(t.Split), "at most %d parts", maxSplitServices)
	}
	for i, target := range t.Split {
		checkRange(p, fmt.Sprintf("%s.split[%d].weight", path, i), target.Weight, 0, maxWeight)
	}
	if len(t.Split) > 0 && t.totalWeight() == 0 {
		p.Add(path+".split", 0, "a weight above 0")
	}
}

// totalWeight returns the sum of the weights of the split.
func (t Route) totalWeight() int {
	sum := 0
	for _, target := range t.Split {
		sum += target.Weight
	}
	return sum
}

func (t Route) checkMethods(p *Problems, path string) {
	for i, m := range t.Methods {
		methodPath := fmt.Sprintf("%s[%d]", path, i)
		checkOneOf(p, methodPath, m, methods)
		if slices.Contains(t.Methods[:i], m) {
			p.Add(methodPath, m, "each method once")
		}
	}
}

// checkPath accepts only paths that no HTTP client or server normalizes: with an
// escaped, empty or dot segment, one request could match two routes.
func checkPath(p *Problems, path, value string) {
	dotted := slices.ContainsFunc(strings.Split(value, "/"), func(segment string) bool {
		return segment == "." || segment == ".."
	})
	if len(value) > maxPathBytes || !pathPattern.MatchString(value) || strings.Contains(value, "//") || dotted {
		p.Add(path, value, `a path of at most %d bytes that starts with "/", without query, escapes and empty or dotted parts`,
			maxPathBytes)
	}
}

// check reports the problems of the account itself, whose defaults have been filled in.
func (a Account) check(p *Problems, path string) {
	checkName(p, path+".name", a.Name)
	if !digestPattern.MatchString(a.TokenDigest) {
		p.Add(path+".digest", a.TokenDigest, "SHA-256 of the token in 64 hex digits, lower case")
	}
	if a.Rate == 0 || !(a.Rate > 0 && a.Rate <= maxRate) {
		p.Add(path+".rate", a.Rate, "above 0, up to %v", float64(maxRate))
	}
	checkRange(p, path+".burst", a.Burst, 1, maxBurst)
	if a.MaxClass != "" {
		checkOneOf(p, path+".class", a.MaxClass, classes)
	}
}
