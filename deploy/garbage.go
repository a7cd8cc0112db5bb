package deploy

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/store"
)

const (
	// collectDelay is how long an object that no release refers to stays, for
	// readers that hold an older head. They need seconds; a reader that comes
	// later finds a chunk missing and reads head again.
	collectDelay = 10 * time.Minute
	maxDeletes   = 64   // In one run, to stay well below the platform's write rate.
	maxMarks     = 4096 // About 600 KB of marks.
)

// mark states that an object existed at a version while head was at a
// generation, and that the release then did not refer to it.
type mark struct {
	Name       string        `json:"name"`
	Version    store.Version `json:"version"`
	Generation uint64        `json:"generation"`
	Since      int64         `json:"since"` // Unix time, in seconds.
}

// collector deletes chunks and manifests that no release refers to. It runs
// after a commit and remembers candidates in an object of the platform, so that
// the next publisher continues.
//
// It never deletes what a release comes to refer to. A publisher gives every
// object that it adds to a release a new version and commits only on the head
// that it read before. A mark of generation g is used after the commit of a
// later generation: whoever wrote the marked version has committed by then, or
// its commit fails. If the later release does not refer to the object, no
// release does until a publisher gives it a new version, and the deletion is
// conditional on the marked one.
type collector struct {
	client *store.Client
}

// run marks and deletes after the commit of a generation with that encoding. It
// returns how many objects it deleted.
func (c *collector) run(ctx context.Context, generation uint64, encoded *note.EncodedRelease) (int, error) {
	o, marks, err := c.marks(ctx)
	if err != nil {
		return 0, err
	}
	entries, err := c.client.List(ctx, releasePrefix)
	if err != nil {
		return 0, err
	}
	// Head is read after the listing, so the generation in a new mark is not
	// below the base of whoever wrote the listed version.
	h, err := readHead(ctx, c.client)
	if err != nil {
		return 0, err
	}
	known := make(map[string]mark, len(marks))
	for _, m := range marks {
		known[m.Name] = m
	}
	now := time.Now().Unix()
	deleted := 0
	kept := []mark{}
	for _, e := range entries {
		if !collectable(e.Name, encoded) || len(kept) == maxMarks {
			continue
		}
		m, ok := known[e.Name]
		if !ok || m.Version != e.Version {
			kept = append(kept, mark{Name: e.Name, Version: e.Version, Generation: h.generation, Since: now})
			continue
		}
		due := m.Generation < generation && now-m.Since >= int64(collectDelay/time.Second)
		if due && deleted < maxDeletes && c.client.Delete(ctx, e.Name, e.Version) == nil {
			deleted++
			continue
		}
		kept = append(kept, m)
	}
	return deleted, c.save(ctx, o, kept)
}

// collectable reports whether the release does not refer to the object.
func collectable(name string, encoded *note.EncodedRelease) bool {
	if digest, ok := strings.CutPrefix(name, manifestPrefix); ok {
		return digest != encoded.Manifest().Digest().String()
	}
	digest, ok := strings.CutPrefix(name, chunkPrefix)
	return ok && !encoded.HasChunk(digest)
}

func (c *collector) marks(ctx context.Context) (store.Object, []mark, error) {
	o, err := c.client.Get(ctx, garbageName)
	if err != nil {
		return o, nil, err
	}
	var marks []mark
	if o.Version != 0 && json.Unmarshal(o.Value, &marks) != nil {
		marks = nil // Marks are found again; a damaged list must not stop the collection.
	}
	return o, marks, nil
}

// save replaces the marks. Where another publisher came first, its marks stay.
func (c *collector) save(ctx context.Context, o store.Object, marks []mark) error {
	data, err := json.Marshal(marks)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "marks")
	}
	if string(data) == string(o.Value) || (o.Version == 0 && len(marks) == 0) {
		return nil
	}
	_, err = c.client.Put(ctx, garbageName, data, o.Version)
	return err
}
