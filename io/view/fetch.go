package view

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"pomelofork/io/clock"
)

// fetch sends a query to a source and returns the answer and when the answered query was sent. If
// a watch times out, it repeats the query without a wait before it reports a failure.
func (v *View) fetch(ctx context.Context, source Source, query Query) (Update, time.Time, error) {
	timeout := query.Wait + watchSlack
	if query.All {
		timeout = listTimeout
	}
	sent := clock.Now()
	update, err := fetchWithin(ctx, source, query, timeout)
	if err == nil || query.All || !errors.Is(err, context.DeadlineExceeded) {
		return update, sent, err
	}
	v.config.Log.LogAttrs(ctx, slog.LevelInfo, "watch timed out; repeating the query without a wait", slog.String("source", source.Name()), slog.Uint64("after", query.After))
	query.Wait, sent = 0, clock.Now()
	update, err = fetchWithin(ctx, source, query, checkTimeout)
	return update, sent, err
}

// fetchWithin sends a query to a source with a time-out.
func fetchWithin(ctx context.Context, source Source, query Query, timeout time.Duration) (Update, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return source.Fetch(callCtx, query)
}
