package pgsim

// Counters holds the counters of one server since the start of the process.
type Counters struct {
	// StatementsAtOnceMax is the highest number of statements that ran concurrently.
	StatementsAtOnceMax int `json:"statements_at_once_max"`
	// StatementsWantedMax is the highest number of statements that ran or waited for a slot
	// at the same time.
	StatementsWantedMax int `json:"statements_wanted_max"`
	// Statements is the number of statements that got a slot.
	Statements int64 `json:"statements"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
	// ConnectionsMax is the highest number of connections that were open at the same time.
	ConnectionsMax int `json:"connections_max"`
	// ConnectionsRefused is the number of connections that were refused above the limit.
	ConnectionsRefused int `json:"connections_refused"`
	// LedgerIDs is the number of distinct ids in the ledger.
	LedgerIDs int `json:"ledger_ids"`
	// LedgerDoubled is the number of ids that were inserted more than once.
	LedgerDoubled int `json:"ledger_doubled"`
}
