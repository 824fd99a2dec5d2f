package node

import (
	"expvar"
	"net/http"
	"strconv"
	"time"

	"pomelofork/io/meter"
)

// meterInterval is the pause between two readings of what changes slowly.
const meterInterval = time.Second

// meterLoop notes rates, terms and rights from time to time.
func (n *Node) meterLoop() {
	ticker := time.NewTicker(meterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.done:
			return
		case <-ticker.C:
			n.read()
		}
	}
}

func (n *Node) read() {
	config := n.line.current()
	if config == nil {
		return
	}
	for _, account := range config.Accounts() {
		n.meter.Rate(account.ID(), account.Rate(), float64(account.Burst()))
	}
	epoch := n.fleet.Epoch()
	for _, service := range config.Services() {
		_, _, held := n.fleet.Holds(service.ID())
		n.meter.Right("gateway "+string(service.ID()), held, epoch)
		if s := n.sites.get(service.ID()); s != nil {
			n.meter.Term(service.ID(), s.watcher.Known().Term())
		}
	}
}

// vars shows the process's variables and this instance's, in expvar's form. The meter is
// not published globally, because a process may hold more than one instance in tests.
func (n *Node) vars() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte("{\n"))
		expvar.Do(func(kv expvar.KeyValue) {
			_, _ = w.Write([]byte(strconv.Quote(kv.Key) + ": " + kv.Value.String() + ",\n"))
		})
		_, _ = w.Write([]byte(strconv.Quote(meter.Name) + ": " + n.meter.String() + ",\n"))
		_, _ = w.Write([]byte(`"violations": ` + strconv.FormatInt(n.check.Violations(), 10) + ",\n"))
		_, _ = w.Write([]byte(`"sessions": ` + strconv.Itoa(n.callers.Sessions()) + "\n}\n"))
	})
}
