package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// hashSize is the size of a key's hash, in bytes.
const hashSize = sha256.Size

// keyIDBytes is how much of the hash names a key, in bytes.
const keyIDBytes = 8

// KeyID names one key: the first digits of its hash. Another key never has the
// identifier of a withdrawn one, whatever the document says.
type KeyID string

// Key is one key of a client account, known by its hash alone.
//
// The hash is a plain SHA-256. Keys are 256 random bits made by the program, so
// there is no dictionary to try and a slow hash would only cost each login.
type Key struct {
	id        KeyID
	hash      [hashSize]byte
	label     string
	withdrawn bool
}

// ID returns the key's identifier.
func (k Key) ID() KeyID { return k.id }

// Label returns the operator's note about the key.
func (k Key) Label() string { return k.label }

// Withdrawn reports whether the key no longer works.
func (k Key) Withdrawn() bool { return k.withdrawn }

// newKey returns the key of a checked entry.
func newKey(entry KeyEntry) Key {
	key := Key{id: keyID(entry.SHA256), label: entry.Label, withdrawn: entry.Withdrawn}
	// The checks have shown that these are the digits of a whole hash.
	_, _ = hex.Decode(key.hash[:], []byte(entry.SHA256))
	return key
}

// keyID returns the identifier of the key with the given hash digits.
func keyID(digits string) KeyID { return KeyID(digits[:2*keyIDBytes]) }

// HashKey returns the hash digits under which a document holds a key.
func HashKey(secret string) string {
	hash := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(hash[:])
}

// IDOfKey returns the identifier of a key.
func IDOfKey(secret string) KeyID { return keyID(HashKey(secret)) }

// equal compares in a time that doesn't depend on the hashes.
func (k Key) equal(hash [hashSize]byte) bool {
	return subtle.ConstantTimeCompare(k.hash[:], hash[:]) == 1
}
