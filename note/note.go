package note

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/strict"
)

// MaxNoteBytes is the largest note, in bytes. The first note of a fleet with 25,000
// routes and 53,000 accounts has about 12 MB.
const MaxNoteBytes = 16 << 20

// Problem is one reason why a note is refused.
type Problem = strict.Problem

// Problems lists every reason why a note is refused.
type Problems = strict.Problems

// Note is a release note: what it changes in the release of generation Base. An
// item in Changed replaces the item of its name as a whole.
type Note struct {
	ID             string    `json:"id"`
	BaseGeneration uint64    `json:"base"`
	Added          Items     `json:"added,omitzero"`
	Changed        Items     `json:"changed,omitzero"`
	Withdrawn      ItemNames `json:"withdrawn,omitzero"`
}

// Items holds whole items.
type Items struct {
	Services []Service `json:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
	Accounts []Account `json:"accounts,omitempty"`
}

// ItemNames holds names of items.
type ItemNames struct {
	Services []string `json:"services,omitempty"`
	Routes   []string `json:"routes,omitempty"`
	Accounts []string `json:"accounts,omitempty"`
}

// Parse reads a note from JSON. It refuses unknown and repeated field names, names
// in another case, null, values of the wrong type, trailing data and more than
// MaxNote bytes; an error is of type Problems and lists all of them. The items
// are checked by Apply.
func Parse(data []byte) (*Note, error) {
	n := &Note{}
	if problems := strict.Decode("note", data, MaxNoteBytes, n); len(problems) > 0 {
		return nil, problems
	}
	return n, nil
}

// Digest identifies the content of the note: all but Base, so that a note which
// was accepted without its operator learning so is recognised when it comes
// again against the newer generation.
func (n *Note) Digest() (Digest, error) {
	plain := *n
	plain.BaseGeneration = 0
	data, err := json.Marshal(&plain)
	if err != nil {
		return Digest{}, fault.Wrap(fault.Invalid, err, "note")
	}
	return sha256.Sum256(data), nil
}
