// Package sock opens and accepts TCP connections that fail within seconds when the other side no
// longer responds.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is the time after which a connection fails whose other side doesn't
	// acknowledge sent data. Such a connection may never be reset.
	unackedTimeout = 1500 * time.Millisecond
	// The keep-alive probes detect the same on an idle connection. The first is sent after
	// keepAliveIdle, the others keepAliveInterval apart.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// keepAlive detects that the other side of an idle connection no longer responds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial opens a TCP connection over IPv4 that fails when its other side no longer responds.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp4", address)
}

// Listen listens for TCP connections over IPv4 that fail when their other side no longer responds.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp4", address)
}

// setUserTimeout makes a connection fail when sent data stays unacknowledged for unackedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
