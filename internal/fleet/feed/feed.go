// Package feed keeps the recent changes of one kind of object of the platform, so that a
// VM can pass them on to others, and decides which VMs of a fleet watch the platform.
//
// The platform numbers its changes with revisions, anew in each era (see Position). A few VMs
// watch it; each tells its links the position of the newest change, and VMs that lack it pull
// the changes after their own position from the VM that told them. A chain of such pulls
// reaches the whole fleet, and the calls to the platform do not grow with it.
package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/wire"
)

// Change is one change of an object.
type Change struct {
	name     string
	position Position
	removed  bool
	data     []byte
}

// NewChange returns the change that created or replaced an object. data is the object as
// the platform encodes it and must not be modified afterwards.
func NewChange(name string, position Position, data []byte) Change {
	return Change{name: name, position: position, data: data}
}

// NewRemoval returns the change that removed an object. The position is that of the removal
// or, on a platform that does not state it, any earlier one.
func NewRemoval(name string, position Position) Change {
	return Change{name: name, position: position, removed: true}
}

// NewDeparture returns the change that removed an object, with the object as it was at last.
func NewDeparture(name string, position Position, data []byte) Change {
	return Change{name: name, position: position, removed: true, data: data}
}

// Name returns the name of the object.
func (c Change) Name() string { return c.name }

// Position returns the position of the change.
func (c Change) Position() Position { return c.position }

// Removed reports whether the change removed the object.
func (c Change) Removed() bool { return c.removed }

// Data returns the object as the platform encodes it. After a removal it is that of a
// departure, and nil otherwise.
func (c Change) Data() []byte { return c.data }

// batch holds all changes after one position up to another.
type batch struct {
	after, upto Position
	changes     []Change
}

// changesEra reports whether the batch leads into another era. Its changes are the difference
// between what was known at b.after and what exists at b.upto, so they lead nowhere from any
// other position above b.after.
func (b batch) changesEra() bool { return b.after.Era() != b.upto.Era() }

// Bounds of the history that a Log keeps for other VMs. A VM that lacks more than that
// reads the platform.
const (
	maxHistoryChanges = 4096
	maxHistoryBytes   = 2 << 20 // Compressed, it fits into one message between VMs.
)

// Log is what a VM knows of one kind of object: all objects and the recent changes. It is
// safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	start   Position          // The history holds all changes after this position.
	known   Position          // All changes up to this position are known.
	newest  Position          // Of the newest known change.
	objects map[string]Change // The last change of each object, by name.
	history []batch
	changes int // In history.
	bytes   int // Of the data in history.
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{objects: map[string]Change{}} }

// Known returns the position up to which all changes are known, 0 before the first listing.
func (l *Log) Known() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// Newest returns the position of the newest change, 0 when no object is known. Two VMs that
// know the same changes return the same one, whatever else happened on the platform.
func (l *Log) Newest() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}

// Replace takes in a listing of all objects at position upto. It returns the changes that
// lead there from the objects known before, or false when the listing is behind them.
func (l *Log) Replace(upto Position, objects []Change) ([]Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if upto < l.known {
		return nil, false
	}
	changes := l.difference(upto, objects)
	switch {
	case l.known == 0:
		// Other VMs list for themselves when they start, so the first listing is no history.
		l.take(upto, changes)
		l.start = upto
	case upto.Era() != l.known.Era():
		l.beginEra(upto, objects, changes)
	default:
		l.append(upto, changes)
	}
	return changes, true
}

// difference returns the changes that lead from the known objects to those of a listing.
func (l *Log) difference(upto Position, objects []Change) []Change {
	var changes []Change
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.name] = true
		old, known := l.objects[o.name]
		same := known && o.position <= old.position
		if l.known != 0 && upto.Era() != l.known.Era() {
			// A revision of another era does not tell whether the object is another one.
			same = known && bytes.Equal(o.data, old.data)
		}
		if !same {
			changes = append(changes, o)
		}
	}
	for name := range l.objects {
		if !listed[name] {
			changes = append(changes, NewRemoval(name, upto))
		}
	}
	return changes
}

// beginEra takes in the first listing of another era.
func (l *Log) beginEra(upto Position, objects, changes []Change) {
	l.record(batch{after: l.known, upto: upto, changes: changes})
	clear(l.objects)
	l.newest = upto.eraStart()
	for _, o := range objects {
		l.objects[o.name] = o
		l.newest = max(l.newest, o.position)
	}
	l.known = upto
}

// Append takes in all changes after a position up to another one. It returns those that are
// new, and false when the log lacks changes before them. Changes that lead into another era
// are taken in only after the known position, as others do not undo what was lost.
func (l *Log) Append(after, upto Position, changes []Change) ([]Change, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after > l.known {
		return nil, false
	}
	if upto <= l.known {
		return nil, true
	}
	if upto.Era() != l.known.Era() && after != l.known {
		return nil, false
	}
	l.append(upto, changes)
	return changes, true
}

