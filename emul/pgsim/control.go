package pgsim

import (
	"encoding/json"
	"net/http"
	"time"

	"pomelofork/core/model"
)

// Fault changes the injected faults of one server. A nil field leaves its setting
// unchanged.
type Fault struct {
	// Cut makes the server unreachable for clients and for the other servers. Bytes on its
	// connections are held back until the fault ends; none are lost.
	Cut *bool `json:"cut"`
	// Frozen stops all work of the server, like a process that is stopped by a signal.
	Frozen *bool `json:"frozen"`
	// Killed closes the port and all connections. Setting it to false restarts the server
	// with the log and the role that it had.
	Killed *bool `json:"killed"`
	// ReceiveLagMS replaces Config.ReceiveLag, in milliseconds.
	ReceiveLagMS *int64 `json:"receive_lag_ms"`
	// ApplyLagMS replaces Config.ApplyLag, in milliseconds.
	ApplyLagMS *int64 `json:"apply_lag_ms"`
	// CutFrom lists the servers of the group that this server is disconnected from: there
	// is no replication in either direction. It replaces the previous list.
	CutFrom *[]model.ServerID `json:"cut_from"`
	// Leaving makes the server report in its status that it is shutting down.
	Leaving *bool `json:"leaving"`
}

// State is the state of one server, as the control interface reports it.
type State struct {
	ID       model.ServerID `json:"id"`
	Address  string         `json:"address"`
	Primary  bool           `json:"primary"`
	Promised model.Term     `json:"promised"`
	// Log and Applied are the log points of the last entry and the last applied entry.
	Log     string `json:"log"`
	Applied string `json:"applied"`
	Cut     bool   `json:"cut"`
	Frozen  bool   `json:"frozen"`
	Killed  bool   `json:"killed"`
	Leaving bool   `json:"leaving"`
	Counters
}

// Apply injects or ends faults of one server. It fails if the group has no such server, or
// if the port of a restarted server can't be opened.
func (g *Group) Apply(id model.ServerID, f Fault) error {
	s, ok := g.server(id)
	if !ok {
		return sqlError{"42704", "no such server"}
	}
	g.mu.Lock()
	setIfGiven(&s.cut, f.Cut)
	setIfGiven(&s.frozen, f.Frozen)
	setIfGiven(&s.leaving, f.Leaving)
	if f.ReceiveLagMS != nil {
		s.receiveLag = time.Duration(*f.ReceiveLagMS) * time.Millisecond
	}
	if f.ApplyLagMS != nil {
		s.applyLag = time.Duration(*f.ApplyLagMS) * time.Millisecond
	}
	if f.CutFrom != nil {
		clear(s.cutFrom)
		for _, other := range *f.CutFrom {
			s.cutFrom[other] = true
		}
	}
	restart := s.killed && f.Killed != nil && !*f.Killed
	if !s.killed && f.Killed != nil && *f.Killed {
		s.killed = true
		s.closeAll()
	}
	g.notifyAll()
	g.mu.Unlock()
	if restart {
		return s.restart()
	}
	return nil
}

// setIfGiven copies *from to *to unless from is nil.
func setIfGiven[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// restart starts a killed server on its former address, with the log and the role that it
// had. The caller doesn't hold the lock.
func (s *server) restart() error {
	s.group.mu.Lock()
	s.killed = false
	s.group.mu.Unlock()
	if err := s.listen(s.address); err != nil {
		return err
	}
	s.group.mu.Lock()
	s.group.notifyAll()
	s.group.mu.Unlock()
	return nil
}

// States returns the state of every server, in the order of IDs.
func (g *Group) States() []State {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []State
	for _, s := range g.servers {
		state := State{
			ID: s.id, Address: s.address, Primary: s.primary, Promised: s.promised,
			Log: s.logPoint(len(s.log)).String(), Applied: s.logPoint(s.applied).String(),
			Cut: s.cut, Frozen: s.frozen, Killed: s.killed, Leaving: s.leaving,
			Counters: s.counters,
		}
		s.slots.fillCounters(&state.Counters)
		state.LedgerIDs, state.LedgerDoubled = len(s.data.ledger), s.data.countDuplicates()
		all = append(all, state)
	}
	return all
}

// Control returns the HTTP handler of the control interface, which injects faults and shows
// the state of the servers.
func (g *Group) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/servers/{id}", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := g.Apply(model.ServerID(r.PathValue("id")), f); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /control/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(struct {
			Service model.ServiceID `json:"service"`
			Servers []State         `json:"servers"`
		}{g.conf.Service, g.States()})
	})
	return mux
}
