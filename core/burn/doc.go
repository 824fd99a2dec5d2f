// Package burn says how fast the fleet uses up its error budgets. A service-level
// objective allows a small share of bad events; the burn rate of a window is its
// share of bad events over that allowance, so that 1 uses up the budget exactly
// over the objective's period. An alert fires when both a long and a short window
// burn too fast: the long one shows that it matters, the short one that it goes on.
package burn
