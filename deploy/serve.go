package deploy

import (
	"cmp"
	"slices"
	"time"

	"github.com/azuredeal/azuredeal/note"
)

// HandleFetch answers a peer: the encoded head, and those of the objects that belong
// to the release in effect. What is over the size of one message is left out;
// the peer asks again. The bytes must not be changed. Nothing but the release in
// effect is kept for peers.
func (f *Follower) HandleFetch(digests [][]byte) (head []byte, chunks [][]byte) {
	e := f.current.Load()
	if e == nil {
		return nil, nil
	}
	size := 0
	for _, b := range digests {
		d, err := note.ParseDigest(b)
		if err != nil {
			continue
		}
		c, ok := e.encoded.Find(d)
		if !ok {
			continue
		}
		size += len(c.Data())
		if size > note.MaxChunkBytes {
			break
		}
		chunks = append(chunks, c.Data())
	}
	return e.head.data, chunks
}

// FollowerDump is the state of a follower for the state dump.
type FollowerDump struct {
	Generation uint64      `json:"generation"` // 0 when no release is in effect.
	Manifest   string      `json:"manifest"`   // SHA-256, hex.
	Source     string      `json:"source"`     // "platform", or the peer that the release came from.
	Since      time.Time   `json:"since"`
	Watch      bool        `json:"watch"` // Whether this VM holds a watch on head.
	Services   int         `json:"services"`
	Routes     int         `json:"routes"`
	Accounts   int         `json:"accounts"`
	Chunks     int         `json:"chunks"`
	Bytes      int         `json:"bytes"`   // Of the chunks kept for peers.
	Applied    uint64      `json:"applied"` // Releases that took effect.
	Behind     uint64      `json:"behind"`  // Heads with a lower generation, which were ignored.
	Forked     uint64      `json:"forked"`  // Heads with this generation and another manifest, which were ignored.
	Failed     uint64      `json:"failed"`  // Loads and platform calls that failed.
	Checked    uint64      `json:"checked"` // Heads read from the platform.
	Offers     []OfferDump `json:"offers"`
}

// OfferDump is a peer that has a newer release.
type OfferDump struct {
	Peer       string `json:"peer"`
	Generation uint64 `json:"generation"`
	Fails      int    `json:"fails"` // Loads from the peer that failed in a row.
}

// Dump returns the state of the follower.
func (f *Follower) Dump() FollowerDump {
	d := FollowerDump{
		Applied: f.counts.applied.Load(),
		Behind:  f.counts.behind.Load(),
		Forked:  f.counts.forked.Load(),
		Failed:  f.counts.failed.Load(),
		Checked: f.counts.checked.Load(),
		Offers:  []OfferDump{},
	}
	if e := f.current.Load(); e != nil {
		d.Generation = e.release.Generation()
		d.Manifest = e.head.manifest.String()
		d.Source, d.Since = e.source, e.since
		d.Services, d.Routes, d.Accounts = e.release.Counts()
		d.Chunks, d.Bytes = len(e.encoded.Chunks()), e.encoded.Size()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d.Watch = f.watch
	for peer, o := range f.offers {
		d.Offers = append(d.Offers, OfferDump{Peer: peer, Generation: o.generation, Fails: o.wait.fails})
	}
	slices.SortFunc(d.Offers, func(a, b OfferDump) int { return cmp.Compare(a.Peer, b.Peer) })
	return d
}
