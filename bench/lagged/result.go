package lagged

// Tally counts the operations of one priority.
type Tally struct {
	// Asked counts all operations, InTarget those answered within the target, and Late those answered
	// after it but within the caller's own limit.
	Asked, InTarget, Late int
	// Refusals counts the times that callers were told to return, and Attempts those at servers.
	Refusals, Attempts int
}

// Result holds the tallies by priority.
type Result struct{ Reads, Writes []Tally }

// newResult returns a result without operations.
func newResult() Result {
	return Result{Reads: make([]Tally, len(classes)), Writes: make([]Tally, len(classes))}
}

// of returns the tally of an operation.
func (r *Result) of(op *operation) *Tally {
	if op.write {
		return &r.Writes[op.class]
	}
	return &r.Reads[op.class]
}

// Add adds the tallies of another result.
func (r *Result) Add(other Result) {
	for p := range classes {
		r.Reads[p].add(other.Reads[p])
		r.Writes[p].add(other.Writes[p])
	}
}

// Worth returns the worth of all answers.
func (r *Result) Worth() float64 {
	worth := 0.0
	for p, k := range classes {
		worth += float64(r.Reads[p].InTarget+r.Writes[p].InTarget)*k.inTarget + float64(r.Reads[p].Late+r.Writes[p].Late)*k.late
	}
	return worth
}

// add adds another tally.
func (t *Tally) add(other Tally) {
	t.Asked += other.Asked
	t.InTarget += other.InTarget
	t.Late += other.Late
	t.Refusals += other.Refusals
	t.Attempts += other.Attempts
}
