package event

import "log/slog"

// Events of an instance as a whole: 600 to 699.
const (
	InstanceStarted  ID = 600
	InstanceReady    ID = 601
	InstanceDraining ID = 602
	InstanceStopped  ID = 603
	InvariantBroken  ID = 604
	ListenerFailed   ID = 605
	GatewayOpened    ID = 606
	GatewayClosed    ID = 607
	GatewayFailed    ID = 608
	ConfigInForce    ID = 609
	ConfigUnreadable ID = 610
	LeaveFailed      ID = 611
	AcceptFailed     ID = 612
	AcceptResumed    ID = 613
)

var instanceKinds = map[ID]Kind{
	InstanceStarted:  {slog.LevelInfo, "instance started", ""},
	InstanceReady:    {slog.LevelInfo, "instance ready", ""},
	InstanceDraining: {slog.LevelInfo, "planned stop began", ""},
	InstanceStopped:  {slog.LevelInfo, "instance stopped", ""},
	InvariantBroken:  {slog.LevelError, "invariant broken", "This must never happen. Report it with the log lines before and after it."},
	ListenerFailed:   {slog.LevelError, "listener failed", "Check that the address is free and belongs to this instance."},
	GatewayOpened:    {slog.LevelInfo, "gateway of a service opened", ""},
	GatewayClosed:    {slog.LevelInfo, "gateway of a service closed", ""},
	GatewayFailed:    {slog.LevelError, "gateway of a service could not be opened", "Check the credentials and addresses of the service."},
	ConfigInForce:    {slog.LevelInfo, "configuration in force", ""},
	ConfigUnreadable: {slog.LevelError, "configuration can't be read", "Store a configuration that passes 'pomelofork check'; until then the one in force stays."},
	AcceptFailed:     {slog.LevelError, "connections can't be accepted, those that wait are closed", "Raise the limit of descriptors of the process, or add instances."},
	AcceptResumed:    {slog.LevelInfo, "connections are accepted again", ""},
	LeaveFailed:      {slog.LevelWarn, "not all rights were handed over", "None: the successors take over the other rights when these expire."},
}
