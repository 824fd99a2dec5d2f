package event

import "log/slog"

// Events of the gateway: 400 to 499.
const (
	ServerConnectFailed ID = 400 + iota
	GatewayConnectFailed
)

var gatewayKinds = map[ID]Kind{
	ServerConnectFailed: {
		Level:  slog.LevelWarn,
		Text:   "connection to a backend server failed",
		Action: "Check the backend server and pomelofork's credentials for it.",
	},
	GatewayConnectFailed: {
		Level:  slog.LevelWarn,
		Text:   "connection to another instance's gateway failed",
		Action: "Check the instance, the network, and the fleet secret of both instances.",
	},
}
