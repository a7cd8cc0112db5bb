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
	issuedPrefix = "azk1." // Tells issued keys from callers' own.
	keyMost      = 255     // Length of an Idempotency-Key, in bytes.
	randomSize   = 16
	fixedSize    = 8 + 8 + randomSize // Incarnation, expiry, random part.
	macContext   = "azuredeal issued idempotency key 1\x00"
)

// keyText rejects texts that decode to the same bytes as another one, since each
// text is a key of its own in the ledger.
var keyText = base64.RawURLEncoding.Strict()

// KeyIssuer issues and parses the keys that VMs of the fleet hand out.
type KeyIssuer struct {
	secret []byte
	self   Owner
}

// NewKeyIssuer returns the keys of one VM. secret is the key that the fleet shares.
func NewKeyIssuer(secret []byte, self Owner) *KeyIssuer {
	return &KeyIssuer{secret: secret, self: self}
}

// IssuedKey is what an issued key says.
type IssuedKey struct {
	owner  Owner
	expiry time.Time
}

// Owner returns the VM that alone may dispatch the key.
func (i IssuedKey) Owner() Owner { return i.owner }

// Expiry returns when the key ceases to be valid.
func (i IssuedKey) Expiry() time.Time { return i.expiry }

// Issue returns a new key that this VM owns.
func (k *KeyIssuer) Issue(now time.Time) string {
	raw := make([]byte, 0, fixedSize+len(k.self.peer)+sha256.Size)
	raw = binary.BigEndian.AppendUint64(raw, k.self.incarnation)
	raw = binary.BigEndian.AppendUint64(raw, uint64(now.Add(KeyTTL).Unix()))
	random := make([]byte, randomSize)
	_, _ = rand.Read(random) // Never fails.
	raw = append(raw, random...)
	raw = append(raw, k.self.peer...)
	raw = append(raw, k.mac(raw)...)
	return issuedPrefix + keyText.EncodeToString(raw)
}

// Parse returns what an issued key says; ok is false for a caller's own key. The
// error is KeyInvalid. It does not check the expiry.
func (k *KeyIssuer) Parse(key string) (issued IssuedKey, ok bool, err error) {
	if key == "" || len(key) > keyMost {
		return IssuedKey{}, false, fault.New(fault.KeyInvalid, "key of %d bytes, want 1 to %d", len(key), keyMost)
	}
	text, ok := strings.CutPrefix(key, issuedPrefix)
	if !ok {
		return IssuedKey{}, false, nil
	}
	raw, err := keyText.DecodeString(text)
	if err != nil || len(raw) < fixedSize+sha256.Size || strings.ContainsAny(text, "\r\n") {
		return IssuedKey{}, true, fault.New(fault.KeyInvalid, "malformed issued key")
	}
	signed, mac := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !hmac.Equal(mac, k.mac(signed)) {
		return IssuedKey{}, true, fault.New(fault.KeyInvalid, "wrong signature of an issued key")
	}
	return IssuedKey{
		owner:  NewOwner(binary.BigEndian.Uint64(signed), string(signed[fixedSize:])),
		expiry: time.Unix(int64(binary.BigEndian.Uint64(signed[8:])), 0),
	}, true, nil
}

// mac signs for this purpose only: the fleet's key also proves links between VMs.
func (k *KeyIssuer) mac(signed []byte) []byte {
	h := hmac.New(sha256.New, k.secret)
	_, _ = h.Write([]byte(macContext))
	_, _ = h.Write(signed)
	return h.Sum(nil)
}
