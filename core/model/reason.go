package model

// Reason is the cause of a refusal. The numbers must not change: instances send them to
// each other, and docs/EVENTS.md lists them.
type Reason uint8

// The causes of a refusal. The texts in reasons describe them.
const (
	ReasonUnknownAccount Reason = iota + 1
	ReasonWrongKey
	ReasonKeyWithdrawn
	ReasonUnknownRoute
	ReasonRouteForbidden
	ReasonWriteOnReadRoute
	ReasonRateExceeded
	ReasonQueueFull
	ReasonDeadline
	ReasonNoPrimary
	ReasonNoGateway
	ReasonNoConfiguration
	ReasonShuttingDown
	ReasonConnectionLost
	ReasonAckTimeout
	ReasonBadMessage
	ReasonTooLarge
	ReasonWritesRefused
	ReasonNoIssuer
)

// reasonInfo is what callers receive for one reason.
type reasonInfo struct {
	sqlstate string
	text     string
}

// reasons maps each reason to its SQLSTATE (appendix A of the PostgreSQL documentation)
// and its text.
var reasons = map[Reason]reasonInfo{
	ReasonUnknownAccount:   {"28000", "unknown client account"},
	ReasonWrongKey:         {"28P01", "wrong key"},
	ReasonKeyWithdrawn:     {"28P01", "key withdrawn"},
	ReasonUnknownRoute:     {"3F000", "unknown route"},
	ReasonRouteForbidden:   {"42501", "route not open to this client account"},
	ReasonWriteOnReadRoute: {"25006", "write on a read route"},
	ReasonRateExceeded:     {"53400", "rate of the client account exceeded"},
	ReasonQueueFull:        {"53000", "queue of the client account full"},
	ReasonDeadline:         {"57014", "deadline can't be met"},
	ReasonNoPrimary:        {"57P03", "service has no primary at present"},
	ReasonNoGateway:        {"57P03", "no instance serves this service at present"},
	ReasonNoConfiguration:  {"57P03", "no current configuration"},
	ReasonShuttingDown:     {"57P01", "instance is shutting down"},
	ReasonConnectionLost:   {"08006", "connection to the backend server lost"},
	ReasonAckTimeout:       {"08007", "commit not confirmed by a majority in time"},
	ReasonBadMessage:       {"08P01", "malformed protocol message"},
	ReasonTooLarge:         {"54000", "request too large"},
	ReasonWritesRefused:    {"57P03", "writes are refused by the preset in force"},
	ReasonNoIssuer:         {"57P03", "no instance gives out this client account's tokens at present"},
}

// SQLState returns the five-character SQLSTATE code of the reason.
func (r Reason) SQLState() string { return reasons[r].sqlstate }

// String returns the text of the reason that callers see.
func (r Reason) String() string { return reasons[r].text }
