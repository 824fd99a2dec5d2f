package evac

// Phase says what may be sent to a server by the time since its failure domain was evacuated. A later
// phase allows less.
type Phase uint8

// The phases.
const (
	// PhaseNone means that the domain isn't evacuated.
	PhaseNone Phase = iota
	// PhaseMoving means that a share of the reads may still go there.
	PhaseMoving
	// PhaseEmptying means that only open transactions, the work of a primary, and reads that no other
	// server can run may go there.
	PhaseEmptying
	// PhaseClosed means that no statement of a caller may be sent there.
	PhaseClosed
	// PhaseSealed means that nothing at all may be sent there.
	PhaseSealed
)
