package peer

import (
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
)

// Maximum size of one message, in bytes.
const (
	maxMessageBytes   = 1 << 20
	maxHeartbeatBytes = 64 << 10
)

const lengthPrefixBytes = 4 // Size of the big-endian length prefix of a message.

// encodeFrame returns m with a length prefix. The error is fault.Invalid if m is
// larger than maxBytes or cannot be encoded.
func encodeFrame(m proto.Message, maxBytes int) ([]byte, error) {
	size := proto.Size(m)
	if size > maxBytes {
		return nil, fault.New(fault.Invalid, "message of %d bytes exceeds %d", size, maxBytes)
	}
	frame := make([]byte, lengthPrefixBytes, lengthPrefixBytes+size)
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, m)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "encode message")
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthPrefixBytes))
	return frame, nil
}

// readFrame reads one message into m and returns its size including the length
// prefix. The length is checked before memory is allocated for the message, so a
// peer cannot make this VM allocate more than maxBytes, and is added to hold, from which it
// is not taken away again.
func readFrame(r io.Reader, m proto.Message, maxBytes int, hold *memory.Hold) (int, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > uint32(maxBytes) {
		return 0, fault.New(fault.Invalid, "message of %d bytes exceeds %d", size, maxBytes)
	}
	if !hold.Grow(int64(size)) {
		return 0, fault.New(fault.MemoryFull, "no room for a message of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, err
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return 0, fault.Wrap(fault.Invalid, err, "decode message")
	}
	return lengthPrefixBytes + int(size), nil
}
