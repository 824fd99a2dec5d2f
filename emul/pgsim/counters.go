package pgsim

// Counters is what one server counted since the start of the process.
type Counters struct {
	// StatementsAtOnceMax is the highest number of statements that ran at once.
	StatementsAtOnceMax int `json:"statements_at_once_max"`
	// StatementsWantedMax also counts those that waited in the server.
	StatementsWantedMax int `json:"statements_wanted_max"`
	// Statements is how many statements took a slot.
	Statements int64 `json:"statements"`
	// Connections is how many connections are open now.
	Connections int `json:"connections"`
	// ConnectionsMax is the highest number of connections open at once.
	ConnectionsMax int `json:"connections_max"`
	// ConnectionsRefused is how many were above the limit.
	ConnectionsRefused int `json:"connections_refused"`
	// LedgerIDs is how many different ids the ledger holds.
	LedgerIDs int `json:"ledger_ids"`
	// LedgerDoubled is how many ids were inserted more than once.
	LedgerDoubled int `json:"ledger_doubled"`
}
