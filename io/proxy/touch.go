package proxy

import (
	"time"

	"pomelofork/core/plan"
)

const (
	// touchEvery is the pause between two looks whether this instance is out of touch
	// while others aren't, and staleAfter the age of the configuration that makes it ask:
	// more than a watch of the store and a question to the watcher take together.
	touchEvery = 400 * time.Millisecond
	staleAfter = 2300 * time.Millisecond
	// touchPeers is the number of peers that are asked: enough to tell the smaller side
	// of a divided network from a few lost instances, and few in a large fleet.
	touchPeers = 5
)

// survey is what some peers said when this instance's word of the configuration was old.
type survey struct {
	// asked is the number of peers, newer that of those with a newer word, and silent
	// that of those without an answer.
	asked, newer, silent int
}

// elsewhere reports whether callers are served better by other instances: some of those
// asked know more, or most are out of reach. The latter is a network that is divided, and
// this is the smaller side without the store. When the store is down for all, the peers
// are in reach and know no more.
func (s survey) elsewhere() bool { return s.newer > 0 || 2*s.silent > s.asked }

// touch finds out whether this instance is out of touch with the store while others
// aren't.
func (n *Node) touch(now time.Time) {
	at, ok := n.view.Fresh()
	if !ok {
		return
	}
	n.entry.Isolate(now.Sub(at) > staleAfter && n.survey(now).elsewhere())
}

// survey asks some peers, all at once.
func (n *Node) survey(now time.Time) survey {
	answers := make(chan survey)
	asked := 0
	for id, m := range n.view.State().Instances {
		if id == n.config.Self.ID {
			continue
		}
		if asked++; asked > touchPeers {
			asked--
			break
		}
		go func() { answers <- n.ask(now, m) }()
	}
	sum := survey{asked: asked}
	for range asked {
		one := <-answers
		sum.newer += one.newer
		sum.silent += one.silent
	}
	return sum
}

// ask asks one peer for the age of its word.
func (n *Node) ask(now time.Time, m plan.Instance) survey {
	looked, err := n.peer(m).Look(now, "", lookTimeout)
	switch {
	case err != nil:
		return survey{silent: 1}
	case looked.ConfigAge >= 0 && looked.ConfigAge < staleAfter:
		return survey{newer: 1}
	default:
		return survey{}
	}
}
