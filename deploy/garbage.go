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
	// collectDelay is how long an object that no release refers to is kept, for
	// readers that hold an older head. They need seconds; a reader that takes
	// longer finds a chunk missing and reads head again.
	collectDelay     = 10 * time.Minute
	maxDeletesPerRun = 64   // Keeps a run well below the platform's write rate.
	maxMarks         = 4096 // About 600 KB of encoded marks.
)

// mark records that an object existed at a version while head was at a
// generation, and that the release of that time did not refer to it.
type mark struct {
	Name       string        `json:"name"`
	Version    store.Version `json:"version"`
	Generation uint64        `json:"generation"`
	Since      int64         `json:"since"` // Unix time, in seconds.
}

// collector deletes chunks and manifests that no release refers to. It runs
// after a commit and stores the candidates in an object of the platform, so that
// the next publisher can continue with them.
//
// It never deletes an object that a later release refers to. A publisher writes
// every object that it adds to a release at a new version, and its commit is a
// compare-and-swap on the head that it read before. A mark of generation g is
// used only after the commit of a later generation: by then the publisher that
// wrote the marked version has committed, or its commit will fail. If the later
// release does not refer to the object, no release does until a publisher writes
// a new version of it, and the deletion is conditional on the marked version.
type collector struct {
	client *store.Client
}

// run marks and deletes objects that the committed release, given by its
// generation and encoding, does not refer to. It returns how many it deleted.
func (c *collector) run(ctx context.Context, generation uint64, encoded *note.EncodedRelease) (int, error) {
	o, marks, err := c.marks(ctx)
	if err != nil {
		return 0, err
	}
	objects, err := c.client.List(ctx, releasePrefix)
	if err != nil {
		return 0, err
	}
	// Head is read after the listing, so the generation in a new mark is not
	// below the base generation of the publisher that wrote the listed version.
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
	remaining := []mark{}
	for _, object := range objects {
		if !isGarbage(object.Name, encoded) || len(remaining) == maxMarks {
			continue
		}
		m, ok := known[object.Name]
		if !ok || m.Version != object.Version {
			remaining = append(remaining, mark{Name: object.Name, Version: object.Version, Generation: h.generation, Since: now})
			continue
		}
		deletable := m.Generation < generation && now-m.Since >= int64(collectDelay/time.Second)
		if deletable && deleted < maxDeletesPerRun && c.client.Delete(ctx, object.Name, object.Version) == nil {
			deleted++
			continue
		}
		remaining = append(remaining, m)
	}
	return deleted, c.saveMarks(ctx, o, remaining)
}

// isGarbage reports whether name is a chunk or manifest that the release does not
// refer to.
func isGarbage(name string, encoded *note.EncodedRelease) bool {
	if digest, ok := strings.CutPrefix(name, manifestPrefix); ok {
		return digest != encoded.Manifest().Digest().String()
	}
	digest, ok := strings.CutPrefix(name, chunkPrefix)
	return ok && !encoded.HasChunk(digest)
}

// marks reads the stored marks and the object that holds them.
func (c *collector) marks(ctx context.Context) (store.Object, []mark, error) {
	o, err := c.client.Get(ctx, garbageName)
	if err != nil {
		return o, nil, err
	}
	var marks []mark
	if o.Version.Exists() && json.Unmarshal(o.Value, &marks) != nil {
		marks = nil // The next run marks the objects again; a damaged list must not stop garbage collection.
	}
	return o, marks, nil
}

// saveMarks replaces the stored marks if they are still at the version of o; if
// another publisher has replaced them, it returns an error.
func (c *collector) saveMarks(ctx context.Context, o store.Object, marks []mark) error {
	data, err := json.Marshal(marks)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "marks")
	}
	if string(data) == string(o.Value) || (!o.Version.Exists() && len(marks) == 0) {
		return nil
	}
	_, err = c.client.Put(ctx, garbageName, data, o.Version)
	return err
}
