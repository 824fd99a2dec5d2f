package line

import (
	"net"
	"syscall"
)

// Quiet reports whether an idle connection is still open and has said nothing.
// A server that ended the connection has either closed it or sent why.
func (c *Conn) Quiet() bool {
	if c.closed.Load() || c.queue.Len() > 0 || c.frontend.ReadBufferLen() > 0 {
		return false
	}
	return silent(c.conn)
}

// silent looks at the socket without reading from it. Connections that aren't
// sockets count as silent.
func silent(conn net.Conn) bool {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = err == syscall.EAGAIN
		return true
	})
	return err == nil && nothing
}
