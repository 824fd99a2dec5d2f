package load

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelofork/bench/judge"
)

// The ends of a run.
const (
	// settle is the wait after the last operation before the state is read, so
	// that what is still on its way has landed.
	settle = time.Second
	// finalLimit bounds the reading of the final state.
	finalLimit = 30 * time.Second
)

// Run drives the fleet as the plan says and returns what callers saw. It returns
// an error when the plan is bad or the final state can't be read.
func Run(ctx context.Context, p Plan) (judge.History, error) {
	if err := p.Check(); err != nil {
		return judge.History{}, err
	}
	history := newHistory(p)
	history.Ops = drive(ctx, p)
	if err := ctx.Err(); err != nil {
		return history, err
	}
	c := &clock{start: time.Now()}
	c.sleepUntil(ctx, settle)
	ctx, cancel := context.WithTimeout(ctx, finalLimit)
	defer cancel()
	for _, service := range p.Services {
		final, err := readFinal(ctx, p, service)
		if err != nil {
			return history, err
		}
		history.Finals = append(history.Finals, final)
	}
	return history, nil
}

// drive runs all sessions and returns their attempts.
func drive(ctx context.Context, p Plan) []judge.Op {
	var mu sync.Mutex
	var ops []judge.Op
	record := func(op judge.Op) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, op)
	}
	c := &clock{start: time.Now()}
	var group errgroup.Group
	for _, sched := range schedules(p) {
		s := newSession(p, c, sched)
		group.Go(func() error {
			s.run(ctx, record)
			return nil
		})
	}
	_ = group.Wait()
	return ops
}

// newHistory returns the history of a plan without its attempts.
func newHistory(p Plan) judge.History {
	history := judge.History{End: p.Duration, Rates: map[string]judge.Rate{}}
	for _, account := range p.Accounts {
		history.Rates[account.Name] = account.Rate
		for _, service := range p.Services {
			history.Pairs = append(history.Pairs, pairOf(p.Run, service.Name, account.Name))
		}
	}
	return history
}
