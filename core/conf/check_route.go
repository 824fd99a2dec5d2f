package conf

// The values of RouteEntry.Access.
const (
	accessRead  = "read"
	accessWrite = "write"
)

// route judges one route. Accounts and services were judged before.
func (c *checker) route(place string, entry RouteEntry) {
	unique(c, join(place, "id"), entry.ID, c.routes)
	if !c.services[entry.Service] {
		c.faults.add(join(place, "service"), "no service %q is declared", string(entry.Service))
	}
	if entry.Access != accessRead && entry.Access != accessWrite {
		c.faults.add(join(place, "access"), "want %q or %q, not %q", accessRead, accessWrite, entry.Access)
	}
	c.within(join(place, "max_age_ms"), entry.MaxAgeMs, 0, maxAgeMs)
	if entry.Access == accessWrite && entry.MaxAgeMs != 0 {
		c.faults.add(join(place, "max_age_ms"), "a write accepts no age")
	}
	c.routeAccounts(place, entry)
}

// routeAccounts judges who may use a route.
func (c *checker) routeAccounts(place string, entry RouteEntry) {
	for i, account := range entry.Accounts {
		if !c.accounts[account] {
			c.faults.add(element(join(place, "accounts"), i), "no account %q is declared", string(account))
		}
	}
	if entry.OpenToAll && len(entry.Accounts) > 0 {
		c.faults.add(join(place, "accounts"), "a route that is open to all names no accounts")
	}
	if entry.ChargedTo == "" {
		return
	}
	if !entry.OpenToAll {
		c.faults.add(join(place, "charged_to"), "stands only on a route that is open to all")
	}
	if !c.accounts[entry.ChargedTo] {
		c.faults.add(join(place, "charged_to"), "no account %q is declared", string(entry.ChargedTo))
	}
}
