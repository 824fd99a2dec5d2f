package event

import "log/slog"

// Events of the groups of backend servers: 200 to 299.
const (
	GroupPrimary          ID = 200
	GroupSuspected        ID = 201
	GroupTermBegan        ID = 202
	GroupPromoted         ID = 203
	GroupTermAbandoned    ID = 204
	GroupStalePrimary     ID = 205
	GroupNoMajority       ID = 206
	GroupNoTerm           ID = 207
	GroupTermsReserved    ID = 208
	GroupTermsNotReserved ID = 209
	GroupDraining         ID = 210
	GroupConnected        ID = 211
	GroupDisconnected     ID = 212
)

var groupKinds = map[ID]Kind{
	GroupPrimary:          {Level: slog.LevelInfo, Text: "primary of the service known"},
	GroupSuspected:        {Level: slog.LevelWarn, Text: "primary suspected"},
	GroupTermBegan:        {Level: slog.LevelWarn, Text: "new term begun"},
	GroupPromoted:         {Level: slog.LevelWarn, Text: "primary replaced", Action: "Find out why the former primary failed, unless the change was planned."},
	GroupTermAbandoned:    {Level: slog.LevelWarn, Text: "new term abandoned", Action: "Only when it repeats: check that a majority of the backend servers answers."},
	GroupStalePrimary:     {Level: slog.LevelWarn, Text: "backend server still acts as the leader of an old term; fenced"},
	GroupNoMajority:       {Level: slog.LevelError, Text: "primary failed and too few backend servers answer", Action: "Bring a backend server of the service back. Writes wait until then."},
	GroupNoTerm:           {Level: slog.LevelError, Text: "primary failed and no term is reserved", Action: "Bring the platform's key-value service back, or wait for the other gateway."},
	GroupTermsReserved:    {Level: slog.LevelInfo, Text: "terms reserved"},
	GroupTermsNotReserved: {Level: slog.LevelWarn, Text: "terms not reserved; retrying", Action: "Only when it repeats: check the platform's key-value service."},
	GroupDraining:         {Level: slog.LevelInfo, Text: "planned change of primary begun"},
	GroupConnected:        {Level: slog.LevelInfo, Text: "status connection to the backend server open"},
	GroupDisconnected:     {Level: slog.LevelWarn, Text: "status connection to the backend server failed", Action: "Check the backend server and the network path to it."},
}
