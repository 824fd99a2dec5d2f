package conf

import (
	"slices"

	"pomelofork/core/model"
)

// AddRoute is the change that adds a route.
type AddRoute struct {
	// Route is the new route.
	Route RouteEntry `json:"route"`
}

// apply implements edit. The validation of the resulting document reports a route that
// already exists.
func (e *AddRoute) apply(d *Document, _ *FaultsError) {
	d.Routes = append(d.Routes, e.Route)
}

// RemoveRoute is the change that removes a route.
type RemoveRoute struct {
	// Route identifies the route to remove.
	Route model.RouteID `json:"route"`
}

// apply implements edit.
func (e *RemoveRoute) apply(d *Document, faults *FaultsError) {
	before := len(d.Routes)
	d.Routes = slices.DeleteFunc(d.Routes, func(r RouteEntry) bool { return r.ID == e.Route })
	if len(d.Routes) == before {
		faults.add("remove_route.route", "no route %q is declared", string(e.Route))
	}
}
