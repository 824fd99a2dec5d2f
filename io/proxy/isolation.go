package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"pomelofork/core/plan"
	"pomelofork/core/reach"
	"pomelofork/core/trial"
	"pomelofork/io/clock"
	"pomelofork/io/sock"
)

const (
	// isolationInterval is the interval at which this instance checks whether it is
	// isolated, that is out of contact with the store while other instances are not.
	isolationInterval = 400 * time.Millisecond
	// maxSurveyedPeers is the number of peers that are asked: enough to tell the smaller
	// side of a network partition from a few failed instances, and few in a large fleet.
	maxSurveyedPeers = 5
	// surveyStoreTimeout bounds the check whether the store answers: some tens of its
	// usual response times.
	surveyStoreTimeout = 250 * time.Millisecond
)

// updateIsolation finds out whether this instance is isolated, as package reach decides,
// and tells the entry. Only one goroutine calls it.
func (n *Node) updateIsolation(now time.Time) {
	if n.config.Disabled.Has(trial.Isolation) {
		return
	}
	if checkIsolation(now, &n.isolation, &n.peerUnresponsive, n.view.FreshAsOf, n.survey) {
		n.entry.SetIsolated(n.isolation.Isolated())
	}
}

// checkIsolation updates the detector, with a survey if one is needed. It returns false as long as there is
// no content of the store yet.
func checkIsolation(now time.Time, d *reach.Detector, unresponsive *atomic.Bool, freshAsOf func() (time.Time, bool), survey func(time.Time) reach.Survey) bool {
	confirmed, ok := freshAsOf()
	if !ok {
		return false
	}
	d.UpdateFreshness(now, confirmed)
	if d.NeedsSurvey(now, confirmed, unresponsive.Swap(false)) {
		sum := survey(now)
		// The peers' answers are more recent than the confirmation from before the survey. After a stall of
		// the machine, all instances are stale for a moment, and are confirmed during the survey.
		confirmed, _ = freshAsOf()
		d.ApplySurvey(clock.Now(), confirmed, sum)
	}
	return true
}

// survey asks some peers in parallel. It asks the store only if so few of them answered
// that the network may be partitioned.
func (n *Node) survey(now time.Time) reach.Survey {
	answers := make(chan reach.Survey)
	asked := 0
	for id, inst := range n.view.State().Instances {
		if id == n.config.Self.ID {
			continue
		}
		if asked == maxSurveyedPeers {
			break
		}
		asked++
		go func() { answers <- n.surveyPeer(now, inst) }()
	}
	sum := reach.Survey{Asked: asked}
	for range asked {
		answer := <-answers
		sum.ConfigAges = append(sum.ConfigAges, answer.ConfigAges...)
		sum.Unresponsive += answer.Unresponsive
	}
	sum.StoreAnswers = !sum.Partitioned() || n.storeAnswers()
	return sum
}

// surveyPeer asks one peer for the age of its configuration.
func (n *Node) surveyPeer(now time.Time, inst plan.Instance) reach.Survey {
	response, err := n.peer(inst).Look(now, "", lookTimeout)
	switch {
	case sock.Exhausted(err):
		return reach.Survey{}
	case err != nil:
		return reach.Survey{Unresponsive: 1}
	case response.ConfigAge >= 0:
		return reach.Survey{ConfigAges: []time.Duration{response.ConfigAge}}
	default:
		return reach.Survey{}
	}
}

// storeAnswers reports whether the store answers this instance within
// surveyStoreTimeout.
func (n *Node) storeAnswers() bool {
	ctx, cancel := context.WithTimeout(context.Background(), surveyStoreTimeout)
	defer cancel()
	return n.rights.StoreAnswers(ctx)
}
