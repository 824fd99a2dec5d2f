package logs

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// By is what a table of reasons has a row for.
type By string

// The rows of a table.
const (
	// BySecond has a row for each second from the first answer on.
	BySecond By = "second"
	// ByAccount, ByServer, ByRoute and ByInstance have a row for each of these.
	ByAccount  By = "account"
	ByServer   By = "server"
	ByRoute    By = "route"
	ByInstance By = "instance"
)

// rowFields are the fields of a log line that name a row.
var rowFields = map[By]string{ByAccount: "account", ByServer: "server", ByRoute: "route", ByInstance: "self"}

// The causes of answers, in the order of their columns. Answers that don't match any of the words are
// counted as "other".
const (
	causeDone  = "done"
	causeLate  = "late"
	causeOther = "other"
)

// cause is a group of reasons that have one of some texts in common.
type cause struct {
	name  string
	texts []string
}

var causes = []cause{
	{"no_token", []string{"rate of the account exceeded"}},
	{"no_issuer", []string{"no instance gives out tokens"}},
	{"no_server", []string{"no server can take the statement", "no longer the appointed primary", "may not use the primary", "server is gone", "server not known"}},
	{"queue", []string{"queue is too long", "no free slot in time"}},
	{"connection", []string{"no connection to the server", "connection to the server lost", "gives no answers", "no answer", "not reached"}},
	{"configuration", []string{"configuration may be out of date", "no configuration yet"}},
	{"key", []string{"unknown key", "key was withdrawn", "no such database"}},
}

// causeOf returns the cause of the answer that a line reports, and false if it reports none.
func causeOf(l line) (string, bool) {
	if l.message != "statement answered" && l.message != "operation refused" && l.message != "session refused" {
		return "", false
	}
	if code, _ := l.fields["code"].(string); code == "done" {
		if late, _ := l.fields["late"].(bool); late {
			return causeLate, true
		}
		return causeDone, true
	}
	reason, _ := l.fields["reason"].(string)
	for _, c := range causes {
		if slices.ContainsFunc(c.texts, func(text string) bool { return strings.Contains(reason, text) }) {
			return c.name, true
		}
	}
	return causeOther, true
}

// ErrNoAnswers means that logs report no answers to callers.
var ErrNoAnswers = errors.New("the logs have no line that reports an answer")

// Reasons writes a table of how many statements and operations were answered and why others were
// refused, with a row for each value of by. It writes what it could read before it returns the error
// of a log that can't be read to its end.
func Reasons(out io.Writer, by By, logs ...io.Reader) error {
	if _, ok := rowFields[by]; !ok && by != BySecond {
		return fmt.Errorf("unknown rows %q", by)
	}
	var answers []line
	var failure error
	for i, log := range logs {
		lines, err := parse(log)
		if err != nil && failure == nil {
			failure = fmt.Errorf("log %d can't be read to its end: %w", i+1, err)
		}
		for _, l := range lines {
			if _, ok := causeOf(l); ok {
				answers = append(answers, l)
			}
		}
	}
	if len(answers) == 0 {
		return errors.Join(failure, ErrNoAnswers)
	}
	start := slices.MinFunc(answers, func(a, b line) int { return a.at.Compare(b.at) }).at
	rows := map[string]map[string]int{}
	for _, l := range answers {
		name := l.row(by, start)
		if rows[name] == nil {
			rows[name] = map[string]int{}
		}
		c, _ := causeOf(l)
		rows[name][c]++
	}
	return errors.Join(failure, writeReasons(out, by, rows))
}

// row returns the name of the line's row in a table that begins at start.
func (l line) row(by By, start time.Time) string {
	if by == BySecond {
		// The width makes the order of the names that of the seconds.
		return fmt.Sprintf("%6d", int(l.at.Sub(start)/time.Second))
	}
	name, _ := l.fields[rowFields[by]].(string)
	return cmp.Or(name, "-")
}

// writeReasons writes the rows ordered by name, and their sum.
func writeReasons(out io.Writer, by By, rows map[string]map[string]int) error {
	columns := []string{causeDone, causeLate}
	for _, c := range causes {
		columns = append(columns, c.name)
	}
	columns = append(columns, causeOther)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	// A write into the table can't fail; Flush returns the errors of out.
	write := func(name string, counts map[string]int) {
		_, _ = fmt.Fprintf(table, "%s\t", strings.Join(strings.Fields(name), " "))
		for _, column := range columns {
			_, _ = fmt.Fprintf(table, "%d\t", counts[column])
		}
		_, _ = fmt.Fprintln(table)
	}
	_, _ = fmt.Fprintf(table, "%s\t%s\t\n", by, strings.Join(columns, "\t"))
	sum := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		write(name, rows[name])
		for column, n := range rows[name] {
			sum[column] += n
		}
	}
	write("sum", sum)
	return table.Flush()
}
