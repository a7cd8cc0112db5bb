package idem

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

const (
	issuedPrefix = "azk1." // Distinguishes issued keys from keys that callers chose.
	maxKeyBytes  = 255     // Longest accepted Idempotency-Key.
	randomBytes  = 16
	fixedBytes   = 8 + 8 + randomBytes // Incarnation, expiry, random part.
	macContext   = "azuredeal issued idempotency key 1\x00"
)

// keyEncoding is strict, so that no two encoded texts decode to the same bytes. The
// ledger compares keys as texts and would treat a second encoding as another key.
var keyEncoding = base64.RawURLEncoding.Strict()

// KeyIssuer issues keys that this VM owns and parses the issued keys of all VMs.
type KeyIssuer struct {
	secret []byte
	self   Owner
}

// NewKeyIssuer returns the key issuer of the VM self. The secret is the shared key of the
// fleet, with which issued keys are signed.
func NewKeyIssuer(secret []byte, self Owner) *KeyIssuer {
	return &KeyIssuer{secret: secret, self: self}
}

// IssuedKey holds the decoded fields of an issued key.
type IssuedKey struct {
	owner  Owner
	expiry time.Time
}

// Owner returns the only VM that may dispatch the key.
func (i IssuedKey) Owner() Owner { return i.owner }

// Expiry returns the time at which the key expires.
func (i IssuedKey) Expiry() time.Time { return i.expiry }

// Issue returns a new key that this VM owns.
func (k *KeyIssuer) Issue(now time.Time) string {
	raw := make([]byte, 0, fixedBytes+len(k.self.peerAddr)+sha256.Size)
	raw = binary.BigEndian.AppendUint64(raw, k.self.incarnation)
	raw = binary.BigEndian.AppendUint64(raw, uint64(now.Add(KeyTTL).Unix()))
	random := make([]byte, randomBytes)
	_, _ = rand.Read(random) // Never fails.
	raw = append(raw, random...)
	raw = append(raw, k.self.peerAddr...)
	raw = append(raw, k.mac(raw)...)
	return issuedPrefix + keyEncoding.EncodeToString(raw)
}

// Parse checks the signature of an issued key and decodes it. For a key that the caller
// chose, ok is false. The error is KeyInvalid. Parse does not check the expiry.
func (k *KeyIssuer) Parse(key string) (issued IssuedKey, ok bool, err error) {
	if key == "" || len(key) > maxKeyBytes {
		return IssuedKey{}, false, fault.New(fault.KeyInvalid, "key of %d bytes, want 1 to %d", len(key), maxKeyBytes)
	}
	encoded, ok := strings.CutPrefix(key, issuedPrefix)
	if !ok {
		return IssuedKey{}, false, nil
	}
	raw, err := keyEncoding.DecodeString(encoded)
	if err != nil || len(raw) < fixedBytes+sha256.Size || strings.ContainsAny(encoded, "\r\n") {
		return IssuedKey{}, true, fault.New(fault.KeyInvalid, "malformed issued key")
	}
	signed, mac := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !hmac.Equal(mac, k.mac(signed)) {
		return IssuedKey{}, true, fault.New(fault.KeyInvalid, "wrong signature of an issued key")
	}
	return IssuedKey{
		owner:  NewOwner(binary.BigEndian.Uint64(signed), string(signed[fixedBytes:])),
		expiry: time.Unix(int64(binary.BigEndian.Uint64(signed[8:])), 0),
	}, true, nil
}

// mac returns the HMAC of an issued key. macContext separates it from the other use of
// the shared key, the authentication of connections between VMs.
func (k *KeyIssuer) mac(signed []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	_, _ = h.Write([]byte(macContext))
	_, _ = h.Write(signed)
	return h.Sum(nil)
}
