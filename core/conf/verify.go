package conf

import "crypto/sha256"

// KeyState says whether a key is valid for a client account.
type KeyState uint8

// The states of a key.
const (
	// KeyWrong means that the account has no such key.
	KeyWrong KeyState = iota
	// KeyWithdrawn means that the account had the key and an operator withdrew it.
	KeyWithdrawn
	// KeyValid means that callers may use the key.
	KeyValid
)

// String returns "valid", "withdrawn" or "wrong".
func (s KeyState) String() string {
	switch s {
	case KeyValid:
		return "valid"
	case KeyWithdrawn:
		return "withdrawn"
	}
	return "wrong"
}

// Verify returns the identifier and the state of the key that a caller sent. It compares
// the secret with every key of the account, so that its duration doesn't reveal which
// one matched. The identifier is empty for KeyWrong.
func (a Account) Verify(secret string) (KeyID, KeyState) {
	hash := sha256.Sum256([]byte(secret))
	id, state := KeyID(""), KeyWrong
	for _, key := range a.keys {
		if !key.equal(hash) {
			continue
		}
		id, state = key.id, KeyValid
		if key.withdrawn {
			state = KeyWithdrawn
		}
	}
	return id, state
}

// KeyState returns the state of a key that was verified under an earlier version of the
// configuration. Open sessions check it after each change.
func (a Account) KeyState(id KeyID) KeyState {
	for _, key := range a.keys {
		if key.id != id {
			continue
		}
		if key.withdrawn {
			return KeyWithdrawn
		}
		return KeyValid
	}
	return KeyWrong
}
