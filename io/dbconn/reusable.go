package dbconn

import (
	"net"
	"syscall"
)

// Reusable reports whether an idle connection may be used again: it is open, no answer
// is outstanding and there is nothing to read. A server that has ended the connection
// has either closed it or sent the reason.
func (c *Conn) Reusable() bool {
	if c.closed.Load() || c.queue.Len() > 0 || c.frontend.ReadBufferLen() > 0 {
		return false
	}
	return hasNoInput(c.conn)
}

// hasNoInput reports whether the connection is open and has no data to read. It peeks
// at the socket without consuming anything. For a connection that is not a socket it
// returns true.
func hasNoInput(conn net.Conn) bool {
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
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = err == syscall.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}
