package member

import (
	"hash/fnv"

	"github.com/azuredeal/azuredeal/wire"
)

//go:generate stringer -type=State -output=state_string.go

// State is the state of a member in the view of a VM. The values are in order of
// precedence: between records of the same incarnation and version, the higher
// (worse) state wins. They equal the values of wire.State.
type State uint8

// The states, from best to worst.
const (
	// Unknown stands for a member that is not in the view. On the wire it marks a
	// query whether any VM receives heartbeats of the member.
	Unknown State = iota
	// Alive members run and are offered to callers.
	Alive
	// Suspect members have sent no sign of life for suspectAfter.
	Suspect
	// Leaving members are shutting down and are not offered to callers.
	Leaving
	// Gone members have sent no sign of life for goneAfter.
	Gone
)

// Member is the record of one entry VM in the view of this VM.
type Member struct {
	id          string
	incarnation uint64
	version     uint64
	zone        string
	peer        string
	entry       string
	state       State
}

// NewMember returns the initial record of a VM. The incarnation must be
// higher than that of any earlier process with the same id. Addresses are
// "ip:port": peer is for links between VMs, entry for callers.
func NewMember(id string, incarnation uint64, zone, peer, entry string) Member {
	return Member{id: id, incarnation: incarnation, version: 1, zone: zone, peer: peer, entry: entry, state: Alive}
}

// ID returns the id of the VM.
func (m Member) ID() string { return m.id }

// Incarnation identifies the process. It increases when a VM with the same id
// restarts.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Version counts the changes that the member made to its own record.
func (m Member) Version() uint64 { return m.version }

// Zone returns the availability zone.
func (m Member) Zone() string { return m.zone }

// Peer returns the address for links between VMs, "ip:port".
func (m Member) Peer() string { return m.peer }

// Entry returns the address for callers, "ip:port".
func (m Member) Entry() string { return m.entry }

// State returns the state.
func (m Member) State() State { return m.state }

func (m Member) wire() *wire.Member {
	return &wire.Member{
		Id: m.id, Incarnation: m.incarnation, Version: m.version,
		Zone: m.zone, Peer: m.peer, Entry: m.entry, State: wire.State(m.state),
	}
}

// isRunning reports whether the member is considered running.
func (m Member) isRunning() bool { return m.state == Alive || m.state == Leaving }

// query returns the query whether any VM receives heartbeats of this version of
// the member.
func (m Member) query() *wire.Member {
	return &wire.Member{Id: m.id, Incarnation: m.incarnation, Version: m.version}
}

const (
	maxIDBytes   = 256 // Bytes of an id or a zone name.
	maxAddrBytes = 64  // Bytes of an address.
)

// fromWire converts a received record; it reports false if the record is invalid.
func fromWire(w *wire.Member) (Member, bool) {
	m := Member{
		id: w.GetId(), incarnation: w.GetIncarnation(), version: w.GetVersion(),
		zone: w.GetZone(), peer: w.GetPeer(), entry: w.GetEntry(), state: State(w.GetState()),
	}
	ok := m.id != "" && len(m.id) <= maxIDBytes && len(m.zone) <= maxIDBytes &&
		len(m.peer) <= maxAddrBytes && len(m.entry) <= maxAddrBytes &&
		w.GetState() >= 0 && w.GetState() <= wire.State_STATE_GONE
	return m, ok
}

// compare orders records of one id: the result is positive if m takes precedence
// over o.
func (m Member) compare(o Member) int {
	if c := m.compareVersion(o); c != 0 {
		return c
	}
	return int(m.state) - int(o.state)
}

// compareVersion is like compare, but ignores the states.
func (m Member) compareVersion(o Member) int {
	switch {
	case m.incarnation != o.incarnation:
		return sign(m.incarnation > o.incarnation)
	case m.version != o.version:
		return sign(m.version > o.version)
	}
	return 0
}

func sign(above bool) int {
	if above {
		return 1
	}
	return -1
}

// hashID returns the ring position of an id, which is the same on all VMs.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return mix64(h.Sum64())
}

// mix64 is the finalizer of SplitMix64: every input bit affects all output bits.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
