package group

import (
	"context"
	"log/slog"

	"pomelofork/core/model"
	"pomelofork/core/term"
	"pomelofork/io/event"
)

// reportEvents maps the kinds of reports to the numbered events of the log.
var reportEvents = map[term.ReportKind]event.ID{
	term.ReportNewPrimary:       event.GroupPrimary,
	term.ReportSuspected:        event.GroupSuspected,
	term.ReportAttemptBegan:     event.GroupTermBegan,
	term.ReportPromoted:         event.GroupPromoted,
	term.ReportAttemptAbandoned: event.GroupTermAbandoned,
	term.ReportStalePrimary:     event.GroupStalePrimary,
	term.ReportNoMajority:       event.GroupNoMajority,
	term.ReportNoTerm:           event.GroupNoTerm,
	term.ReportTermsReserved:    event.GroupTermsReserved,
	term.ReportDraining:         event.GroupDraining,
}

// report logs a report and passes it to Config.Report.
func (w *Watcher) report(r term.Report) {
	attrs := []slog.Attr{
		slog.String("service", string(w.conf.Service)),
		slog.String("server", string(r.Server)),
		slog.Uint64("term", uint64(r.Term)),
	}
	if r.Cause != term.CauseNone {
		attrs = append(attrs, slog.String("cause", r.Cause.String()))
	}
	if r.Kind == term.ReportPromoted {
		attrs = append(attrs,
			slog.Duration("detect", r.Phases.Detect), slog.Duration("decide", r.Phases.Decide),
			slog.Duration("fence", r.Phases.Fence), slog.Duration("promote", r.Phases.Promote))
	}
	event.Log(w.ctx, w.conf.Logger, reportEvents[r.Kind], attrs...)
	w.conf.Report(r)
}

// logConnected logs that a status connection is open.
func (w *Watcher) logConnected(ctx context.Context, id model.ServerID) {
	event.Log(ctx, w.conf.Logger, event.GroupConnected,
		slog.String("service", string(w.conf.Service)), slog.String("server", string(id)))
}

// logConnFailed logs that a status connection failed or could not be opened.
func (w *Watcher) logConnFailed(ctx context.Context, id model.ServerID, err error) {
	event.Log(ctx, w.conf.Logger, event.GroupDisconnected,
		slog.String("service", string(w.conf.Service)), slog.String("server", string(id)),
		slog.String("error", err.Error()))
}

// logReserveFailed logs that terms could not be reserved.
func (w *Watcher) logReserveFailed(ctx context.Context, err error) {
	event.Log(ctx, w.conf.Logger, event.GroupTermsNotReserved,
		slog.String("service", string(w.conf.Service)), slog.String("error", err.Error()))
}
