package node

import (
	"expvar"
	"net/http"
	"strconv"

	"pomelofork/io/meter"
)

// vars returns a handler that writes the expvar variables of the process and the metrics of
// this instance as one JSON object. The metrics are not published with expvar.Publish,
// because in tests a process runs several instances.
func (n *Node) vars() http.Handler {
	return n.withGauges(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte("{\n"))
		expvar.Do(func(kv expvar.KeyValue) {
			_, _ = w.Write([]byte(strconv.Quote(kv.Key) + ": " + kv.Value.String() + ",\n"))
		})
		_, _ = w.Write([]byte(strconv.Quote(meter.Name) + ": " + n.meter.String() + ",\n"))
		_, _ = w.Write([]byte(`"violations": ` + strconv.FormatInt(n.check.Violations(), 10) + ",\n"))
		_, _ = w.Write([]byte(`"sessions": ` + strconv.Itoa(n.callerServer.Sessions()) + "\n}\n"))
	}))
}
