package event

import "log/slog"

// Events of the configuration and its administration: 100 to 199.
const (
	ChangeAccepted       ID = 100
	ChangeConflicting    ID = 101
	ChangeRefused        ID = 102
	ChangeUnavailable    ID = 103
	ChangeOutcomeUnknown ID = 104
	OperatorRefused      ID = 105
	ConfigForked         ID = 106
)

var confKinds = map[ID]Kind{
	ChangeAccepted:       {slog.LevelInfo, "change of the configuration accepted", ""},
	ChangeConflicting:    {slog.LevelInfo, "change of the configuration conflicts with an earlier one", "Read the current version, then decide whether the change is still wanted."},
	ChangeRefused:        {slog.LevelInfo, "faulty change of the configuration refused", "Correct the faults that the answer lists."},
	ChangeUnavailable:    {slog.LevelWarn, "change of the configuration not made, store unavailable", "Send the change again when the platform's service is back; traffic goes on."},
	ChangeOutcomeUnknown: {slog.LevelWarn, "change of the configuration may have taken effect", "Send the change again under the same identifier; the answer then says whether it took effect."},
	OperatorRefused:      {slog.LevelWarn, "operator without a valid token refused", "Check who calls the administration port."},
	ConfigForked:         {slog.LevelError, "store has another configuration with the version in force", "Somebody wrote to the store by hand; send the wanted document as a change, which makes a new version."},
}
