package main

import (
	"context"
	"fmt"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// adminAccountCommand holds the commands on client accounts.
type adminAccountCommand struct {
	List   accountListCommand   `cmd:"" help:"List the client accounts."`
	Add    accountAddCommand    `cmd:"" help:"Add a client account without keys."`
	Remove accountRemoveCommand `cmd:"" help:"Remove a client account with its keys."`
}

// accountListCommand lists the accounts.
type accountListCommand struct{}

// Run prints one row an account.
func (*accountListCommand) Run(a *adminCommand) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	rows := [][]string{{"ACCOUNT", "RATE/S", "BURST", "SHARE", "KEYS"}}
	for _, account := range document.Accounts {
		valid := 0
		for _, key := range account.Keys {
			if !key.Withdrawn {
				valid++
			}
		}
		rows = append(rows, []string{
			string(account.ID), fmt.Sprint(account.RatePerS), fmt.Sprint(account.Burst), fmt.Sprint(account.Share), fmt.Sprint(valid),
		})
	}
	return a.print(document.Accounts, rows)
}

// accountAddCommand adds an account.
type accountAddCommand struct {
	Account string  `arg:"" help:"Identifier of the account."`
	Rate    float64 `required:"" help:"Rate in tokens a second over the whole fleet."`
	Burst   int     `required:"" help:"Tokens that may be saved up over the whole fleet."`
	Share   int     `default:"1" help:"Weight where slots are scarce."`
}

// Run makes the change.
func (c *accountAddCommand) Run(a *adminCommand) error {
	entry := conf.AccountEntry{ID: model.AccountID(c.Account), RatePerS: c.Rate, Burst: c.Burst, Share: c.Share}
	return a.change(conf.Change{AddAccount: &conf.AddAccount{Account: entry}})
}

// accountRemoveCommand removes an account.
type accountRemoveCommand struct {
	Account string `arg:"" help:"Identifier of the account."`
}

// Run makes the change.
func (c *accountRemoveCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{RemoveAccount: &conf.RemoveAccount{Account: model.AccountID(c.Account)}})
}

// adminRateCommand changes the limits of an account.
type adminRateCommand struct {
	Account string   `arg:"" help:"Identifier of the account."`
	Rate    *float64 `help:"New rate in tokens a second."`
	Burst   *int     `help:"New number of tokens that may be saved up."`
	Share   *int     `help:"New weight where slots are scarce."`
}

// Run makes the change.
func (c *adminRateCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{SetLimits: &conf.SetLimits{
		Account: model.AccountID(c.Account), RatePerS: c.Rate, Burst: c.Burst, Share: c.Share,
	}})
}