// take updates the state with changes that lead to position upto.
func (l *Log) take(upto Position, changes []Change) {
	for _, c := range changes {
		position := c.position
		if c.removed {
			if position <= l.objects[c.name].position {
				// The platform repeated the revision of the object instead of that of its removal.
				position = upto
			}
			delete(l.objects, c.name)
		} else {
			l.objects[c.name] = c
		}
		l.newest = max(l.newest, position)
	}
	if upto.Era() != l.known.Era() && l.known != 0 {
		l.newest = max(l.newest, upto.eraStart())
	}
	l.known = upto
}

func (l *Log) append(upto Position, changes []Change) {
	b := batch{after: l.known, upto: upto, changes: changes}
	l.take(upto, changes)
	if len(changes) > 0 || b.changesEra() { // Otherwise the next batch covers this span as well.
		l.record(b)
	}
}

// record adds a batch to the history, and drops the oldest ones beyond its bounds.
func (l *Log) record(b batch) {
	l.history = append(l.history, b)
	l.changes += len(b.changes)
	l.bytes += dataBytes(b.changes)
	for l.changes > maxHistoryChanges || l.bytes > maxHistoryBytes {
		oldest := l.history[0]
		l.history = l.history[1:]
		l.start = oldest.upto
		l.changes -= len(oldest.changes)
		l.bytes -= dataBytes(oldest.changes)
	}
}

func dataBytes(changes []Change) int {
	n := 0
	for _, c := range changes {
		n += len(c.data)
	}
	return n
}

// Since returns the changes after a position, in order, and the position that they lead to.
// Removals from before that position may be among them, as platforms differ in the revision
// that they state for these. It returns false when the history does not lead on from there.
func (l *Log) Since(after Position) (changes []Change, upto Position, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after < l.start || l.known == 0 {
		return nil, 0, false
	}
	for _, b := range l.history {
		if b.upto <= after {
			continue
		}
		if b.changesEra() && after > b.after {
			return nil, 0, false
		}
		for i, c := range b.changes {
			if c.position > after || c.removed && !isCreatedAgain(c.name, b.changes[i+1:], after) {
				changes = append(changes, c)
			}
		}
	}
	return changes, max(after, l.known), true
}

// isCreatedAgain reports whether an object exists again after its removal, up to a position.
func isCreatedAgain(name string, changes []Change, upto Position) bool {
	return slices.ContainsFunc(changes, func(c Change) bool {
		return c.name == name && !c.removed && c.position <= upto
	})
}

// Reply returns the reply to a pull of another VM: the changes after a position. When the
// history does not lead on from it, the reply has all objects if complete is set, and none
// otherwise: all objects are much to send, and a VM that reaches the platform gets what it
// lacks there with one call.
func (l *Log) Reply(after Position, complete bool) *wire.Changes {
	changes, upto, ok := l.Since(after)
	if !ok {
		if !complete {
			return &wire.Changes{}
		}
		changes, upto = l.all()
	}
	packed, err := pack(changes)
	if err != nil {
		return &wire.Changes{} // The other VM reads the platform.
	}
	return &wire.Changes{Upto: uint64(upto), Complete: !ok, Changes: packed}
}

// all returns all objects and the position up to which they are known.
func (l *Log) all() ([]Change, Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.objects)), l.known
}

// maxUnpackedBytes bounds the changes of one reply.
const maxUnpackedBytes = 16 << 20

// compressors holds writers for reuse, as each takes about 1 MB.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // The level is valid, so there is no error.
	return w
}}

// pack encodes and compresses changes.
func pack(changes []Change) ([]byte, error) {
	list := &wire.ChangeList{Changes: make([]*wire.Change, 0, len(changes))}
	for _, c := range changes {
		list.Changes = append(list.Changes, &wire.Change{Name: c.name, Position: uint64(c.position), Removed: c.removed, Data: c.data})
	}
	data, err := proto.Marshal(list)
	if err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress changes")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress changes")
	}
	return out.Bytes(), nil
}

// unpack is the inverse of pack.
func unpack(packed []byte) ([]Change, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress changes")
	}
	if len(data) > maxUnpackedBytes {
		return nil, errors.Newf("changes of more than %d bytes", maxUnpackedBytes)
	}
	list := &wire.ChangeList{}
	if err := proto.Unmarshal(data, list); err != nil {
		return nil, errors.Wrap(err, "decode changes")
	}
	out := make([]Change, 0, len(list.GetChanges()))
	for _, c := range list.GetChanges() {
		out = append(out, Change{name: c.GetName(), position: Position(c.GetPosition()), removed: c.GetRemoved(), data: c.GetData()})
	}
	return out, nil
}
