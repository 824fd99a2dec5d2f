package event

import "log/slog"

// Events of rights and rates: 300 to 399. A right is a named exclusive role, such as issuing
// the tokens of a client account, that one instance holds at a time.
const (
	RightRecordLearned ID = 300 + iota
	RightAuthorityLost
	RightAuthorityRegained
	RightMembersNotChanged
	RightMembersChanged
	RightAcquired
	RightHandedOver
	RightFleetLeft
	RightLeaveIncomplete
	RightStoreUnreachable
	RightStoreReachable
	RightRecordUnreadable
	RightIncarnationStale
	RightInstanceUnreadable
)

var rightKinds = map[ID]Kind{
	RightRecordLearned: {Level: slog.LevelInfo, Text: "learned a new epoch of rights"},
	RightAuthorityLost: {
		Level:  slog.LevelWarn,
		Text:   "authority lost: neither the store nor more than half of the members answer",
		Action: "Check the network between this instance, its peers and the store.",
	},
	RightAuthorityRegained: {Level: slog.LevelInfo, Text: "authority is back"},
	RightMembersNotChanged: {
		Level:  slog.LevelWarn,
		Text:   "change of the members failed or got no answer from the store",
		Action: "None: the instance reads the record again and retries. Check the store if it repeats.",
	},
	RightMembersChanged: {Level: slog.LevelInfo, Text: "changed the members"},
	RightAcquired:       {Level: slog.LevelInfo, Text: "took over a right from its former holder"},
	RightHandedOver:     {Level: slog.LevelInfo, Text: "handed a right over"},
	RightFleetLeft:      {Level: slog.LevelInfo, Text: "left the fleet with all rights handed over"},
	RightLeaveIncomplete: {
		Level:  slog.LevelWarn,
		Text:   "leaving without having handed over all rights",
		Action: "None: the successors take over after a few seconds.",
	},
	RightStoreUnreachable: {
		Level:  slog.LevelWarn,
		Text:   "store gives no answer",
		Action: "Check the store. The members go on as long as a majority of them answers, but no instance can join or be replaced until the store is back.",
	},
	RightStoreReachable: {Level: slog.LevelInfo, Text: "store answers again"},
	RightRecordUnreadable: {
		Level:  slog.LevelError,
		Text:   "record of rights can't be read",
		Action: "Compare the versions of the program on all instances; repair the value of the key `rights` in the store.",
	},
	RightIncarnationStale: {
		Level:  slog.LevelError,
		Text:   "a later incarnation of this instance is already a member",
		Action: "Two processes use one instance name, or the clock was set back. Stop one of them, or start again once the clock is right.",
	},
	RightInstanceUnreadable: {
		Level:  slog.LevelWarn,
		Text:   "entry of the platform's list of instances can't be read",
		Action: "Repair the entry. An instance without a readable ID may be any member, so no member is taken for ended by the list until then.",
	},
}
