package burn

// ID identifies one objective. The values appear in the JSON form of the report.
type ID string

// The objectives of a fleet.
const (
	// Availability counts units of work. A unit is bad if it got no answer although
	// the caller did nothing wrong.
	Availability ID = "availability"
	// FailoverGap counts milliseconds of each service's time. A millisecond is bad if
	// writes were waiting and none was acknowledged.
	FailoverGap ID = "failover_gap"
	// WorstAccount is Availability, evaluated for the client account with the largest
	// share of bad units.
	WorstAccount ID = "worst_account"
	// WrongfulRefusals counts units of work. A unit is bad if it was rejected because of
	// the account's rate although the rate and the burst allowed it.
	WrongfulRefusals ID = "wrongful_refusals"
)

// Objective is one service-level objective.
type Objective struct {
	// ID identifies the objective.
	ID ID
	// Target is the share of events that have to be good, below 1.
	Target float64
}

// Budget returns the share of events that are allowed to be bad.
func (o Objective) Budget() float64 { return 1 - o.Target }

// Objectives returns the objectives of a fleet.
func Objectives() []Objective {
	return []Objective{
		{Availability, 0.999},
		// Allows two changes of primary a day of 12 s each.
		{FailoverGap, 1 - 2*12.0/86400},
		{WorstAccount, 0.995},
		// Allows one wrongful refusal in 10,000 units of work.
		{WrongfulRefusals, 0.9999},
	}
}
