package term

import "time"

// Suspicion is all evidence against the primary at one moment.
type Suspicion struct {
	// Silence is the time since its last answer to this instance.
	Silence time.Duration
	// Refusals is how many connections in a row were refused since then.
	Refusals int
	// Statements is how many live statements failed on it since then.
	Statements int
	// Witnesses is how many replicas answer this instance at present.
	Witnesses int
	// Unheard is the shortest time for which one of them has not heard the primary.
	Unheard time.Duration
}

// Detector decides when a primary has failed. It is pure: the same evidence always
// gives the same verdict.
type Detector interface {
	Failed(s Suspicion) Cause
}

// ProbeDetector is the usual rule of health checks: a number of probes in a row that
// got no answer, and nothing else.
type ProbeDetector struct {
	// Interval is the time between two probes and the time allowed for one.
	Interval time.Duration
	// Misses is how many must fail in a row.
	Misses int
}

// Failed implements Detector.
func (d ProbeDetector) Failed(s Suspicion) Cause {
	if s.Silence >= time.Duration(d.Misses)*d.Interval {
		return CauseSilent
	}
	return CauseNone
}

// EvidenceDetector adds the evidence that comes by itself: refused connections and
// failing live statements.
type EvidenceDetector struct {
	// Probe is the rule when there is no evidence.
	Probe ProbeDetector
	// Refusals is how many refused connections in a row suffice.
	Refusals int
	// Statements is how many failed live statements suffice after Silence.
	Statements int
	// Silence must have passed before failing statements count.
	Silence time.Duration
}

// Failed implements Detector.
func (d EvidenceDetector) Failed(s Suspicion) Cause {
	switch {
	case s.Refusals >= d.Refusals:
		return CauseRefused
	case s.Statements >= d.Statements && s.Silence >= d.Silence:
		return CauseStatements
	}
	return d.Probe.Failed(s)
}

// WitnessDetector adds what the replicas say of their primary. A short silence
// suffices when they don't hear it either; a longer one is needed when they do,
// since then only the way from this instance to the primary may have failed.
type WitnessDetector struct {
	// Refusals is how many refused connections in a row suffice.
	Refusals int
	// Statements is how many failed live statements halve Silence and Unheard.
	Statements int
	// Silence is how long the primary must be silent towards this instance.
	Silence time.Duration
	// Unheard is how long every answering replica must not have heard it.
	Unheard time.Duration
	// Alone is the silence that suffices although replicas hear the primary.
	Alone time.Duration
}

// Failed implements Detector.
func (d WitnessDetector) Failed(s Suspicion) Cause {
	switch {
	case s.Refusals >= d.Refusals:
		return CauseRefused
	case s.Silence >= d.Alone:
		return CauseCutOff
	case s.Witnesses == 0:
		return CauseNone
	case s.Silence >= d.Silence && s.Unheard >= d.Unheard:
		return CauseSilent
	case s.Statements >= d.Statements && s.Silence >= d.Silence/2 && s.Unheard >= d.Unheard/2:
		return CauseStatements
	}
	return CauseNone
}

// The detectors that can be chosen by name.
var (
	Probes = ProbeDetector{Interval: time.Second, Misses: 3}

	Evidence = EvidenceDetector{Probe: Probes, Refusals: 2, Statements: 3, Silence: 500 * time.Millisecond}

	Witnesses = WitnessDetector{
		Refusals: 2, Statements: 2, Silence: 200 * time.Millisecond,
		Unheard: 150 * time.Millisecond, Alone: 2 * time.Second,
	}
)
