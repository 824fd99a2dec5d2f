package admin

import (
	"context"
	"errors"
	"time"

	"pomelofork/core/conf"
	"pomelofork/io/store"
)

// commit performs the actions of one attempt until it has finished. The error is a
// *conf.FaultsError if the change is malformed.
func (s *Server) commit(ctx context.Context, change conf.Change, operator string) (conf.Result, error) {
	start := s.config.Now()
	attempt, err := conf.NewAttempt(conf.AttemptConfig{Change: change, Operator: operator, Deadline: start.Add(s.config.Timeout)})
	if err != nil {
		return conf.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	for action := attempt.Start(start); ; {
		switch step := action.(type) {
		case conf.Read:
			action = s.read(ctx, attempt)
		case conf.Write:
			action = s.write(ctx, attempt, step)
		case conf.Pause:
			action = s.pause(ctx, attempt, step)
		case conf.Finish:
			return step.Result(), nil
		}
	}
}

// load returns the configuration in the store and the revision of its key, or nil and zero
// if there is none. The error is a *conf.FaultsError if the stored document is invalid.
func (s *Server) load(ctx context.Context) (*conf.Config, uint64, error) {
	item, err := s.config.Store.Get(ctx, ConfigKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	config, err := conf.Parse([]byte(item.Value))
	return config, item.Revision, err
}

// read performs a conf.Read.
func (s *Server) read(ctx context.Context, attempt *conf.Attempt) conf.Action {
	stored, revision, err := s.load(ctx)
	now := s.config.Now()
	if faults := new(conf.FaultsError); errors.As(err, &faults) {
		return attempt.OnFaulty(err)
	}
	if err != nil {
		return attempt.OnReadFailed(now)
	}
	return attempt.OnRead(now, stored, revision)
}

// write performs a conf.Write.
func (s *Server) write(ctx context.Context, attempt *conf.Attempt, step conf.Write) conf.Action {
	_, err := s.config.Store.Swap(ctx, store.Swap{
		Key: ConfigKey, ExpectedRevision: step.Revision(), Value: string(step.Config().Text()),
	})
	now := s.config.Now()
	conflict := new(store.ConflictError)
	switch {
	case err == nil:
		return attempt.OnWritten(step.Config())
	case errors.As(err, &conflict):
		return attempt.OnConflict(now)
	case errors.Is(err, store.ErrUnavailable):
		return attempt.OnUnavailable(now)
	}
	return attempt.OnUnknown(now)
}

// pause performs a conf.Pause. It returns early when ctx ends.
func (s *Server) pause(ctx context.Context, attempt *conf.Attempt, step conf.Pause) conf.Action {
	timer := time.NewTimer(step.Until().Sub(s.config.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return attempt.Resume(s.config.Now())
}
