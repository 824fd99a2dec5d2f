package memkv

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"pomelofork/io/store"
)

// The names of the calls, as in the result of Calls and in the arguments of the functions of
// Faults.
const (
	CallGet        = "get"
	CallList       = "list"
	CallSwap       = "swap"
	CallWatch      = "watch"
	CallInstances  = "instances"
	CallGrantLease = "lease"
	CallRenewLease = "renew"
	CallEndLease   = "drop"
)

// errAnswerDropped is the cause of the error for an answer that Faults.LoseAnswer dropped.
var errAnswerDropped = errors.New("answer dropped by an injected fault")

// Faults selects the faults that a KV injects into its calls. The zero value injects none.
type Faults struct {
	// Outage makes each call return store.ErrUnavailable.
	Outage bool
	// Delay is added to the duration of each call.
	Delay time.Duration
	// LoseAnswer is called after each call has taken effect. If it returns true, a call
	// that changes something returns a *store.UnknownError, and a call that reads returns
	// store.ErrUnavailable. Nil loses no answer.
	LoseAnswer func(call string) bool
	// Before is called before each call, while no lock is held. It may change the store or
	// block. Nil does nothing.
	Before func(call string)
}

// SetFaults replaces the faults. A watch in progress fails when an outage begins.
func (k *KV) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	close(k.changed)
	k.changed = make(chan struct{})
}

// Calls returns how often each call was made, by the name of the call.
func (k *KV) Calls() map[string]int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.calls)
}

// withFaults runs one call under the lock and injects the faults before and after it.
func withFaults[T any](ctx context.Context, k *KV, call string, do func() (T, error)) (T, error) {
	var zero T
	if err := k.beginCall(ctx, call); err != nil {
		return zero, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Outage {
		return zero, fmt.Errorf("%w: outage", store.ErrUnavailable)
	}
	k.expire()
	result, err := do()
	if k.faults.LoseAnswer != nil && k.faults.LoseAnswer(call) {
		return zero, lostAnswerError(call)
	}
	return result, err
}

// beginCall counts a call, calls Faults.Before and waits for Faults.Delay. It returns
// store.ErrUnavailable if ctx ends while it waits.
func (k *KV) beginCall(ctx context.Context, call string) error {
	k.mu.Lock()
	k.calls[call]++
	faults := k.faults
	k.mu.Unlock()
	if faults.Before != nil {
		faults.Before(call)
	}
	if faults.Delay <= 0 {
		return nil
	}
	timer := time.NewTimer(faults.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
	}
}

// lostAnswerError returns the error of a call whose answer was dropped.
func lostAnswerError(call string) error {
	switch call {
	case CallSwap, CallGrantLease, CallRenewLease, CallEndLease:
		return store.NewUnknownError(errAnswerDropped)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, errAnswerDropped)
}
