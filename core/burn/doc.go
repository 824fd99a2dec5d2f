// Package burn computes how fast the fleet consumes the error budgets of its
// service-level objectives.
//
// An objective allows a small share of events to be bad. The burn rate of a time window
// is the share of bad events in it, divided by the allowed share: at a burn rate of 1,
// the budget is consumed exactly over the period of the objective. An alert fires when
// the burn rate is too high in both a long and a short window. The long window shows
// that a significant part of the budget was consumed, the short one that the problem is
// still going on.
package burn
