package term

import "time"

// Suspicion is all evidence of a failure of the primary at one moment.
type Suspicion struct {
	// SinceAnswer is the time since the primary's last answer to this instance.
	SinceAnswer time.Duration
	// Refusals is how many connections in a row were refused since that answer.
	Refusals int
	// Statements is how many statements of callers failed on it since that answer.
	Statements int
	// AnsweringReplicas is how many replicas answer this instance at present.
	AnsweringReplicas int
	// SincePrimaryContact is the time since any of these replicas last received
	// something from the primary.
	SincePrimaryContact time.Duration
}

// Detector decides when a primary has failed. Its answer depends on the evidence
// alone: the same evidence always gives the same cause.
type Detector interface {
	// Failed returns why the primary is considered failed, or CauseNone.
	Failed(s Suspicion) Cause
}

// ProbeDetector is the usual rule of health checks: only probes count, and a number
// of them in a row must have got no answer.
type ProbeDetector struct {
	// Interval is the time between two probes, and the time allowed for one.
	Interval time.Duration
	// Misses is how many probes in a row must have failed.
	Misses int
}

// Failed implements Detector.
func (d ProbeDetector) Failed(s Suspicion) Cause {
	if s.SinceAnswer >= time.Duration(d.Misses)*d.Interval {
		return CauseUnresponsive
	}
	return CauseNone
}

// EvidenceDetector also counts evidence from regular traffic: refused connections and
// failing statements of callers.
type EvidenceDetector struct {
	// Probe decides in the absence of such evidence.
	Probe ProbeDetector
	// Refusals is how many refused connections in a row suffice.
	Refusals int
	// Statements is how many failed statements suffice once the primary has not
	// answered for AnswerTimeout.
	Statements    int
	AnswerTimeout time.Duration
}

// Failed implements Detector.
func (d EvidenceDetector) Failed(s Suspicion) Cause {
	switch {
	case s.Refusals >= d.Refusals:
		return CauseRefused
	case s.Statements >= d.Statements && s.SinceAnswer >= d.AnswerTimeout:
		return CauseFailingStatements
	}
	return d.Probe.Failed(s)
}

// ReplicaDetector also counts what the replicas report about their contact with the
// primary. A short time without an answer suffices if the replicas receive nothing
// from it either. A longer time is needed if they do, since then only the connection
// between this instance and the primary may have failed.
type ReplicaDetector struct {
	// Refusals is how many refused connections in a row suffice.
	Refusals int
	// Statements is how many failed statements halve AnswerTimeout and
	// ReplicaTimeout.
	Statements int
	// AnswerTimeout is how long the primary must not have answered this instance.
	AnswerTimeout time.Duration
	// ReplicaTimeout is how long every answering replica must have received nothing
	// from the primary.
	ReplicaTimeout time.Duration
	// LoneTimeout is how long the primary must not have answered this instance if its
	// replicas do receive something from it.
	LoneTimeout time.Duration
}

// Failed implements Detector.
func (d ReplicaDetector) Failed(s Suspicion) Cause {
	switch {
	case s.Refusals >= d.Refusals:
		return CauseRefused
	case s.SinceAnswer >= d.LoneTimeout:
		return CauseCutOff
	case s.AnsweringReplicas == 0:
		return CauseNone
	case s.SinceAnswer >= d.AnswerTimeout && s.SincePrimaryContact >= d.ReplicaTimeout:
		return CauseUnresponsive
	case s.Statements >= d.Statements && s.SinceAnswer >= d.AnswerTimeout/2 && s.SincePrimaryContact >= d.ReplicaTimeout/2:
		return CauseFailingStatements
	}
	return CauseNone
}

// The detectors with their default settings.
var (
	DefaultProbeDetector = ProbeDetector{Interval: time.Second, Misses: 3}

	DefaultEvidenceDetector = EvidenceDetector{Probe: DefaultProbeDetector, Refusals: 2, Statements: 3, AnswerTimeout: 500 * time.Millisecond}

	DefaultReplicaDetector = ReplicaDetector{
		Refusals: 2, Statements: 2, AnswerTimeout: 200 * time.Millisecond,
		ReplicaTimeout: 150 * time.Millisecond, LoneTimeout: 2 * time.Second,
	}
)
