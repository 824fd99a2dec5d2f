package conf

// The limits on a document.
const (
	// MaxSize is the largest document that the platform's service stores, in bytes.
	MaxSize = 1 << 20
	// Format is the document's format number.
	Format = 1

	maxIDLength    = 63        // bytes
	maxLabelLength = 200       // bytes
	maxKeys        = 64        // keys of one client account, withdrawn ones included
	maxChanges     = 128       // remembered changes
	minRate        = 0.001     // tokens a second
	maxRate        = 1e7       // tokens a second
	maxBurst       = 1_000_000 // tokens
	maxShare       = 1000      // parts
	maxSlots       = 1000      // statements at once on one backend server
	maxConnections = 10_000    // connections to one backend server
	maxAgeMs       = 86_400_000
	maxTimeoutMs   = 3_600_000
	maxPercent     = 1000
	maxDepth       = 16  // nested objects and arrays
	maxFaults      = 100 // faults named in one answer
)
