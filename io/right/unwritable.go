package right

import (
	"context"
	"log/slog"
	"slices"

	"pomelofork/io/logs"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// maxUnwritableLogged bounds the rights of which a log says that nobody can hold them.
const maxUnwritableLogged = 64

// wantedRights returns the rights that some instance should hold, without those whose key the store
// doesn't accept. It would refuse the other rights of the same transaction too.
func (mgr *Manager) wantedRights(state *view.State) []Spec {
	wanted := mgr.config.Wanted(state)
	if !slices.ContainsFunc(wanted, mgr.unwritable) {
		return wanted
	}
	return slices.DeleteFunc(slices.Clone(wanted), mgr.unwritable)
}

// unwritable reports whether the key of a right is over the limit of the store.
func (mgr *Manager) unwritable(spec Spec) bool {
	return len(mgr.config.View.RightKey(spec.Name)) > store.MaxKeyBytes
}

// logUnwritable logs the rights that nobody can hold, each once, up to maxUnwritableLogged.
func (mgr *Manager) logUnwritable(ctx context.Context, state *view.State) {
	for _, spec := range mgr.config.Wanted(state) {
		if !mgr.unwritable(spec) || mgr.unwritableLogged[spec.Name] || len(mgr.unwritableLogged) == maxUnwritableLogged {
			continue
		}
		if mgr.unwritableLogged == nil {
			mgr.unwritableLogged = map[string]bool{}
		}
		mgr.unwritableLogged[spec.Name] = true
		mgr.config.Log.LogAttrs(ctx, slog.LevelError, "nobody can hold a right: its key is too long for the store", slog.String("right", logs.Shortened(spec.Name)),
			slog.Int("bytes", len(mgr.config.View.RightKey(spec.Name))), slog.Int("max_bytes", store.MaxKeyBytes))
	}
}
