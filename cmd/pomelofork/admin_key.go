package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"os"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// keyBytes is the size of a new key, in random bytes.
const keyBytes = 32

// errNewKey says why a new key can't be given by a change that is sent again.
var errNewKey = errors.New("--change-id: a new key would be another change; give --sha256 of the key that was printed")

// adminKeyCommand holds the commands on keys.
type adminKeyCommand struct {
	New      keyNewCommand      `cmd:"" help:"Make a key and print it with its hash; nothing is sent."`
	Give     keyGiveCommand     `cmd:"" help:"Make a key, give it to an account and print it once."`
	List     keyListCommand     `cmd:"" help:"List the keys of an account."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Make a key stop working, also on open connections."`
}

// newKey returns a new random key.
func newKey() string {
	var random [keyBytes]byte
	_, _ = rand.Read(random[:]) // it never fails
	return base64.RawURLEncoding.EncodeToString(random[:])
}

// newKeyMessage is the output of keyNewCommand as JSON.
type newKeyMessage struct {
	Key    string     `json:"key"`
	ID     conf.KeyID `json:"id"`
	SHA256 string     `json:"sha256"`
}

// keyNewCommand makes a key.
type keyNewCommand struct{}

// Run prints the key.
func (*keyNewCommand) Run(a *adminCommand) error {
	key := newKey()
	message := newKeyMessage{Key: key, ID: conf.IDOfKey(key), SHA256: conf.HashKey(key)}
	return a.print(message, [][]string{{"KEY", message.Key}, {"ID", string(message.ID)}, {"SHA256", message.SHA256}})
}

// keyGiveCommand gives an account a new key.
type keyGiveCommand struct {
	Account string `arg:"" help:"Identifier of the account."`
	Label   string `help:"Note about the key."`
	SHA256  string `name:"sha256" help:"Hash of a key that exists already, in place of a new one."`
}

// Run prints the key ahead of the change: an answer that gets lost must not lose a
// key that works.
func (c *keyGiveCommand) Run(a *adminCommand) error {
	hash := c.SHA256
	if hash == "" {
		if a.ChangeID != "" {
			return errNewKey
		}
		key := newKey()
		hash = conf.HashKey(key)
		message := newKeyMessage{Key: key, ID: conf.IDOfKey(key), SHA256: hash}
		if err := a.print(message, [][]string{{"KEY", key}, {"ID", string(message.ID)}, {"SHA256", hash}}); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(os.Stderr, "The key is not stored anywhere and is not shown again."); err != nil {
			return err
		}
	}
	return a.change(conf.Change{GiveKey: &conf.GiveKey{Account: model.AccountID(c.Account), SHA256: hash, Label: c.Label}})
}

// keyMessage is a key in the output as JSON.
type keyMessage struct {
	ID        conf.KeyID `json:"id"`
	Label     string     `json:"label"`
	Withdrawn bool       `json:"withdrawn"`
}

// keyListCommand lists the keys of an account.
type keyListCommand struct {
	Account string `arg:"" help:"Identifier of the account."`
}

// Run prints one row a key.
func (c *keyListCommand) Run(a *adminCommand) error {
	document, err := a.document(context.Background())
	if err != nil {
		return err
	}
	config, err := conf.NewConfig(&document)
	if err != nil {
		return err
	}
	account, ok := config.Account(model.AccountID(c.Account))
	if !ok {
		return &exitError{status: exitNotFound, cause: fmt.Errorf("no account %q is declared", c.Account)}
	}
	rows := [][]string{{"KEY", "STATE", "LABEL"}}
	keys := []keyMessage{}
	for _, key := range account.Keys() {
		keys = append(keys, keyMessage{ID: key.ID(), Label: key.Label(), Withdrawn: key.Withdrawn()})
		rows = append(rows, []string{string(key.ID()), account.KeyState(key.ID()).String(), key.Label()})
	}
	return a.print(keys, rows)
}

// keyWithdrawCommand withdraws a key.
type keyWithdrawCommand struct {
	Account string `arg:"" help:"Identifier of the account."`
	Key     string `arg:"" help:"Identifier of the key, as the list shows it."`
}

// Run makes the change.
func (c *keyWithdrawCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{WithdrawKey: &conf.WithdrawKey{Account: model.AccountID(c.Account), Key: conf.KeyID(c.Key)}})
}
