package peer

import (
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
)

// Bounds of one message, in bytes.
const (
	maxMessage   = 1 << 20
	maxHeartbeat = 64 << 10
)

const lengthSize = 4 // Bytes of the big-endian length in front of a message.

// encodeFrame returns m with its length in front. A message above limit gives
// fault.Invalid, and nothing has been written then.
func encodeFrame(m proto.Message, limit int) ([]byte, error) {
	size := proto.Size(m)
	if size > limit {
		return nil, fault.New(fault.Invalid, "message of %d bytes exceeds %d", size, limit)
	}
	frame := make([]byte, lengthSize, lengthSize+size)
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, m)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "encode message")
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthSize))
	return frame, nil
}

// readFrame reads one message into m and returns its size with the length
// prefix. The length is checked before any memory is allocated for the message,
// so a peer cannot make this VM reserve more than limit bytes.
func readFrame(r io.Reader, m proto.Message, limit int) (int, error) {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > uint32(limit) {
		return 0, fault.New(fault.Invalid, "message of %d bytes exceeds %d", size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, err
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return 0, fault.Wrap(fault.Invalid, err, "decode message")
	}
	return lengthSize + int(size), nil
}
