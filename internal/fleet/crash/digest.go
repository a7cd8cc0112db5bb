// Package crash knows requests by what they ask for, and finds those that crash the backend
// servers that run them.
package crash

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// Digest identifies a request by what it asks for. Attempts, repeats by the caller and copies
// that arrive at other VMs have the same digest.
type Digest uint64

// String returns the digest in hexadecimal.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

const digestDigits = 16 // Hexadecimal digits of a digest.

// ParseDigest parses the result of Digest.String.
func ParseDigest(text string) (Digest, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return Digest(n), err == nil && len(text) == digestDigits
}

// Request is what a request asks for. The request id, the deadline and other header fields that
// differ between copies of a request are not part of it.
type Request struct {
	Method, Host, Target string
	// Account is the account of the caller, and Credentials the value of Authorization.
	Account, Credentials string
	Body                 []byte
}

// Hasher computes digests. They depend on a secret of the fleet, so that nobody outside of it
// can construct two requests with the same digest.
type Hasher struct{ key []byte }

// NewHasher returns a Hasher for the secret of the fleet.
func NewHasher(secret []byte) *Hasher {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("azuredeal request digest")) // Separates this use of the secret from others.
	return &Hasher{key: mac.Sum(nil)}
}

// Digest returns the digest of a request.
func (h *Hasher) Digest(r Request) Digest {
	mac := hmac.New(sha256.New, h.key)
	var length [8]byte
	for _, part := range []string{r.Method, strings.ToLower(r.Host), r.Target, r.Account, r.Credentials} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write([]byte(part))
	}
	mac.Write(r.Body)
	return Digest(binary.BigEndian.Uint64(mac.Sum(nil)))
}

// Process identifies one process of a backend server.
type Process uint32

// ProcessOf returns the identity of the process with the given id and start at an address of a
// service.
func ProcessOf(service, addr, instance string, start uint64) Process {
	h := fnv.New32a()
	for _, part := range []string{service, addr, instance, strconv.FormatUint(start, 10)} {
		_, _ = h.Write([]byte(part)) // A hash never fails to write.
		_, _ = h.Write([]byte{0})
	}
	return Process(h.Sum32())
}
