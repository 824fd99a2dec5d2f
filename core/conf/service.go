package conf

import (
	"errors"
	"fmt"
	"time"

	"pomelofork/core/model"
)

// errNoPassword says that a service's password isn't in the environment.
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

// User returns the login at the backend servers.
func (s Service) User() string { return s.entry.User }

// Password returns the password at the backend servers. Getenv looks a variable of
// the environment up, as os.LookupEnv does.
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

// StatementTimeout bounds each statement.
func (s Service) StatementTimeout() time.Duration {
	return time.Duration(s.entry.StatementTimeoutMs) * time.Millisecond
}

// Servers returns the backend servers in the document's order. The caller must not
// change them.
func (s Service) Servers() []Server { return s.servers }

// Server returns one backend server, and false when it isn't of this service.
func (s Service) Server(id model.ServerID) (Server, bool) {
	for _, server := range s.servers {
		if server.id == id {
			return server, true
		}
	}
	return Server{}, false
}
