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

// errResendNewKey is returned if a change is sent again with a newly created key.
var errResendNewKey = errors.New("--change-id: a new key would make this a different change; set --sha256 to the hash that was printed with the key")

// adminKeyCommand holds the commands that create, list and withdraw keys.
type adminKeyCommand struct {
	New      keyNewCommand      `cmd:"" help:"Create a key and print it with its hash. Nothing is sent to the fleet."`
	Give     keyGiveCommand     `cmd:"" help:"Create a key, give it to an account and print it once."`
	List     keyListCommand     `cmd:"" help:"List the keys of an account."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Withdraw a key, also for connections that are already open."`
}

// newKey returns a random key in URL-safe base64.
func newKey() string {
	var random [keyBytes]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	return base64.RawURLEncoding.EncodeToString(random[:])
}

// newKeyMessage is the JSON form of a new key in the output.
type newKeyMessage struct {
	Key    string     `json:"key"`
	ID     conf.KeyID `json:"id"`
	SHA256 string     `json:"sha256"`
}

// keyNewCommand creates a key without a change to the configuration.
type keyNewCommand struct{}

// Run prints the key, its identifier and its hash.
func (*keyNewCommand) Run(a *adminCommand) error {
	key := newKey()
	message := newKeyMessage{Key: key, ID: conf.IDOfKey(key), SHA256: conf.HashKey(key)}
	return a.print(message, [][]string{{"KEY", message.Key}, {"ID", string(message.ID)}, {"SHA256", message.SHA256}})
}

// keyGiveCommand gives a client account a new or an existing key.
type keyGiveCommand struct {
	Account string `arg:"" help:"Identifier of the account."`
	Label   string `help:"Note about the key."`
	SHA256  string `name:"sha256" help:"SHA-256 of an existing key in hexadecimal digits, to give in place of a new key."`
}

// Run prints a new key before it sends the change. If the key were printed afterwards, a lost
// answer could leave the account with a valid key that nobody knows.
func (c *keyGiveCommand) Run(a *adminCommand) error {
	hash := c.SHA256
	if hash == "" {
		if a.ChangeID != "" {
			return errResendNewKey
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

// keyMessage is the JSON form of a key in the output.
type keyMessage struct {
	ID        conf.KeyID `json:"id"`
	Label     string     `json:"label"`
	Withdrawn bool       `json:"withdrawn"`
}

// keyListCommand lists the keys of an account.
type keyListCommand struct {
	Account string `arg:"" help:"Identifier of the account."`
}

// Run prints one row per key, including withdrawn keys.
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
		return &exitError{status: exitNotFound, cause: fmt.Errorf("the configuration declares no account %q", c.Account)}
	}
	rows := [][]string{{"KEY", "STATE", "LABEL"}}
	keys := []keyMessage{}
	for _, key := range account.Keys() {
		keys = append(keys, keyMessage{ID: key.ID(), Label: key.Label(), Withdrawn: key.Withdrawn()})
		rows = append(rows, []string{string(key.ID()), account.KeyState(key.ID()).String(), key.Label()})
	}
	return a.print(keys, rows)
}

// keyWithdrawCommand withdraws a key of a client account.
type keyWithdrawCommand struct {
	Account string `arg:"" help:"Identifier of the account."`
	Key     string `arg:"" help:"Identifier of the key, as admin key list prints it."`
}

// Run sends the change to the fleet.
func (c *keyWithdrawCommand) Run(a *adminCommand) error {
	return a.change(conf.Change{WithdrawKey: &conf.WithdrawKey{Account: model.AccountID(c.Account), Key: conf.KeyID(c.Key)}})
}
