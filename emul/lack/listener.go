// Package lack emulates a process that is short of descriptors.
package lack

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// Listener is a TCP listener whose Accept fails at first.
type Listener struct {
	*net.TCPListener
	left   atomic.Int64
	number syscall.Errno
}

// Wrap returns a listener whose Accept fails the given number of times with an error of the kernel. The
// listener must be a *net.TCPListener.
func Wrap(listener net.Listener, failures int, number syscall.Errno) *Listener {
	l := &Listener{TCPListener: listener.(*net.TCPListener), number: number}
	l.left.Store(int64(failures))
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, Error("accept", l.number)
	}
	return l.TCPListener.Accept()
}

// Error returns an error of the kernel as package net returns it for an operation.
func Error(operation string, number syscall.Errno) error {
	return &net.OpError{Op: operation, Net: "tcp4", Err: os.NewSyscallError(operation, number)}
}
