package term

import (
	"time"

	"pomelofork/core/model"
)

// Action is something that a Machine asks its caller to do. Unless the action is a
// Report, the caller passes the result to the method that the action's type names.
type Action interface{ action() }

// Fence asks to fence a server, which makes it promise Term. The result goes to
// Machine.Fenced.
type Fence struct {
	// Attempt is the attempt to which the result belongs, or 0 if it belongs to none.
	Attempt uint64
	Server  model.ServerID
	Term    model.Term
}

// Promote asks to make a server the primary of Term. The result goes to
// Machine.Promoted.
type Promote struct {
	Attempt uint64
	Server  model.ServerID
	Term    model.Term
}

// Poll asks for a server's status at once. The result goes to Machine.Observe or
// Machine.ObserveFault.
type Poll struct{ Server model.ServerID }

// ReserveTerms asks to reserve a series of terms. The result goes to
// Machine.Reserved.
type ReserveTerms struct{}

// Report informs operators of an event.
type Report struct {
	Kind ReportKind
	// Server is the server concerned, or empty.
	Server model.ServerID
	// Term is the term concerned, or 0.
	Term model.Term
	// Cause is why a new term is begun, or CauseNone.
	Cause Cause
	// Phases is set for ReportPromoted only.
	Phases FailoverPhases
}

func (Fence) action()        {}
func (Promote) action()      {}
func (Poll) action()         {}
func (ReserveTerms) action() {}
func (Report) action()       {}

// ReportKind is the kind of event that a Report is about.
type ReportKind uint8

// The kinds of report.
const (
	// ReportNewPrimary is a primary of a newer term that became known.
	ReportNewPrimary ReportKind = iota + 1
	// ReportSuspected is the first evidence of a failure of the primary.
	ReportSuspected
	// ReportAttemptBegan is the start of an attempt to begin a new term.
	ReportAttemptBegan
	// ReportPromoted is a completed change of primary.
	ReportPromoted
	// ReportAttemptAbandoned is an attempt that was given up.
	ReportAttemptAbandoned
	// ReportStalePrimary is a server that was replaced but still believes that it is
	// the primary.
	ReportStalePrimary
	// ReportNoMajority is a failure of the primary while too few servers answer to
	// promote another one.
	ReportNoMajority
	// ReportNoTerm is an attempt that could not begin because no terms were reserved.
	ReportNoTerm
	// ReportTermsReserved is a series of terms that was reserved.
	ReportTermsReserved
	// ReportDraining is the start of a planned change of primary.
	ReportDraining
)

// FailoverPhases are the parts of the time without a primary, as measured by the
// gateway that promoted the new one.
type FailoverPhases struct {
	// Detect is from the primary's last answer until the failure was detected. It is
	// zero for a planned change, and if no primary has ever answered.
	Detect time.Duration
	// Decide is from the detection to the start of the attempt that succeeded.
	Decide time.Duration
	// Fence is from the start of that attempt until a majority had promised the new
	// term.
	Fence time.Duration
	// Promote is from then until the new primary had answered.
	Promote time.Duration
}

// Total returns the sum of the phases.
func (p FailoverPhases) Total() time.Duration { return p.Detect + p.Decide + p.Fence + p.Promote }
