package drain

// Admission counts the units of work in progress, and stops admitting new ones once it is
// closed. The zero value is open with no work in progress. It is not safe for concurrent
// use.
type Admission struct {
	inProgress int
	closed     bool
}

// Admit counts one more unit of work. It returns false when the admission is closed. The
// caller must call Done for each admitted unit.
func (a *Admission) Admit() bool {
	if a.closed {
		return false
	}
	a.inProgress++
	return true
}

// Done ends one admitted unit of work. It returns true when the admission is closed and no
// unit is left.
func (a *Admission) Done() bool {
	a.inProgress--
	return a.closed && a.inProgress == 0
}

// Close stops admitting work. It returns true when no unit is in progress.
func (a *Admission) Close() bool {
	a.closed = true
	return a.inProgress == 0
}

// IsClosed reports whether Close was called.
func (a *Admission) IsClosed() bool { return a.closed }
