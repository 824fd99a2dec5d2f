package conf

import "pomelofork/core/model"

// DrainServer asks that a backend server gets no new work.
type DrainServer struct {
	// Server is the backend server.
	Server model.ServerID `json:"server"`
}

// apply implements edit.
func (e *DrainServer) apply(d *Document, faults *FaultsError) {
	d.setDraining("drain_server.server", e.Server, true, faults)
}

// ReturnServer gives a drained backend server new work again.
type ReturnServer struct {
	// Server is the backend server.
	Server model.ServerID `json:"server"`
}

// apply implements edit.
func (e *ReturnServer) apply(d *Document, faults *FaultsError) {
	d.setDraining("return_server.server", e.Server, false, faults)
}

// setDraining changes one server's entry, or records that there is none.
func (d *Document) setDraining(place string, id model.ServerID, draining bool, faults *FaultsError) {
	for i := range d.Services {
		for j := range d.Services[i].Servers {
			if server := &d.Services[i].Servers[j]; server.ID == id {
				server.Draining = draining
				return
			}
		}
	}
	faults.add(place, "no backend server %q is declared", string(id))
}
