package conf

import "pomelofork/core/model"

// ServiceEntry declares one database service.
type ServiceEntry struct {
	// ID is the service's identifier, which callers send as their database name.
	ID model.ServiceID `json:"id"`
	// Database is the name of the database on the backend servers.
	Database string `json:"database"`
	// User is the user name for logging in to the backend servers.
	User string `json:"user"`
	// Password is the password for logging in to the backend servers. At most one of
	// Password and PasswordEnv may be set.
	Password string `json:"password,omitempty"`
	// PasswordEnv is the name of an environment variable that holds the password.
	PasswordEnv string `json:"password_env,omitempty"`
	// StatementTimeoutMs is the longest time that a statement may run, in milliseconds.
	StatementTimeoutMs int64 `json:"statement_timeout_ms"`
	// Servers are the backend servers of the service: a primary and its replicas.
	Servers []ServerEntry `json:"servers,omitempty"`
}
