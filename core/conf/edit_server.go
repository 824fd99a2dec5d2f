package conf

import "pomelofork/core/model"

// DrainServer is the change after which a backend server gets no new work.
type DrainServer struct {
	// Server is the backend server.
	Server model.ServerID `json:"server"`
}

// apply implements edit.
func (e *DrainServer) apply(d *Document, faults *FaultsError) {
	d.setDraining("drain_server.server", e.Server, true, faults)
}

// ReturnServer is the change after which a drained backend server gets new work again.
type ReturnServer struct {
	// Server is the backend server.
	Server model.ServerID `json:"server"`
}

// apply implements edit.
func (e *ReturnServer) apply(d *Document, faults *FaultsError) {
	d.setDraining("return_server.server", e.Server, false, faults)
}

// setDraining sets whether a server is draining. If the server is not declared, it adds
// a fault at place.
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
