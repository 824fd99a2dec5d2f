package caller

import (
	"strings"

	"pomelofork/core/model"
	"pomelofork/io/meter"
)

// parameterServedBy is the ParameterStatus by which a gateway reports the backend server
// that ran a batch, and its role.
const parameterServedBy = settingPrefix + "served_by"

// recordServer stores in the unit which backend server ran its latest batch. servedBy has
// the form "stock-1/replica"; other values, such as an empty one, are ignored.
func (s *session) recordServer(servedBy string) {
	server, role, found := strings.Cut(servedBy, "/")
	if !found {
		return
	}
	s.unit.Server, s.unit.Replica = model.ServerID(server), role == "replica"
}

// countUnit counts the end of the unit of work. Further calls do nothing until another unit
// begins. A unit that only prepares statements costs no token, so it isn't counted unless
// it failed. A reason of zero means that the unit succeeded.
func (s *session) countUnit(reason model.Reason) {
	if s.unit.Started.IsZero() {
		return
	}
	if s.batch.executes() || reason != 0 {
		s.unit.Reason = reason
		s.server.config.Meter.CountUnit(s.now(), s.unit)
	}
	s.unit = meter.Unit{}
}
