package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/wire"
)

const (
	// maxQueuedSuspects bounds the suspects queued on one link.
	maxQueuedSuspects = 4096
	// maxSuspectBytes bounds the suspects of one heartbeat. suspectBytesPerSecond and
	// suspectBurstBytes are the rate and size of the token bucket for suspects on all links of
	// this VM. When many backend servers end at once, most of what their requests are suspected
	// of is not worth more.
	maxSuspectBytes       = 8 << 10
	suspectBytesPerSecond = 2 << 10
	suspectBurstBytes     = 8 << 10
	// urgentSuspectServers is the number of servers from which a suspect goes to all links when
	// it is passed on.
	urgentSuspectServers = 2
)

// queuedSuspect is a suspect that waits for a heartbeat.
type queuedSuspect struct {
	suspect  *wire.Suspect
	queuedAt time.Time
}

// suspectBucket limits the bytes of suspects.
type suspectBucket struct {
	tokens   float64
	refilled time.Time
}

func (b *suspectBucket) refill(now time.Time) {
	if b.refilled.IsZero() {
		b.tokens = suspectBurstBytes
	} else {
		b.tokens = min(suspectBurstBytes, b.tokens+now.Sub(b.refilled).Seconds()*suspectBytesPerSecond)
	}
	b.refilled = now
}

// QueueSuspects queues suspects of this VM on all links, or passes on those of other VMs: in a
// full mesh, where the others have heard the same, and for weak suspicions to a few links only.
func (v *View) QueueSuspects(now time.Time, suspects []*wire.Suspect, relay bool) {
	v.detectPause(now)
	if len(v.links) == 0 {
		return
	}
	mesh := len(v.ring) <= v.fullMeshMaxVMs
	for _, s := range suspects {
		weak := len(s.GetServers()) > 0 && len(s.GetServers()) < urgentSuspectServers
		links := len(v.links)
		if relay && (mesh || weak) {
			links = min(links, relayFanout)
		}
		start := v.rng.IntN(len(v.links))
		for i := range links {
			l := v.links[(start+i)%len(v.links)]
			l.queueSuspect(now, s)
			if !relay || !mesh {
				l.nextHeartbeat = now
			}
		}
	}
}

// queueSuspect queues a suspect in place of an earlier state of it.
func (l *link) queueSuspect(now time.Time, s *wire.Suspect) {
	if l.suspects == nil {
		l.suspects = map[uint64]queuedSuspect{}
	}
	if _, queued := l.suspects[s.GetRequest()]; queued || len(l.suspects) < maxQueuedSuspects {
		l.suspects[s.GetRequest()] = queuedSuspect{s, now}
	}
}

// addSuspects moves queued suspects to a heartbeat, within the byte limits: those with the most
// servers first, and the newest first among equals. Weak suspicions that find no room are
// dropped.
func (v *View) addSuspects(now time.Time, l *link, h *wire.Heartbeat) {
	if len(l.suspects) == 0 {
		return
	}
	v.suspectBytes.refill(now)
	bytesLeft := min(maxSuspectBytes, int(v.suspectBytes.tokens))
	queued := slices.SortedFunc(maps.Values(l.suspects), func(a, b queuedSuspect) int {
		return cmp.Or(
			cmp.Compare(len(b.suspect.GetServers()), len(a.suspect.GetServers())),
			b.queuedAt.Compare(a.queuedAt), cmp.Compare(a.suspect.GetRequest(), b.suspect.GetRequest()),
		)
	})
	for _, q := range queued {
		s := proto.CloneOf(q.suspect)
		s.Age += uint64(now.Sub(q.queuedAt).Milliseconds())
		size := proto.Size(s)
		if size > bytesLeft {
			if len(s.GetServers()) == 1 {
				delete(l.suspects, s.GetRequest())
			}
			continue
		}
		bytesLeft -= size
		v.suspectBytes.tokens -= float64(size)
		h.Suspects = append(h.Suspects, s)
		delete(l.suspects, s.GetRequest())
	}
}
