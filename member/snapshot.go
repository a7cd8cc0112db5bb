package member

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is an immutable copy of a view.
type Snapshot struct {
	self    Member
	members []Member
}

// Snapshot returns a copy of the view.
func (v *View) Snapshot() *Snapshot {
	return &Snapshot{self: v.self.Member, members: v.Members()}
}

// Self returns this VM's own record.
func (s *Snapshot) Self() Member { return s.self }

// Members returns all records, including those in state Gone, in an order that is
// the same on all VMs. The slice must not be modified.
func (s *Snapshot) Members() []Member { return s.members }

// Alive returns the members in state Alive, this VM included.
func (s *Snapshot) Alive() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		if m.state == Alive {
			out = append(out, m)
		}
	}
	return out
}

// AliveByZone returns the members in state Alive by availability zone.
func (s *Snapshot) AliveByZone() map[string][]Member {
	out := map[string][]Member{}
	for _, m := range s.Alive() {
		out[m.zone] = append(out[m.zone], m)
	}
	return out
}

// FindIncarnation returns the record with the given incarnation, in any state.
func (s *Snapshot) FindIncarnation(incarnation uint64) (Member, bool) {
	i := slices.IndexFunc(s.members, func(m Member) bool { return m.incarnation == incarnation })
	if i < 0 {
		return Member{}, false
	}
	return s.members[i], true
}

// EntryAddrs returns the addresses for callers of the members in state Alive, those
// of the given availability zone first. Each of the two groups is ordered by a
// rendezvous hash with caller: a caller always gets the same order, and a member
// that joins or leaves does not move the others.
func (s *Snapshot) EntryAddrs(zone, caller string) []string {
	type candidate struct {
		otherZone bool
		rank      uint64
		addr      string
	}
	key := hashID(caller)
	var candidates []candidate
	for _, m := range s.members {
		if m.state == Alive && m.entry != "" {
			candidates = append(candidates, candidate{otherZone: m.zone != zone, rank: mix64(hashID(m.id) ^ key), addr: m.entry})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.otherZone != b.otherZone {
			return sign(a.otherZone)
		}
		return cmp.Compare(a.rank, b.rank)
	})
	out := make([]string, len(candidates))
	for i, p := range candidates {
		out[i] = p.addr
	}
	return out
}

// Dump is the state of a view for operators.
type Dump struct {
	Self       DumpMember   `json:"self"`
	Members    []DumpMember `json:"members"`
	Links      []DumpLink   `json:"links"`
	Peers      []string     `json:"peers"`      // Ids of the chosen peers.
	Avoids     []string     `json:"avoids"`     // Ids excluded from selection after a one-way failure.
	Tombstones int          `json:"tombstones"` // Number of forgotten members whose version is kept.
	Stats      Stats        `json:"stats"`
}

// DumpMember is a member in a Dump.
type DumpMember struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Version     uint64 `json:"version"`
	Zone        string `json:"zone"`
	Peer        string `json:"peer"`
	Entry       string `json:"entry"`
	State       string `json:"state"`
	TimeInState string `json:"since"` // Time in this state, as a Go duration.
}

// DumpLink is a link in a Dump.
type DumpLink struct {
	Remote  string `json:"remote"`
	Dialed  bool   `json:"dialed"`
	Sent    uint64 `json:"sent"`  // Sequence number of the last heartbeat sent.
	Heard   uint64 `json:"heard"` // Sequence number of the last heartbeat received.
	Silence string `json:"silence"`
	RxDown  bool   `json:"rxdown"` // The peer's heartbeats reach other VMs, but not this one.
	TxDown  bool   `json:"txdown"` // This VM's heartbeats do not reach the peer.
	Pending int    `json:"pending"`
}

// Dump returns the state of the view for operators.
func (v *View) Dump(now time.Time) Dump {
	d := Dump{Tombstones: len(v.tombstones), Stats: v.stats}
	for _, r := range v.ring {
		m := DumpMember{
			ID: r.id, Incarnation: r.incarnation, Version: r.version, Zone: r.zone,
			Peer: r.peer, Entry: r.entry, State: r.state.String(), TimeInState: now.Sub(r.stateSince).String(),
		}
		if r == v.self {
			d.Self = m
		}
		d.Members = append(d.Members, m)
		if !r.avoidUntil.IsZero() {
			d.Avoids = append(d.Avoids, r.id)
		}
	}
	for _, r := range v.chosen {
		d.Peers = append(d.Peers, r.id)
	}
	for _, l := range v.links {
		d.Links = append(d.Links, DumpLink{
			Remote: l.remote, Dialed: l.dialed != "", Sent: l.sentSeq, Heard: l.lastReceived,
			Silence: now.Sub(l.lastReceivedAt).String(), RxDown: l.rxDown, TxDown: l.txDown, Pending: len(l.pending),
		})
	}
	return d
}
