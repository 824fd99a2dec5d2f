package event

import "log/slog"

// Events of the entry: 500 to 599.
const (
	SessionFailed ID = 500
	LoginRefused  ID = 501
)

var entryKinds = map[ID]Kind{
	SessionFailed: {slog.LevelInfo, "session ended by an error", "Check the caller and the network path to it; the instance lost nothing."},
	LoginRefused:  {slog.LevelWarn, "login refused", "Check the account's keys if the caller complains."},
}
