package conf

import (
	"encoding/hex"
	"strings"

	"pomelofork/core/model"
)

// account validates one client account.
func (c *checker) account(place string, entry AccountEntry) {
	unique(c, join(place, "id"), entry.ID, c.accounts)
	if entry.RatePerS < minRate || entry.RatePerS > maxRate {
		c.faults.add(join(place, "rate_per_s"), "%v is out of range, want %v to %v", entry.RatePerS, minRate, maxRate)
	}
	if entry.RatePerS > 0 && entry.Burst == 0 {
		c.faults.add(join(place, "burst"), "a rate needs a burst of 1 token or more")
	} else {
		c.inRange(join(place, "burst"), int64(entry.Burst), 1, maxBurst)
	}
	c.inRange(join(place, "share"), int64(entry.Share), 1, maxShare)
	if len(entry.Keys) > maxKeys {
		c.faults.add(join(place, "keys"), "want at most %d entries", maxKeys)
	}
	for i, key := range entry.Keys {
		c.key(element(join(place, "keys"), i), entry.ID, key)
	}
}

// key validates one key of an account. A key belongs to exactly one account: a hash
// that is declared twice is taken for a copying mistake.
func (c *checker) key(place string, account model.AccountID, entry KeyEntry) {
	hash, err := hex.DecodeString(entry.SHA256)
	if err != nil || len(hash) != hashSize || strings.ToLower(entry.SHA256) != entry.SHA256 {
		c.faults.add(join(place, "sha256"), "want %d hexadecimal digits in lower case", 2*hashSize)
		return
	}
	id := keyID(entry.SHA256)
	if other, ok := c.keys[id]; ok {
		c.faults.add(join(place, "sha256"), "key is already declared for account %q", string(other))
	}
	c.keys[id] = account
	if len(entry.Label) > maxLabelLength {
		c.faults.add(join(place, "label"), "label is too long, want at most %d bytes", maxLabelLength)
	}
}
