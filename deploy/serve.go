package deploy

import (
	"cmp"
	"slices"
	"time"

	"github.com/azuredeal/azuredeal/note"
)

// HandleFetch handles the fetch request of a peer. It returns the encoded head and
// the requested objects that belong to the applied release, or nil if there is no
// release yet. Objects beyond note.MaxChunkBytes in total are omitted, and the
// peer requests them again. Only the applied release is kept for peers. The
// returned bytes must not be modified.
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

// FollowerDump is the state of a follower in the state dump.
type FollowerDump struct {
	Generation uint64      `json:"generation"` // 0 if no release is applied.
	Manifest   string      `json:"manifest"`   // SHA-256, hex.
	Source     string      `json:"source"`     // "platform", "self" if committed by this VM, or the peer that it was loaded from.
	Since      time.Time   `json:"since"`      // When the release was applied.
	Watch      bool        `json:"watch"`      // Whether this VM watches head.
	Services   int         `json:"services"`
	Routes     int         `json:"routes"`
	Accounts   int         `json:"accounts"`
	Chunks     int         `json:"chunks"`
	Bytes      int         `json:"bytes"`   // Total size of the chunks kept for peers.
	Applied    uint64      `json:"applied"` // Releases that were applied.
	Behind     uint64      `json:"behind"`  // Ignored heads with a lower generation.
	Forked     uint64      `json:"forked"`  // Ignored heads with the applied generation but another manifest.
	Failed     uint64      `json:"failed"`  // Failed loads and failed reads of head.
	Checked    uint64      `json:"checked"` // Heads read from the platform.
	Offers     []OfferDump `json:"offers"`
}

// OfferDump describes a peer that offers a newer release.
type OfferDump struct {
	Peer       string `json:"peer"`
	Generation uint64 `json:"generation"`
	Fails      int    `json:"fails"` // Failed loads from the peer since the offer was recorded.
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
		d.Offers = append(d.Offers, OfferDump{Peer: peer, Generation: o.generation, Fails: o.retry.failures})
	}
	slices.SortFunc(d.Offers, func(a, b OfferDump) int { return cmp.Compare(a.Peer, b.Peer) })
	return d
}
