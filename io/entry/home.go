package entry

import (
	"time"

	"pomelofork/core/home"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
)

// noHomeRetryAfter is the time after which a caller is told to retry when its service has no server
// in the regions in which its statement may run: about the time in which a server starts.
const noHomeRetryAfter = 2 * time.Second

// homes returns the regions in which a statement of the session may run, by the configuration in
// force. Empty means all.
func (s *session) homes(admitted admission) []model.Region {
	p := s.entry.config.View.State().Plan
	route := admitted.route
	if present, ok := p.Route(s.opening.Database); ok {
		route = present
	}
	account, _ := p.Account(admitted.account)
	return home.Of(route.Homes, account.Homes)
}

// atHome reports whether a server may run a statement with the given homes. The server may have moved
// to another failure domain since it was chosen.
func (s *session) atHome(server plan.Server, homes []model.Region) bool {
	if present, ok := s.entry.config.View.State().Servers[server.ID]; ok {
		server = present
	}
	return s.entry.config.Homes.Allows(homes, server.Domain)
}

// hasNoHome reports whether no server can run the statement in its homes, and none can be expected soon:
// the service has none there, or the statement needs the primary, which is elsewhere.
func (a *attempts) hasNoHome() bool {
	if len(a.order.Homes) == 0 {
		return false
	}
	config := &a.session.entry.config
	found := false
	for _, server := range config.View.State().Services[a.route.Service] {
		allowed := config.Homes.Allows(a.order.Homes, server.Domain)
		if a.primary && server.Primary && !allowed {
			return true
		}
		found = found || allowed
	}
	return !found
}

// refuseOutsideHomes returns the result of a statement that no server in its homes can run.
func refuseOutsideHomes() stmt.Result {
	return stmt.Result{Answer: stmt.Refuse(stmt.CodeBusy, stmt.StateIdle, "no server in an allowed region can take the statement"), NotSent: true, RetryAfter: noHomeRetryAfter}
}
