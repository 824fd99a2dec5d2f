package conf

import (
	"errors"
	"fmt"
	"time"

	"pomelofork/core/model"
)

// errNoPassword means that the environment variable for a service's password is not
// set.
var errNoPassword = errors.New("environment variable of the password is not set")

// Service is one database service.
type Service struct {
	entry   *ServiceEntry
	servers []Server
}

// ID returns the service's identifier.
func (s Service) ID() model.ServiceID { return s.entry.ID }

// Database returns the name of the database on the backend servers.
func (s Service) Database() string { return s.entry.Database }

// User returns the user name for logging in to the backend servers.
func (s Service) User() string { return s.entry.User }

// Password returns the password for logging in to the backend servers. It calls getenv,
// which works like os.LookupEnv, if the document names an environment variable. It
// returns an error if that variable is not set.
func (s Service) Password(getenv func(string) (string, bool)) (string, error) {
	if s.entry.PasswordEnv == "" {
		return s.entry.Password, nil
	}
	password, ok := getenv(s.entry.PasswordEnv)
	if !ok {
		return "", fmt.Errorf("service %s: %w: %s", s.entry.ID, errNoPassword, s.entry.PasswordEnv)
	}
	return password, nil
}

// StatementTimeout returns the longest time that a statement may run.
func (s Service) StatementTimeout() time.Duration {
	return time.Duration(s.entry.StatementTimeoutMs) * time.Millisecond
}

// Servers returns the backend servers in the order of the document. The caller must not
// modify the slice.
func (s Service) Servers() []Server { return s.servers }

// Server returns the backend server with the given identifier, and false if the service
// has none.
func (s Service) Server(id model.ServerID) (Server, bool) {
	for _, server := range s.servers {
		if server.id == id {
			return server, true
		}
	}
	return Server{}, false
}
