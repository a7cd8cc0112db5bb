// Package store is the client of the platform's object API. It assumes versions,
// conditional updates and watches, and nothing else. An error of kind
// fault.PlatformDown leaves open whether a write took effect; a writer that gets
// one reads back and recognises its own write.
package store

import "context"

// Version identifies one state of an object. Versions of an object grow; 0
// stands for an object that does not exist.
type Version uint64

// Object is one value with its version.
type Object struct {
	Value   []byte
	Version Version
}

// ObjectInfo is one row of a listing.
type ObjectInfo struct {
	Name    string
	Version Version
}

// VM is one row of the platform's list of entry VMs. The list lags.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"`  // Address for links between VMs, "ip:port".
	Entry   string `json:"entry"` // Address for callers, "ip:port".
	Leaving bool   `json:"leaving"`
}

// MaxValueBytes is the largest value that the platform holds, in bytes.
const MaxValueBytes = 1 << 20

// Client reaches the platform. Its fields are seams that tests replace.
//
// Errors are faults: Conflict when a condition did not hold, PlatformDown when
// there was no answer. Reading an object that does not exist gives Version 0
// and no error.
type Client struct {
	Get func(ctx context.Context, name string) (Object, error)
	// Put writes value if the object is at version cond; 0 asks that it does not
	// exist.
	Put    func(ctx context.Context, name string, value []byte, cond Version) (Version, error)
	Delete func(ctx context.Context, name string, cond Version) error
	List   func(ctx context.Context, prefix string) ([]ObjectInfo, error)
	// Watch returns the object once its version is above after. When nothing
	// changes within the server's wait it returns the object unchanged.
	Watch   func(ctx context.Context, name string, after Version) (Object, error)
	ListVMs func(ctx context.Context) ([]VM, error)
}
