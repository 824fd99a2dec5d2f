package relay

import "errors"

// Event is something that a peer's answers, or their absence, show of the instance.
type Event uint8

// The events.
const (
	// EventAnswered means that the instance answered a call.
	EventAnswered Event = iota
	// EventOverdue means that a call has been without an answer for checkAfter. It may just take
	// long.
	EventOverdue
	// EventSilent means that the instance didn't answer a check, or that no connection to it could
	// be opened.
	EventSilent
)

// errAbandoned means that a call was ended because its peer is believed to have failed.
var errAbandoned = errors.New("peer is believed to have failed")

// observe reports an event.
func (p *Peer) observe(e Event) {
	if p.config.Observe != nil {
		p.config.Observe(e)
	}
}

// abandoned returns the channel whose closing ends a call with the given argument, or nil if the
// call has to wait for its answer. Only calls without lasting effect end: reads that any server may
// run, and questions. Confirm waits, because its failure counts against a primary.
func (p *Peer) abandoned(args any) <-chan struct{} {
	if p.config.Abandoned == nil {
		return nil
	}
	switch args := args.(type) {
	case *RunRequest:
		if !args.Order.AnyServerMayRun() {
			return nil
		}
	case *DrawRequest, *FollowRequest, *LookRequest, *EndorseRequest:
	default:
		return nil
	}
	return p.config.Abandoned()
}
