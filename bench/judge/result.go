package judge

// Result is what the caller knows of an attempt after its end.
type Result string

// The results of an attempt.
const (
	// ResultOK means that the whole answer arrived.
	ResultOK Result = "ok"
	// ResultNotRun means that nothing of the attempt took effect, by promise.
	ResultNotRun Result = "not_run"
	// ResultUnknown means that the attempt may have taken effect, or may yet.
	ResultUnknown Result = "unknown"
)
