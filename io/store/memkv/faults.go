package memkv

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"pomelofork/io/store"
)

// The names of the calls, as Calls counts them and as hooks get them.
const (
	CallGet       = "get"
	CallList      = "list"
	CallSwap      = "swap"
	CallWatch     = "watch"
	CallInstances = "instances"
	CallLease     = "lease"
	CallRenew     = "renew"
	CallDrop      = "drop"
)

// errLost is the cause of an answer that a switch dropped.
var errLost = errors.New("answer dropped by a switch")

// Faults are the switches of a KV. Its zero value is a healthy service.
type Faults struct {
	// Outage makes each call fail with store.ErrUnavailable.
	Outage bool
	// Delay is how long each call takes.
	Delay time.Duration
	// LoseAnswer is asked after each call took effect. When it returns true, the
	// caller gets a *store.UnknownError, or store.ErrUnavailable for a read.
	LoseAnswer func(call string) bool
	// Before runs ahead of each call, outside any lock. A test can change the
	// store or block in it.
	Before func(call string)
}

// SetFaults replaces the switches. Waiting watches notice an outage.
func (k *KV) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	close(k.changed)
	k.changed = make(chan struct{})
}

// Calls returns how often each call was made.
func (k *KV) Calls() map[string]int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.calls)
}

// faulty runs one call under the lock and applies the switches around it.
func faulty[T any](ctx context.Context, k *KV, call string, do func() (T, error)) (T, error) {
	var zero T
	if err := k.enter(ctx, call); err != nil {
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
		return zero, lost(call)
	}
	return result, err
}

// enter counts the call and takes the time that a call takes.
func (k *KV) enter(ctx context.Context, call string) error {
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

// lost returns the error that a caller sees when its answer was dropped.
func lost(call string) error {
	switch call {
	case CallSwap, CallLease, CallRenew, CallDrop:
		return store.NewUnknownError(errLost)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, errLost)
}
