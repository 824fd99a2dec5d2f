package gate

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"pomelofork/io/dbconn"
)

// dialer opens connections to backend servers with the credentials of Config.
type dialer struct {
	base *pgconn.Config
	tls  *tls.Config
}

func newDialer(c Config) (dialer, error) {
	// Every setting is given, so that the PG* environment variables have no effect.
	base, err := pgconn.ParseConfig("host=127.0.0.1 port=5432 sslmode=disable passfile=/dev/null")
	if err != nil {
		return dialer{}, fmt.Errorf("connection settings: %w", err)
	}
	base.User, base.Password, base.Database = c.User, c.Password, c.Database
	base.Fallbacks = nil
	base.RuntimeParams = map[string]string{"application_name": "pomelofork"}
	return dialer{base: base, tls: c.TLS}, nil
}

// open opens a connection, which starts in read-write mode.
func (d dialer) open(ctx context.Context, address string) (*conn, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("address of a backend server: %w", err)
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("port of a backend server: %w", err)
	}
	settings := d.base.Copy()
	settings.Host, settings.Port = host, uint16(port)
	if d.tls != nil {
		settings.TLSConfig = d.tls.Clone()
		settings.TLSConfig.ServerName = host
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	opened, err := pgconn.ConnectConfig(ctx, settings)
	if err != nil {
		return nil, err
	}
	hijacked, err := opened.Hijack()
	if err != nil {
		return nil, err
	}
	return newConn(dbconn.New(hijacked.Conn), opened, false), nil
}
