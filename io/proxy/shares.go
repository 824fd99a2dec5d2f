package proxy

import "pomelofork/core/model"

// accountRate returns the rate of a client account, or zero if it isn't known.
func (n *Node) accountRate(id model.AccountID) float64 {
	p := n.view.State().Plan
	if p == nil {
		return 0
	}
	account, _ := p.Account(id)
	return account.PerSecond
}
