package conf

import "pomelofork/core/model"

// ServiceEntry declares one database service.
type ServiceEntry struct {
	// ID is the service's identifier, which callers send as their database.
	ID model.ServiceID `json:"id"`
	// Database is the name of the database on the backend servers.
	Database string `json:"database"`
	// User is the login at the backend servers.
	User string `json:"user"`
	// Password is the password itself. Leave it out when PasswordEnv is given.
	Password string `json:"password,omitempty"`
	// PasswordEnv names the environment variable that holds the password.
	PasswordEnv string `json:"password_env,omitempty"`
	// StatementTimeoutMs bounds each statement, in milliseconds.
	StatementTimeoutMs int64 `json:"statement_timeout_ms"`
	// Servers are the backend servers of the group.
	Servers []ServerEntry `json:"servers,omitempty"`
}
