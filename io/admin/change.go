package admin

import (
	"context"
	"io"
	"log/slog"
	"net/http"

	"pomelofork/core/conf"
	"pomelofork/io/event"
)

// resultEvents maps each answer to the event that is logged for it.
var resultEvents = map[conf.Answer]event.ID{
	conf.AnswerAccepted:    event.ChangeAccepted,
	conf.AnswerConflicting: event.ChangeConflicting,
	conf.AnswerRefused:     event.ChangeRefused,
	conf.AnswerUnavailable: event.ChangeUnavailable,
	conf.AnswerNotKnown:    event.ChangeOutcomeUnknown,
}

// postChange applies a change to the configuration in the store. It continues if the
// client closes the connection, because nobody could tell whether an abandoned change took
// effect.
func (s *Server) postChange(w http.ResponseWriter, r authenticatedRequest) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusBadRequest, ErrorDetail{Code: codeBadRequest, Message: err.Error()})
		return
	}
	change, err := conf.ParseChange(text)
	if err != nil {
		writeError(w, http.StatusBadRequest, ErrorDetail{Code: codeBadRequest, Message: "malformed change", Faults: faultMessages(err)})
		return
	}
	ctx := context.WithoutCancel(r.Context())
	result, err := s.commit(ctx, change, r.operator)
	if err != nil {
		writeError(w, http.StatusBadRequest, ErrorDetail{Code: codeBadRequest, Message: "malformed change", Faults: faultMessages(err)})
		return
	}
	event.Log(ctx, s.config.Logger, resultEvents[result.Answer()], slog.String("change", change.ID), slog.String("kind", change.Kind()),
		slog.String("operator", r.operator), slog.Uint64("version", result.Version()))
	s.offerConfig(result.Config())
	writeChangeResult(w, change.ID, result)
}
