package event

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pomelofork/core/model"
)

// areas maps the hundreds of the events' numbers to headings.
var areas = map[ID]string{
	1: "Configuration and administration",
	2: "Groups of backend servers",
	3: "Rights and rates",
	4: "Gateway",
	5: "Entry",
	6: "Instance",
}

// Page returns the content of docs/EVENTS.md, in Markdown: all events and all reasons for
// which a caller is refused.
func Page() string {
	var page strings.Builder
	page.WriteString("# Events\n\nEvery log line of an instance carries the number of one of these events in its\n" +
		"attribute `event`. A number is never given to another event. No event holds a key or\n" +
		"data of a statement. `pomelofork events` writes this page.\n")
	area := ID(0)
	for _, id := range slices.Sorted(maps.Keys(Catalogue())) {
		if id/100 != area {
			area = id / 100
			fmt.Fprintf(&page, "\n## %s\n\n| event | level | text | what to do |\n| --- | --- | --- | --- |\n", areas[area])
		}
		kind := Catalogue()[id]
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", id, strings.ToLower(kind.Level.String()), kind.Text, kind.Action)
	}
	page.WriteString("\n## Reasons of refusals\n\n| number | SQLSTATE | text |\n| --- | --- | --- |\n")
	for reason := model.Reason(1); reason.String() != ""; reason++ {
		fmt.Fprintf(&page, "| %d | %s | %s |\n", reason, reason.SQLState(), reason)
	}
	return page.String()
}
