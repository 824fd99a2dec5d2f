package load

import (
	"fmt"

	"pomelofork/bench/judge"
)

// The statements of the traffic.
const (
	sqlSetItem   = "INSERT INTO items (key, value) VALUES ($1, $2)"
	sqlAddLedger = "INSERT INTO ledger (id) VALUES ($1)"
	sqlGetItem   = "SELECT value, version FROM items WHERE key = $1"
	sqlAllLedger = "SELECT id FROM ledger"
)

// itemKey returns the key of the item that only this session writes.
func itemKey(run, account string, session int) string {
	return fmt.Sprintf("%s.item.%s.%d", run, account, session)
}

// pairOf returns the items that an account's transactions write together.
func pairOf(run, service, account string) judge.Pair {
	return judge.Pair{Service: service, Left: run + ".left." + account, Right: run + ".right." + account}
}

// postLedgerIDs and orderLedgerIDs return the ledger entries of an operation.
func postLedgerIDs(id string) []string  { return []string{id + ".a"} }
func orderLedgerIDs(id string) []string { return []string{id + ".a", id + ".b"} }
