package store

// numberBits is the number of bits of a revision that hold the store's own counter.
const numberBits = 40

// Revision returns a place in the history of a store that was restored from older copies: the era,
// which rises with each restore, and the store's own revision number, which goes back with it. A
// place of a later era compares higher. In era zero, that of a store that doesn't report eras, a
// revision is its number.
func Revision(era, number uint64) uint64 { return era<<numberBits | number }

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> numberBits }

// Number returns the store's own number of a revision.
func Number(revision uint64) uint64 { return revision & maxNumber }

// maxNumber is the highest number that fits into a revision.
const maxNumber = 1<<numberBits - 1

// MaxEra is the highest era that a revision can hold together with a number that every JSON decoder
// reads exactly.
const MaxEra = 1<<(53-numberBits) - 1
