package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// contextTime is the time before a request's first line from which on state changes are
	// shown. A promotion, or the failover from a failed instance, takes less.
	contextTime = 5 * time.Second
	// maxLine bounds a line of a log, in bytes. A longer line makes reading the log fail.
	maxLine = 1 << 20
)

// stateChanges are substrings of the messages that report a change of what an instance
// knows or does: its configuration, its rights, the servers and the other instances. These
// lines name no request, but explain the outcome of the requests after them.
var stateChanges = []string{
	"server changed", "server gone", "configuration in force", "configuration confirmation", "right", "lease", "another primary", "promotion",
	"primary", "instance", "isolation", "stopped answering", "stopping", "started", "dropped",
}

// line is a parsed line of a log. text is its JSON, at its time.
type line struct {
	at      time.Time
	message string
	fields  map[string]any
	text    string
}

// Explain writes what the logs of some instances say about a request, ordered by time: the
// lines of the request, marked with ">", and the state changes from 5 s before the first of
// them to the last that concern an instance, a server, a service or an account named in them.
// It returns an error if no line names the request. It skips lines that don't contain JSON,
// since a log may hold other output.
func Explain(out io.Writer, request string, logs ...io.Reader) error {
	var all []line
	for _, log := range logs {
		lines, err := parse(log)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b line) int { return a.at.Compare(b.at) })
	names := map[string]bool{}
	var first, last time.Time
	for _, l := range all {
		if !l.names(request) {
			continue
		}
		if first.IsZero() {
			first = l.at
		}
		last = l.at
		for _, field := range []string{"self", "server", "holder", "service", "account"} {
			if name, ok := l.fields[field].(string); ok && name != "" {
				names[name] = true
			}
		}
	}
	if first.IsZero() {
		return fmt.Errorf("no log line names the request %q", request)
	}
	for _, l := range all {
		own := l.names(request)
		if !own && (l.at.Before(first.Add(-contextTime)) || l.at.After(last) || !l.concerns(names)) {
			continue
		}
		mark := " "
		if own {
			mark = ">"
		}
		if _, err := fmt.Fprintf(out, "%s %s\n", mark, l.text); err != nil {
			return err
		}
	}
	return nil
}

// parse returns the lines of one log that hold a JSON object with a time. Text before the
// object is ignored.
func parse(log io.Reader) ([]line, error) {
	var out []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := line{text: text[start:]}
		if err := json.Unmarshal([]byte(l.text), &l.fields); err != nil {
			continue
		}
		at, _ := l.fields["time"].(string)
		l.message, _ = l.fields["msg"].(string)
		when, err := time.Parse(time.RFC3339Nano, at)
		if err != nil {
			continue
		}
		l.at = when
		out = append(out, l)
	}
	return out, scanner.Err()
}

// names reports whether the line belongs to a request. It holds only the start of a long identifier, which
// may end inside a character.
func (l line) names(request string) bool {
	id, ok := l.fields["request"].(string)
	if len(request) > maxText {
		start := strings.TrimRight(id, "\ufffd")
		return start != "" && strings.HasPrefix(request, start)
	}
	return ok && id == request
}

// concerns reports whether the line reports a state change that concerns one of the names.
func (l line) concerns(names map[string]bool) bool {
	if l.fields["request"] != nil || !slices.ContainsFunc(stateChanges, func(part string) bool { return strings.Contains(l.message, part) }) {
		return false
	}
	for _, value := range l.fields {
		if name, ok := value.(string); ok && names[name] {
			return true
		}
	}
	return false
}
