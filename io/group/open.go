package group

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"

	"github.com/jackc/pgx/v5/pgconn"
)

// errNoConnection says that a command could not be sent.
var errNoConnection = errors.New("no connection to the server")

// applicationName tells operators of the servers what the connection is for.
const applicationName = "pomelofork-status"

// open connects to a server.
func open(ctx context.Context, c Config, s Server) (*pgconn.PgConn, error) {
	if _, _, err := net.SplitHostPort(s.Address); err != nil {
		return nil, fmt.Errorf("address of server %s: %w", s.ID, err)
	}
	target := url.URL{
		Scheme: "postgres", User: url.UserPassword(c.User, c.Password), Host: s.Address, Path: c.Database,
		RawQuery: url.Values{"sslmode": {"disable"}, "application_name": {applicationName}}.Encode(),
	}
	parsed, err := pgconn.ParseConfig(target.String())
	if err != nil {
		return nil, fmt.Errorf("settings of server %s: %w", s.ID, err)
	}
	parsed.TLSConfig = c.TLS
	parsed.Fallbacks = nil
	return pgconn.ConnectConfig(ctx, parsed)
}
