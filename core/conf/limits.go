package conf

// The limits that the validation of a document enforces.
const (
	// MaxSize is the largest document that the platform's key-value store accepts, in
	// bytes. It also limits the text of a change.
	MaxSize = 1 << 20
	// Format is the only format number of documents that is accepted.
	Format = 1

	maxIDLength    = 63        // bytes
	maxLabelLength = 200       // bytes
	maxKeys        = 64        // keys of one client account, including withdrawn ones
	maxChanges     = 128       // recorded changes
	minRate        = 0.001     // tokens per second
	maxRate        = 1e7       // tokens per second
	maxBurst       = 1_000_000 // tokens
	maxShare       = 1000      // weight relative to other accounts
	maxSlots       = 1000      // concurrent statements on one backend server
	maxConnections = 10_000    // connections to one backend server
	maxAgeMs       = 86_400_000
	maxTimeoutMs   = 3_600_000
	maxPercent     = 1000 // percentages of a preset
	maxDepth       = 16   // levels of nested objects and arrays
	maxFaults      = 100  // faults listed in one FaultsError
)
