package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// link is the network in front of one address. It knows which machines connect to it.
type link struct {
	world   *world
	address string
	to      string
	// from is the machine that uses the link, or empty if several do.
	from string

	mu sync.Mutex
	// connections counts the connections by machine.
	connections map[string]int
}

// newLink begins to pass connections on to an address.
func (w *world) newLink(from, to string) *link {
	listener := w.listen(w.ip())
	l := &link{world: w, address: listener.Addr().String(), to: to, from: from, connections: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(conn)
		}
	}()
	return l
}

// count returns the number of connections of a machine so far.
func (l *link) count(machine string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections[machine]
}

// sourceOf returns the machine whose process opened a connection.
func (w *world) sourceOf(conn net.Conn) string {
	remote, local := conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr)
	hex := func(a *net.TCPAddr) string {
		ip := a.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	socket := ""
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == hex(remote) && fields[2] == hex(local) {
			socket = "socket:[" + fields[9] + "]"
		}
	}
	if socket == "" {
		return ""
	}
	for _, i := range w.instances {
		if i.cmd == nil {
			continue
		}
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", i.cmd.Process.Pid))
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == socket {
				return i.name
			}
		}
	}
	return ""
}

func (l *link) pass(from net.Conn) {
	machine := l.from
	if machine == "" {
		machine = l.world.sourceOf(from)
	}
	l.mu.Lock()
	l.connections[machine]++
	l.mu.Unlock()
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		// The other process isn't running: a reset says so.
		_ = from.(*net.TCPConn).SetLinger(0)
		_ = from.Close()
		return
	}
	var done sync.WaitGroup
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		done.Add(1)
		go func() {
			defer done.Done()
			buffer := make([]byte, 64<<10)
			for {
				n, err := pair[0].Read(buffer)
				if n > 0 {
					if _, err := pair[1].Write(buffer[:n]); err != nil {
						break
					}
				}
				if err != nil {
					break
				}
			}
			_ = pair[0].Close()
			_ = pair[1].Close()
		}()
	}
	done.Wait()
}
