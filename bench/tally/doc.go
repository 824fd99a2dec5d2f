// Package tally turns the history of a run into the figures of merit: read share,
// write gaps, goodput and latency by client account, refusals.
package tally
