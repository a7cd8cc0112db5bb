// Package store is the client of the platform's object API. It requires no
// guarantees of the platform beyond versions, conditional updates and watches. After an
// error of kind fault.PlatformDown it is unknown whether a write took effect. A writer
// that gets one has to read the object again and check for its own write.
package store

import (
	"context"

	"github.com/azuredeal/azuredeal/fault"
)

// Version identifies one state of an object. Each write to an object increases its
// version. It holds the number that the platform gave out and the era in which it stated it,
// as the platform gives out numbers again when it comes back from a copy. The number 0 stands
// for an object that does not exist.
type Version uint64

// FirstEra is the era of a platform that has never come back from a copy.
const FirstEra = 1

const (
	eraShift  = 40
	maxNumber = 1<<eraShift - 1
	maxEra    = 1 << (64 - eraShift)
)

// NewVersion returns the version of a number in an era. It returns an error of kind
// PlatformDown when one of them is out of range.
func NewVersion(era, number uint64) (Version, error) {
	if era < FirstEra || era > maxEra || number > maxNumber {
		return 0, fault.New(fault.PlatformDown, "era %d or version %d is out of range", era, number)
	}
	return Version((era-FirstEra)<<eraShift | number), nil
}

// Era returns the era of the platform in which it stated the version. The era rises by one
// each time the platform comes back from a copy, which lacks what was written since.
func (v Version) Era() uint64 { return uint64(v>>eraShift) + FirstEra }

// Number returns the version as the platform states it within the era.
func (v Version) Number() uint64 { return uint64(v & maxNumber) }

// Exists reports whether the object exists.
func (v Version) Exists() bool { return v.Number() != 0 }

// Object is a value with its version.
type Object struct {
	Value   []byte
	Version Version
}

// ObjectInfo describes one object of a listing.
type ObjectInfo struct {
	Name    string
	Version Version
}

// VM is one entry of the platform's list of VMs. The list may lag behind the
// actual set of VMs.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"`  // Address for connections between VMs, "ip:port".
	Entry   string `json:"entry"` // Address for callers, "ip:port".
	Leaving bool   `json:"leaving"`
}

// MaxValueBytes is the largest size of a value that the platform stores.
const MaxValueBytes = 1 << 20

// Client accesses the platform. Tests replace individual fields.
//
// Errors have kinds of package fault: Conflict when the object is not at version cond,
// PlatformDown when the platform did not respond or its response leaves the outcome
// unknown, Invalid for a malformed name or a value above MaxValueBytes, and Internal when
// the platform refused the request for another reason. Reading an object that does not
// exist returns a version that does not exist and no error.
type Client struct {
	Get func(ctx context.Context, name string) (Object, error)
	// Put writes value if the object is at version cond and the platform in its era, and
	// returns the new version. A version that does not exist requires that the object does not
	// exist.
	Put func(ctx context.Context, name string, value []byte, cond Version) (Version, error)
	// Delete removes the object if it is at version cond.
	Delete func(ctx context.Context, name string, cond Version) error
	List   func(ctx context.Context, prefix string) ([]ObjectInfo, error)
	// Watch is a long poll. It returns the object once its version is above after, which it is
	// in a later era, or the unchanged object when that does not happen within the wait of the
	// server.
	Watch   func(ctx context.Context, name string, after Version) (Object, error)
	ListVMs func(ctx context.Context) ([]VM, error)
}
