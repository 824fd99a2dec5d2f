package sock_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/emul/lack"
	"pomelofork/emul/seed"
	"pomelofork/io/clock"
	"pomelofork/io/sock"
)

func TestSock(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sock", seed.Suite())
}

// waitTimeout is the longest time to wait for an expected state.
const waitTimeout = 30 * time.Second

// Guards against an accept loop that ends for good on an error that passes.
var _ = Describe("Persistent", func() {
	listen := func(failures int, number syscall.Errno) (*sock.Persistent, chan error) {
		inner, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		changes := make(chan error, 8)
		l := sock.NewPersistent(sock.PersistentConfig{Listener: lack.Wrap(inner, failures, number), Changed: func(err error) { changes <- err }})
		DeferCleanup(func() { _ = l.Close() })
		return l, changes
	}
	dial := func(l net.Listener) net.Conn {
		conn, err := net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}

	for name, c := range map[string]struct {
		number syscall.Errno
		passes bool
	}{
		"no descriptor is left to the process": {syscall.EMFILE, true},
		"none is left to the machine":          {syscall.ENFILE, true},
		"no buffer is left":                    {syscall.ENOBUFS, true},
		"no memory is left":                    {syscall.ENOMEM, true},
		"the connection was aborted":           {syscall.ECONNABORTED, true},
		"a firewall forbids the connection":    {syscall.EPERM, true},
		"the descriptor is invalid":            {syscall.EBADF, false},
		"the socket doesn't listen":            {syscall.EINVAL, false},
	} {
		It("goes on or not, if "+name, func() {
			l, changes := listen(1, c.number)
			if c.passes && !sock.Exhausted(c.number) {
				dial(l)
			}
			accepted, began := make(chan error, 1), clock.Now()
			go func() {
				_, err := l.Accept()
				accepted <- err
			}()
			if !c.passes {
				Eventually(accepted).WithTimeout(waitTimeout).Should(Receive(MatchError(c.number)))
				return
			}
			Eventually(changes).WithTimeout(waitTimeout).Should(Receive(MatchError(c.number)))
			Expect(l.Failing(began)).To(BeTrue())
			Expect(l.Failing(clock.Now().Add(2*time.Second))).To(BeFalse(), "nobody may connect while it counts as failing")
			// The first connections may be among those that are closed.
			Eventually(func() chan error {
				dial(l)
				return accepted
			}).WithTimeout(waitTimeout).Should(Receive(BeNil()))
			Eventually(changes).WithTimeout(waitTimeout).Should(Receive(BeNil()))
		})
	}

	It("closes the connections that wait while no descriptor is left", func() {
		l, _ := listen(1, syscall.EMFILE)
		waiting := dial(l)
		go func() { _, _ = l.Accept() }()
		Expect(waiting.SetReadDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, err := waiting.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("ends when it is closed", func() {
		l, _ := listen(0, 0)
		Expect(l.Close()).To(Succeed())
		_, err := l.Accept()
		Expect(err).To(MatchError(net.ErrClosed))
	})
})
