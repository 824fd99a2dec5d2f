package group

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"pomelofork/core/term"
)

func TestClassify(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want term.Fault
	}{
		"connection refused":   {fmt.Errorf("dial: %w", syscall.ECONNREFUSED), term.FaultRefused},
		"no answer in time":    {fmt.Errorf("wait: %w", context.DeadlineExceeded), term.FaultTimeout},
		"connection ended":     {io.ErrUnexpectedEOF, term.FaultConnectionClosed},
		"too many connections": {&pgconn.PgError{Code: "53300"}, term.FaultLogin},
		"shutting down":        {&pgconn.PgError{Code: "57P01"}, term.FaultConnectionClosed},
	} {
		t.Run(name, func(t *testing.T) {
			if got := classifyFault(c.err, term.FaultConnectionClosed); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestReadStatusRejectsMalformedRows(t *testing.T) {
	row := func(values ...string) []*pgconn.Result {
		var one [][]byte
		for _, v := range values {
			one = append(one, []byte(v))
		}
		return []*pgconn.Result{{Rows: [][][]byte{one}}}
	}
	for name, results := range map[string][]*pgconn.Result{
		"no result":      nil,
		"no row":         {{}},
		"too short":      row("a", "primary", "1"),
		"not a number":   row("a", "primary", "one", "1", "1", "1", "1", "0", "false"),
		"term too large": row("a", "primary", "18446744073709551615", "1", "1", "1", "1", "0", "false"),
		"log too large":  row("a", "primary", "1", "1", "9223372036854775808", "1", "1", "0", "false"),
		"negative":       row("a", "primary", "1", "1", "-1", "1", "1", "0", "false"),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := readStatus(results); err == nil {
				t.Error("malformed status row accepted")
			}
		})
	}
	s, err := readStatus(row("a", "replica", "2", "1", "9", "1", "8", "15", "true"))
	if err != nil || s.Primary || s.Promised != 2 || s.Log.String() != "1/9" || s.Applied.String() != "1/8" || !s.Leaving {
		t.Error(errors.Join(err, fmt.Errorf("read %+v", s)))
	}
	// A time that wrapped to a negative one kept a failed primary from being replaced.
	for _, never := range []string{"9223372036854775807", "18446744073709551615", "9223372036855"} {
		s, err := readStatus(row("a", "replica", "2", "1", "9", "1", "8", never, "true"))
		if err != nil || s.SincePrimaryContact < 24*time.Hour {
			t.Error(errors.Join(err, fmt.Errorf("heard the primary %s ms ago: read %s", never, s.SincePrimaryContact)))
		}
	}
}
