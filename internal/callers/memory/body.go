package memory

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

// Body is a request body in memory. It is an io.ReadCloser, so that it can take the place of the
// stream it was read from.
type Body struct {
	data  []byte
	err   error // The body was not read.
	read  int   // Bytes that Read has returned.
	hold  Hold
	users atomic.Int32 // Nobody uses the data any more at 0.
}

const (
	firstBytes   = 16 << 10 // Allocated for a body of unknown length before any of it has arrived.
	doubledBytes = 1 << 20  // Larger buffers grow by a quarter.
	// maxBodyWait is how long the reading of a body of unknown length may stop for memory.
	maxBodyWait = time.Second
)

// ReadBody reads a body of the given length, -1 if it is unknown, into hold. The error is a fault
// of kind MemoryFull when there is no room, or BodyTooLarge for more than maxBytes; any other one is
// that of r. A body of known length is refused before any of it is read.
func ReadBody(ctx context.Context, r io.Reader, length, maxBytes int64, hold Hold) (*Body, error) {
	b := &Body{hold: hold}
	b.users.Store(1)
	var err error
	if length >= 0 {
		err = b.readKnown(r, length, maxBytes)
	} else {
		err = b.readUnknown(ctx, r, maxBytes)
		b.hold.Settle()
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// NotRead returns the body of a request that is answered without it.
func NotRead(err error) *Body { return &Body{err: err} }

func (b *Body) readKnown(r io.Reader, length, maxBytes int64) error {
	if length > maxBytes {
		return fault.New(fault.BodyTooLarge, "%d bytes", length)
	}
	if !b.hold.Grow(length) {
		return fault.New(fault.MemoryFull, "no room for a body of %d bytes", length)
	}
	b.data = make([]byte, length)
	_, err := io.ReadFull(r, b.data)
	return err
}

func (b *Body) readUnknown(ctx context.Context, r io.Reader, maxBytes int64) error {
	var next [1]byte // Tells whether a body that fills its buffer ends there.
	for size := int64(firstBytes); ; size = nextSize(size) {
		if err := b.grow(ctx, min(size, maxBytes)); err != nil {
			return err
		}
		if len(b.data) > 0 {
			b.data = append(b.data, next[0])
		}
		n, err := readFull(r, b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == nil {
			_, err = readFull(r, next[:])
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case int64(len(b.data)) == maxBytes:
			return fault.New(fault.BodyTooLarge, "more than %d bytes", maxBytes)
		}
	}
}

// readFull reads until p is full or r ends, with the error of r. io.ReadFull does not tell the end of r
// from a body that breaks off.
func readFull(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	if n == len(p) {
		err = nil // A further read returns it again.
	}
	return n, err
}

// nextSize returns the capacity that follows a full one. While a buffer grows, both are held.
func nextSize(size int64) int64 {
	if size < doubledBytes {
		return 2 * size
	}
	return size + size/4
}

// grow gives the data a capacity of size bytes. It waits for room for a while, in which the caller
// is not read from.
func (b *Body) grow(ctx context.Context, size int64) error {
	ctx, cancel := context.WithTimeout(ctx, maxBodyWait)
	defer cancel()
	if err := b.hold.GrowWait(ctx, size); err != nil {
		return err
	}
	used := int64(cap(b.data))
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	b.hold.Shrink(used)
	return nil
}

// Bytes returns the whole body, or the reason why it was not read.
func (b *Body) Bytes() ([]byte, error) { return b.data, b.err }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.read == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:])
	b.read += n
	return n, nil
}

// Close implements io.Closer. The memory is given back by Release only.
func (b *Body) Close() error { return nil }

// Retain adds a user of the data, whose Release gives it back. It reports false when it was given
// back before.
func (b *Body) Retain() bool {
	for n := b.users.Load(); n > 0; n = b.users.Load() {
		if b.users.CompareAndSwap(n, n+1) {
			return true
		}
	}
	return false
}

// Release ends the use of the data by one user. The last one gives the memory back.
func (b *Body) Release() {
	if b.users.Add(-1) == 0 {
		b.hold.Release()
	}
}
