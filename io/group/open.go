package group

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"

	"github.com/jackc/pgx/v5/pgconn"
)

// errNoConnection is the result of a command that was not sent, as there was no
// connection to the server.
var errNoConnection = errors.New("no connection to the server")

// applicationName identifies status connections to the operators of the servers.
const applicationName = "pomelofork-status"

// open connects to a server and logs in.
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
