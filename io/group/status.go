package group

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"pomelofork/core/model"
	"pomelofork/core/term"
)

// statusColumns is the least number of columns of a status row.
const statusColumns = 9

// The last columns of a status row.
const (
	columnPrimaryHeard = 7
	columnLeaving      = 8
)

// readStatus parses a status row, whose columns are server, role, promised, log_term,
// log_index, applied_term, applied_index, primary_heard_ms and leaving.
func readStatus(results []*pgconn.Result) (term.Status, error) {
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) < statusColumns {
		return term.Status{}, fmt.Errorf("group status: want one row with at least %d columns", statusColumns)
	}
	row := results[0].Rows[0]
	var numbers [statusColumns]uint64
	for i := 2; i <= columnPrimaryHeard; i++ {
		n, err := strconv.ParseUint(string(row[i]), 10, 64)
		if err != nil {
			return term.Status{}, fmt.Errorf("group status: column %d: %w", i+1, err)
		}
		// Terms are counted up, so the highest ones can't be used.
		if i < columnPrimaryHeard && n > math.MaxInt64 {
			return term.Status{}, fmt.Errorf("group status: column %d: %d is above %d", i+1, n, int64(math.MaxInt64))
		}
		numbers[i] = n
	}
	return term.Status{
		Primary:             string(row[1]) == "primary",
		Promised:            model.Term(numbers[2]),
		Log:                 model.NewPoint(model.Term(numbers[3]), model.Position(numbers[4])),
		Applied:             model.NewPoint(model.Term(numbers[5]), model.Position(numbers[6])),
		SincePrimaryContact: milliseconds(numbers[columnPrimaryHeard]),
		Leaving:             string(row[columnLeaving]) == "true",
	}, nil
}

// milliseconds returns a duration, or the longest one if n is more.
func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, uint64(math.MaxInt64/time.Millisecond))) * time.Millisecond
}
