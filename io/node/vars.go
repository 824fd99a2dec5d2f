package node

import (
	"expvar"
	"net/http"
	"strconv"

	"pomelofork/io/meter"
)

// vars shows the process's variables and this instance's, in expvar's form. The meter is
// not published globally, because a process may hold more than one instance in tests.
func (n *Node) vars() http.Handler {
	return n.measured(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte("{\n"))
		expvar.Do(func(kv expvar.KeyValue) {
			_, _ = w.Write([]byte(strconv.Quote(kv.Key) + ": " + kv.Value.String() + ",\n"))
		})
		_, _ = w.Write([]byte(strconv.Quote(meter.Name) + ": " + n.meter.String() + ",\n"))
		_, _ = w.Write([]byte(`"violations": ` + strconv.FormatInt(n.check.Violations(), 10) + ",\n"))
		_, _ = w.Write([]byte(`"sessions": ` + strconv.Itoa(n.callers.Sessions()) + "\n}\n"))
	}))
}
