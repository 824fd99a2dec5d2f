package term

// Cause is why a new term is begun.
type Cause uint8

// The causes of a new term.
const (
	// CauseNone means that the primary is believed to work.
	CauseNone Cause = iota
	// CauseRefused means that the primary's port refuses connections.
	CauseRefused
	// CauseUnresponsive means that the primary answers neither this instance nor its
	// replicas.
	CauseUnresponsive
	// CauseFailingStatements means that the primary is unresponsive, for a shorter
	// time, and that statements of callers fail on it as well.
	CauseFailingStatements
	// CauseCutOff means that the primary does not answer this instance, although it
	// is in contact with its replicas.
	CauseCutOff
	// CauseNoPrimary means that no server of the group is the primary.
	CauseNoPrimary
	// CauseNewerPromise means that a replica has promised a newer term than the
	// primary's, so that it can no longer replicate from this primary.
	CauseNewerPromise
	// CausePlanned means that an operator asked for a change or that the primary is
	// leaving.
	CausePlanned
)

// String returns the name of the cause in logs and results of measurements. Tools
// match these names, so they stay as they are even where the constants have other
// names.
func (c Cause) String() string {
	names := [...]string{"none", "refused", "silent", "statements", "cut off", "orphan", "stranded", "planned"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}
