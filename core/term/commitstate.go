package term

// CommitState is what is known of one commit.
type CommitState uint8

// The states of a commit.
const (
	// CommitPending means that too few servers are known to hold the entry.
	CommitPending CommitState = iota
	// CommitDurable means that no failover can lose the entry.
	CommitDurable
	// CommitPrimaryReplaced means that the primary of that term was replaced before
	// the entry was known to be durable. The entry may have been kept or lost.
	CommitPrimaryReplaced
)
