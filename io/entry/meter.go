package entry

import (
	"time"

	"pomelofork/core/stmt"
)

// Meter counts answers and retries. It must be safe for concurrent use.
type Meter interface {
	// Statement counts one answer by the name of its route and its code. took is the time
	// since the receipt of the statement.
	Statement(route string, code stmt.Code, took time.Duration)
	// Repeated counts an attempt that is to be repeated, by the code of its result.
	Repeated(code stmt.Code)
}
