package conf

// The values of RouteEntry.Access.
const (
	accessRead  = "read"
	accessWrite = "write"
)

// route validates one route. It must be called after all accounts and services, since
// the route refers to them.
func (c *checker) route(place string, entry RouteEntry) {
	unique(c, join(place, "id"), entry.ID, c.routes)
	if !c.services[entry.Service] {
		c.faults.add(join(place, "service"), "no service %q is declared", string(entry.Service))
	}
	if entry.Access != accessRead && entry.Access != accessWrite {
		c.faults.add(join(place, "access"), "want %q or %q, not %q", accessRead, accessWrite, entry.Access)
	}
	c.inRange(join(place, "max_age_ms"), entry.MaxAgeMs, 0, maxAgeMs)
	if entry.Access == accessWrite && entry.MaxAgeMs != 0 {
		c.faults.add(join(place, "max_age_ms"), "must be 0 on a write route")
	}
	c.routeAccounts(place, entry)
}

// routeAccounts validates which accounts may use a route and which account is charged.
func (c *checker) routeAccounts(place string, entry RouteEntry) {
	for i, account := range entry.Accounts {
		if !c.accounts[account] {
			c.faults.add(element(join(place, "accounts"), i), "no account %q is declared", string(account))
		}
	}
	if entry.OpenToAll && len(entry.Accounts) > 0 {
		c.faults.add(join(place, "accounts"), "must be empty on a route with open_to_all")
	}
	if entry.ChargedTo == "" {
		return
	}
	if !entry.OpenToAll {
		c.faults.add(join(place, "charged_to"), "is allowed only on a route with open_to_all")
	}
	if !c.accounts[entry.ChargedTo] {
		c.faults.add(join(place, "charged_to"), "no account %q is declared", string(entry.ChargedTo))
	}
}
