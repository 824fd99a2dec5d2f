// Package trial names the mechanisms of an instance that can be switched off one by one, to measure
// what each is worth. Nothing that a promise to callers rests on can be switched off.
package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Switch is the name of a mechanism.
type Switch string

// The mechanisms.
const (
	// ReturnedTokens returns the tokens of operations that were not sent.
	ReturnedTokens Switch = "returned_tokens"
	// PrefetchedTokens draws tokens for operations to come.
	PrefetchedTokens Switch = "prefetched_tokens"
	// TokenWait lets an operation wait for a token that accrues soon.
	TokenWait Switch = "token_wait"
	// SharedIssuers divides the rate of an account among several issuers.
	SharedIssuers Switch = "shared_issuers"
	// RestartTokens starts the bucket of a kept right with a few tokens.
	RestartTokens Switch = "restart_tokens"
	// KeptRights lets an instance keep the rights of its former run.
	KeptRights Switch = "kept_rights"
	// PromotionWait lets statements wait for the next primary.
	PromotionWait Switch = "promotion_wait"
	// EarlyRejection rejects at once what can't be served in time.
	EarlyRejection Switch = "early_rejection"
	// TargetOrder serves first what can still meet its target, instead of what arrived first.
	TargetOrder Switch = "target_order"
	// Priority orders statements and the wait for tokens by the priority of the route.
	Priority Switch = "priority"
	// ReadRetry repeats a failed read once on another server.
	ReadRetry Switch = "read_retry"
	// SilentServers lets reads leave a server that has stopped answering.
	SilentServers Switch = "silent_servers"
	// DomainPlacement prefers servers of the own failure domain.
	DomainPlacement Switch = "domain_placement"
	// WaitPlacement prefers servers with a short wait.
	WaitPlacement Switch = "wait_placement"
	// LatencyPlacement avoids servers that were slow or failed.
	LatencyPlacement Switch = "latency_placement"
	// Followers lets most instances follow the store through a peer.
	Followers Switch = "followers"
	// Isolation ends the sessions of an isolated instance.
	Isolation Switch = "isolation"
	// WithdrawalAnswers ends a withdrawal when all gateways have acknowledged it, instead of after
	// the full wait.
	WithdrawalAnswers Switch = "withdrawal_answers"
	// VacancyTakeover counts the time without a primary from its loss when another instance takes
	// over the monitoring.
	VacancyTakeover Switch = "vacancy_takeover"
	// PrimaryRoom puts the reads that another server could run behind a primary's own work, and lets
	// reads wait for replicas that catch up. It exists only where callers compete for capacity.
	PrimaryRoom Switch = "primary_room"
	// WaitingEstimate places and refuses statements by one estimate of the time until their answer. It
	// exists only where callers compete for capacity.
	WaitingEstimate Switch = "waiting_estimate"
	// RetryBudget bounds the further attempts of an entry. It exists only where callers compete for
	// capacity.
	RetryBudget Switch = "retry_budget"
	// EvacuationSteps moves the reads of an evacuated failure domain in steps, instead of at once.
	EvacuationSteps Switch = "evacuation_steps"
	// EvacuationPace replaces the primaries of an evacuated failure domain one by one, instead of all
	// at once.
	EvacuationPace Switch = "evacuation_pace"
	// AccountShares divides the slots of a server among client accounts where they compete for it.
	AccountShares Switch = "account_shares"
	// GapWait lets statements wait beyond their target for slots that more urgent ones leave.
	GapWait Switch = "gap_wait"
	// ReturnPlaces gives the callers that a server's queue refuses places in a line.
	ReturnPlaces Switch = "return_places"
	// OpeningWork counts the opening of connections as work of a server.
	OpeningWork Switch = "opening_work"
	// ConnectionDemand keeps the connections of the accounts that use a server most, instead of those that
	// were used last.
	ConnectionDemand Switch = "connection_demand"
	// UsualReplica prefers the replica that an account's reads go to usually, where more accounts use a
	// server than it accepts connections.
	UsualReplica Switch = "usual_replica"
	// ColdPlacement prefers warm servers to cold ones, and leaves a cold one alone for as long as it
	// says that it can take no more.
	ColdPlacement Switch = "cold_placement"
	// DomainLoss treats servers and instances of one failure domain that fall silent together as one
	// event.
	DomainLoss Switch = "domain_loss"
	// ShortPermits lets gateways stop using a primary sooner without a confirmation where the loss of
	// a failure domain has to be borne.
	ShortPermits Switch = "short_permits"
)

// All returns all switches in a fixed order.
func All() []Switch {
	return []Switch{
		ReturnedTokens, PrefetchedTokens, TokenWait, SharedIssuers, RestartTokens, KeptRights, PromotionWait, EarlyRejection, TargetOrder, Priority,
		ReadRetry, SilentServers, DomainPlacement, WaitPlacement, LatencyPlacement, Followers, Isolation, WithdrawalAnswers, VacancyTakeover,
		PrimaryRoom, WaitingEstimate, RetryBudget,
		EvacuationSteps, EvacuationPace,
		AccountShares, GapWait, ReturnPlaces, OpeningWork,
		ConnectionDemand, UsualReplica,
		ColdPlacement,
		DomainLoss, ShortPermits,
	}
}

// Disabled are the mechanisms that are switched off. The zero value has none.
type Disabled struct {
	switches map[Switch]bool
}

// Parse returns the given mechanisms. It fails if one of them doesn't exist or is named twice.
func Parse(names []string) (Disabled, error) {
	d := Disabled{switches: map[Switch]bool{}}
	for _, name := range names {
		s := Switch(name)
		if !slices.Contains(All(), s) {
			return Disabled{}, fmt.Errorf("unknown mechanism %q, want one of %s", name, join(All()))
		}
		if d.switches[s] {
			return Disabled{}, fmt.Errorf("mechanism %q is named twice", name)
		}
		d.switches[s] = true
	}
	return d, nil
}

// Has reports whether a mechanism is switched off.
func (d Disabled) Has(s Switch) bool { return d.switches[s] }

// Empty reports whether nothing is switched off.
func (d Disabled) Empty() bool { return len(d.switches) == 0 }

// String returns the names in alphabetical order.
func (d Disabled) String() string { return join(slices.Sorted(maps.Keys(d.switches))) }

func join(switches []Switch) string {
	names := make([]string, 0, len(switches))
	for _, s := range switches {
		names = append(names, string(s))
	}
	return strings.Join(names, ", ")
}
