// Package hold decides whether a statement that only a primary may run waits while its service
// has none.
//
// Load pattern: a service loses its primary at full load and gets another one some hundred
// milliseconds to some seconds later. Callers that are rejected at once come back too early, use up
// their retries and then give up, although most of them could still be answered before their
// timeout. If all of them waited, those at the end of the queue would be rejected only when their
// time is over. So a statement waits only if the end of the gap, as it is forecast from former
// gaps, and the work that waits already leave enough time for it; all others are rejected at once,
// with a time to retry at which the new primary has worked off those before them.
package hold
