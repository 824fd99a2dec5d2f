package sock

import (
	"errors"
	"syscall"
)

// Exhausted reports whether an operation failed because this process or machine has no descriptor or
// buffer left. It says nothing about the other side.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// passes reports whether an error of accepting a connection may be over at the next attempt: the kernel
// reports it, and not because the listener can't be used any more.
func passes(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	switch number {
	case syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EFAULT:
		return false
	default:
		return true
	}
}
