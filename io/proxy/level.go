package proxy

import (
	"context"
	"log/slog"

	"pomelofork/core/level"
	"pomelofork/io/view"
)

// maxNamedBehind is the number of instances that a log line names as those that hold the level back.
const maxNamedBehind = 8

// updateLevel logs a change of the fleet's level. The caller holds the lock.
func (n *Node) updateLevel(s *view.State) {
	fleet, behind := level.Of(s.Instances)
	n.meter.SetLevel(fleet, len(behind))
	if fleet == n.fleetLevel {
		return
	}
	n.config.Log.LogAttrs(context.Background(), slog.LevelInfo, "level of the fleet changed", slog.Int("former", n.fleetLevel), slog.Int("level", fleet), slog.Int("own", level.Newest),
		slog.Int("instances", len(s.Instances)), slog.Int("behind", len(behind)), slog.Any("behind_first", behind[:min(len(behind), maxNamedBehind)]))
	n.fleetLevel = fleet
}
