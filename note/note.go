package note

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/strict"
)

// MaxNoteBytes is the maximum size of a note, in bytes. The first note of a fleet with
// 25,000 routes and 53,000 accounts has about 12 MB.
const MaxNoteBytes = 16 << 20

// Problem is one reason why a note is refused.
type Problem = strict.Problem

// Problems lists every reason why a note is refused.
type Problems = strict.Problems

// Note is a release note: a set of changes to the release of generation BaseGeneration.
// An item in Changed replaces the whole item of the same name.
type Note struct {
	ID             string    `json:"id"`
	BaseGeneration uint64    `json:"base"`
	Added          Items     `json:"added,omitzero"`
	Changed        Items     `json:"changed,omitzero"`
	Withdrawn      ItemNames `json:"withdrawn,omitzero"`
}

// Items holds complete items that a note adds or replaces.
type Items struct {
	Services []Service `json:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
	Accounts []Account `json:"accounts,omitempty"`
}

// ItemNames holds the names of items that a note withdraws.
type ItemNames struct {
	Services []string `json:"services,omitempty"`
	Routes   []string `json:"routes,omitempty"`
	Accounts []string `json:"accounts,omitempty"`
}

// Parse decodes a note from JSON. It refuses unknown and repeated field names, names in
// another case, null, values of the wrong type, trailing data and input above
// MaxNoteBytes. The error is of type Problems and lists every problem found. Apply
// checks the values of the items.
func Parse(data []byte) (*Note, error) {
	n := &Note{}
	if problems := strict.Decode("note", data, MaxNoteBytes, n); len(problems) > 0 {
		return nil, problems
	}
	return n, nil
}

// Digest returns a digest of the note without BaseGeneration. An operator who lost the
// response to an accepted note sends it again with the newer generation as its base; the
// digest is then the same, so the duplicate is recognised.
func (n *Note) Digest() (Digest, error) {
	withoutBase := *n
	withoutBase.BaseGeneration = 0
	data, err := json.Marshal(&withoutBase)
	if err != nil {
		return Digest{}, fault.Wrap(fault.Invalid, err, "note")
	}
	return sha256.Sum256(data), nil
}
