package proxy

import (
	"context"
	"time"

	"pomelofork/core/plan"
	"pomelofork/core/reach"
	"pomelofork/core/trial"
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
	confirmed, ok := n.view.FreshAsOf()
	if !ok || n.config.Disabled.Has(trial.Isolation) {
		return
	}
	n.isolation.UpdateFreshness(now, confirmed)
	if n.isolation.NeedsSurvey(now, confirmed, n.peerUnresponsive.Swap(false)) {
		n.isolation.ApplySurvey(now, confirmed, n.survey(now))
	}
	n.entry.SetIsolated(n.isolation.Isolated())
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
