package feed

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Position is a place in the history of the platform's store: a revision together with the
// era in which the store gave it out. The store begins a new era when it comes back from a
// copy, and then gives out revisions again that it had given out since the copy was made.
//
// Every position of an era is above those of the eras before it, so that positions compare
// as numbers, also across eras. The zero Position is that of a VM that knows nothing.
type Position uint64

const revisionBits = 40

// Bounds of the parts of a position.
const (
	MaxRevision = 1<<revisionBits - 1
	MaxEra      = 1<<(64-revisionBits) - 1
)

// NewPosition returns the position of a revision in an era. The era is 0 on a store that
// states none. It returns an error if one of them is beyond its bound.
func NewPosition(era, revision uint64) (Position, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, errors.Newf("era %d or revision %d is out of range", era, revision)
	}
	return Position(era<<revisionBits | revision), nil
}

// Era returns the era of the position, 0 on a store that states none.
func (p Position) Era() uint64 { return uint64(p >> revisionBits) }

// Revision returns the revision, which means something only within the era.
func (p Position) Revision() uint64 { return uint64(p & MaxRevision) }

// eraStart returns the position before all changes of the era of p.
func (p Position) eraStart() Position { return p &^ MaxRevision }

// String returns the era and the revision, as in "2/57".
func (p Position) String() string {
	return strconv.FormatUint(p.Era(), 10) + "/" + strconv.FormatUint(p.Revision(), 10)
}
