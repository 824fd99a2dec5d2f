package main

import (
	"context"
	"fmt"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// adminAccountCommand holds the commands that list and change client accounts.
type adminAccountCommand struct {
	List   accountListCommand   `cmd:"" help:"List the client accounts."`
	Add    accountAddCommand    `cmd:"" help:"Add a client account without keys."`
	Remove accountRemoveCommand `cmd:"" help:"Remove a client account with its keys."`
}

// accountListCommand lists the client accounts.
type accountListCommand struct{}

// Run prints one row per account. KEYS is the number of keys that aren't withdrawn.
func (*accountListCommand) Run(a *adminCommand) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	rows := [][]string{{"ACCOUNT", "RATE/S", "BURST", "SHARE", "KEYS"}}
	for _, account := range document.Accounts {
		validKeys := 0
		for _, key := range account.Keys {
			if !key.Withdrawn {
				validKeys++
			}
		}
		rows = append(rows, []string{
			string(account.ID), fmt.Sprint(account.RatePerS), fmt.Sprint(account.Burst), fmt.Sprint(account.Share), fmt.Sprint(validKeys),
		})
	}
	return a.print(document.Accounts, rows)
}

// accountAddCommand adds a client account without keys.
type accountAddCommand struct {
	Account string  `arg:"" help:"Identifier of the account."`
	Rate    float64 `required:"" help:"Rate in tokens per second, over the whole fleet."`
	Burst   int     `required:"" help:"Largest number of tokens that may accumulate, over the whole fleet."`
	Share   int     `default:"1" help:"Weight of the account when slots are scarce."`
}

// Run sends the change to the fleet.
func (c *accountAddCommand) Run(a *adminCommand) error {
	entry := conf.AccountEntry{ID: model.AccountID(c.Account), RatePerS: c.Rate, Burst: c.Burst, Share: c.Share}
	return a.change(conf.Change{AddAccount: &conf.AddAccount{Account: entry}})
}

// accountRemoveCommand removes a client account with its keys.
type accountRemoveCommand struct {
	Account string `arg:"" help:"Identifier of the account."`
}

// Run sends the change to the fleet.
func (c *accountRemoveCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{RemoveAccount: &conf.RemoveAccount{Account: model.AccountID(c.Account)}})
}

// adminRateCommand changes the rate, burst or share of a client account. Limits that aren't
// given stay as they are.
type adminRateCommand struct {
	Account string   `arg:"" help:"Identifier of the account."`
	Rate    *float64 `help:"New rate in tokens per second."`
	Burst   *int     `help:"New largest number of tokens that may accumulate."`
	Share   *int     `help:"New weight when slots are scarce."`
}

// Run sends the change to the fleet.
func (c *adminRateCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{SetLimits: &conf.SetLimits{
		Account: model.AccountID(c.Account), RatePerS: c.Rate, Burst: c.Burst, Share: c.Share,
	}})
}
