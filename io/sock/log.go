package sock

import (
	"context"
	"log/slog"
)

// LogAccepting returns a function for PersistentConfig.Changed that logs when connections can't be accepted
// and when one is accepted again. from names those who connect.
func LogAccepting(log *slog.Logger, from string) func(error) {
	return func(err error) {
		if err != nil {
			log.LogAttrs(context.Background(), slog.LevelError, "connections can't be accepted, those that wait are closed", slog.String("from", from), slog.String("error", err.Error()))
			return
		}
		log.LogAttrs(context.Background(), slog.LevelInfo, "connections are accepted again", slog.String("from", from))
	}
}
