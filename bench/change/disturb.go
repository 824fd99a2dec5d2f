package change

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"pomelofork/core/model"
	"pomelofork/core/term"
	"pomelofork/emul/pgsim"
)

// The kinds of disturbance.
const (
	kindPause = "pause"
	kindLag   = "lag"
)

// afterwards is how long a promotion is waited for after a disturbance.
const afterwards = 300 * time.Millisecond

// runDisturbance counts the promotions of one policy for disturbances of one length.
func runDisturbance(ctx context.Context, c Config, policy Policy, kind string, length time.Duration) (Disturbance, error) {
	promotions := make([]int, c.PauseRuns)
	work, ctx := errgroup.WithContext(ctx)
	work.SetLimit(c.Parallel)
	for i := range c.PauseRuns {
		work.Go(func() (err error) {
			promotions[i], err = disturb(ctx, c, policy, kind, length)
			return err
		})
	}
	if err := work.Wait(); err != nil {
		return Disturbance{}, err
	}
	d := Disturbance{Policy: policy.Name, Kind: kind, LengthMS: length.Milliseconds(), Runs: c.PauseRuns}
	for _, n := range promotions {
		if n > 0 {
			d.Promotions++
		}
	}
	return d, nil
}

// disturb brings a disturbance about, ends it and counts the promotions.
func disturb(ctx context.Context, c Config, policy Policy, kind string, length time.Duration) (int, error) {
	r, err := newRig(ctx, c, policy.Detector)
	if err != nil {
		return 0, err
	}
	defer r.close()
	on, off := disturbance(kind, length)
	for id, f := range on {
		if err := r.sim.Apply(id, f); err != nil {
			return 0, err
		}
	}
	if err := pause(ctx, length); err != nil {
		return 0, err
	}
	for id, f := range off {
		if err := r.sim.Apply(id, f); err != nil {
			return 0, err
		}
	}
	if err := pause(ctx, afterwards); err != nil {
		return 0, err
	}
	return r.count(term.ReportPromoted), nil
}

// disturbance returns the faults that begin and end a disturbance.
func disturbance(kind string, length time.Duration) (on, off map[model.ServerID]pgsim.Fault) {
	if kind == kindPause {
		begin, end := true, false
		return map[model.ServerID]pgsim.Fault{"g-0": {Frozen: &begin}}, map[model.ServerID]pgsim.Fault{"g-0": {Frozen: &end}}
	}
	lag, usual := length.Milliseconds(), int64(1)
	on, off = map[model.ServerID]pgsim.Fault{}, map[model.ServerID]pgsim.Fault{}
	for _, id := range []model.ServerID{"g-1", "g-2"} {
		on[id], off[id] = pgsim.Fault{ReceiveLagMS: &lag}, pgsim.Fault{ReceiveLagMS: &usual}
	}
	return on, off
}
