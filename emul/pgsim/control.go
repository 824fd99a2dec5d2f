package pgsim

import (
	"encoding/json"
	"net/http"
	"time"

	"pomelofork/core/model"
)

// Fault changes the state of one server. Absent fields keep their value.
type Fault struct {
	Cut          *bool             `json:"cut"`
	Frozen       *bool             `json:"frozen"`
	Killed       *bool             `json:"killed"`
	ReceiveLagMS *int64            `json:"receive_lag_ms"`
	ApplyLagMS   *int64            `json:"apply_lag_ms"`
	CutFrom      *[]model.ServerID `json:"cut_from"`
	Leaving      *bool             `json:"leaving"`
}

// State is what the control interface shows of one server.
type State struct {
	ID       model.ServerID `json:"id"`
	Address  string         `json:"address"`
	Primary  bool           `json:"primary"`
	Promised model.Term     `json:"promised"`
	Log      string         `json:"log"`
	Applied  string         `json:"applied"`
	Cut      bool           `json:"cut"`
	Frozen   bool           `json:"frozen"`
	Killed   bool           `json:"killed"`
	Leaving  bool           `json:"leaving"`
	Counters
}

// Apply brings a fault about or ends it.
func (g *Group) Apply(id model.ServerID, f Fault) error {
	s, ok := g.server(id)
	if !ok {
		return fault{"42704", "no such server"}
	}
	g.mu.Lock()
	set(&s.cut, f.Cut)
	set(&s.frozen, f.Frozen)
	set(&s.leaving, f.Leaving)
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
	revive := s.killed && f.Killed != nil && !*f.Killed
	if !s.killed && f.Killed != nil && *f.Killed {
		s.killed = true
		s.drop()
	}
	g.wakeAll()
	g.mu.Unlock()
	if revive {
		return s.revive()
	}
	return nil
}

// set copies a value that is given.
func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// revive starts a killed server again with the log and the role that it had.
func (s *server) revive() error {
	s.group.mu.Lock()
	s.killed = false
	s.group.mu.Unlock()
	if err := s.listen(s.address); err != nil {
		return err
	}
	s.group.mu.Lock()
	s.group.wakeAll()
	s.group.mu.Unlock()
	return nil
}

// States returns the state of every server.
func (g *Group) States() []State {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []State
	for _, s := range g.servers {
		one := State{
			ID: s.id, Address: s.address, Primary: s.primary, Promised: s.promised,
			Log: s.point(len(s.log)).String(), Applied: s.point(s.applied).String(),
			Cut: s.cut, Frozen: s.frozen, Killed: s.killed, Leaving: s.leaving,
			Counters: s.counters,
		}
		s.slots.counts(&one.Counters)
		one.LedgerIDs, one.LedgerDoubled = len(s.data.ledger), s.data.doubled()
		all = append(all, one)
	}
	return all
}

// Control returns the handler of the control interface.
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
