package caller

import (
	"strings"
	"time"

	"pomelofork/core/model"
	"pomelofork/io/meter"
	"pomelofork/io/wire"
)

// parameterServedBy is how a gateway names the backend server that ran a batch, in the
// form "server/role".
const parameterServedBy = settingPrefix + "served_by"

// roleReplica is the role of a backend server that wasn't the primary.
const roleReplica = "replica"

// countEnd counts a unit of work that this batch ended. A transaction that goes on
// isn't counted yet.
func (s *session) countEnd(started time.Time, result wire.Result, out *sink) {
	if result.TxStatus == txIdle && s.batch.executes() {
		s.count(started, out, 0)
	}
}

// countRefusal counts a unit of work that was refused or lost.
func (s *session) countRefusal(started time.Time, out *sink, refusal *model.Refusal) {
	if s.batch.executes() {
		s.count(started, out, refusal.Reason())
	}
}

func (s *session) count(started time.Time, out *sink, reason model.Reason) {
	server, role, _ := strings.Cut(out.servedBy, "/")
	s.server.config.Meter.Finished(s.now(), meter.Unit{
		Account: s.account, Route: s.route, Service: s.service, Access: s.access,
		Server: model.ServerID(server), Replica: role == roleReplica,
		Reason: reason, Started: started,
	})
}
