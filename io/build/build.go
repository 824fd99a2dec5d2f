// Package build names the version of the program that runs.
package build

import "runtime/debug"

// revisionLength is the number of digits of a revision that are shown.
const revisionLength = 12

// Name returns the revision that the program was built from, followed by a plus sign if the sources had
// changed since. It is empty if the program was built without this information.
func Name() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), revisionLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return revision + changed
}
