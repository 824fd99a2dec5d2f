package caller

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// The names of the settings that the entry handles, without settingPrefix.
const (
	settingRoute     = "route"
	settingToken     = "token"
	settingRequestID = "request_id"
	settingTimeout   = "timeout_ms"
)

const (
	settingPrefix  = "pomelofork."
	parameterToken = settingPrefix + settingToken
	// maxSettingText bounds a statement that the entry handles, in bytes.
	maxSettingText = 64 << 10
	// maxRequestID bounds the ID of a request, in bytes.
	maxRequestID = 200
)

// The statements that the entry answers itself, for example
// SET pomelofork.route = 'stock-check', SHOW pomelofork.token and DISCARD ALL.
var (
	setPattern = regexp.MustCompile(`(?is)^\s*SET\s+(?:SESSION\s+|LOCAL\s+)?"?pomelofork"?\s*\.\s*"?(\w+)"?\s*(?:=|\s+TO\s+)\s*('(?:[^']|'')*'|[^\s';]+)\s*;?\s*$`)
	// discardPattern matches the statements that connection pools send before they reuse a
	// session for another client. All state of a session is in the entry, so they need not
	// be sent to a backend server.
	discardPattern = regexp.MustCompile(`(?is)^\s*(DISCARD|DEALLOCATE)\s+ALL\s*;?\s*$`)
	showPattern    = regexp.MustCompile(`(?is)^\s*SHOW\s+"?pomelofork"?\s*\.\s*"?(\w+)"?\s*;?\s*$`)
)

// localStatement is one statement that the entry answers itself.
type localStatement struct {
	// name is the name of the setting, in lower case, or DISCARD or DEALLOCATE.
	name string
	// value is the new value of the setting, for SET only.
	value string
	// show is true for SHOW, and discard for DISCARD ALL and DEALLOCATE ALL. SET has
	// neither.
	show    bool
	discard bool
}

// parseLocalStatement parses a statement. It returns false if the entry doesn't answer it.
func parseLocalStatement(text string) (localStatement, bool) {
	if len(text) > maxSettingText {
		return localStatement{}, false
	}
	if m := discardPattern.FindStringSubmatch(text); m != nil {
		return localStatement{name: strings.ToUpper(m[1]), discard: true}, true
	}
	// Few statements are answered by the entry, and this check costs less than the patterns.
	if !strings.Contains(strings.ToLower(text), "pomelofork") {
		return localStatement{}, false
	}
	if m := setPattern.FindStringSubmatch(text); m != nil {
		return localStatement{name: strings.ToLower(m[1]), value: unquote(m[2])}, true
	}
	if m := showPattern.FindStringSubmatch(text); m != nil {
		return localStatement{name: strings.ToLower(m[1]), show: true}, true
	}
	return localStatement{}, false
}

// unquote removes the quotes around an SQL string literal and replaces each doubled quote
// inside it by a single one.
func unquote(s string) string {
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	return s
}

// startupSettings returns the settings of the entry among the startup parameters, by their
// names without settingPrefix. A setting may be a parameter of its own, which takes
// precedence, or be part of the parameter "options". Its name must have the prefix.
func startupSettings(parameters map[string]string) map[string]string {
	found := map[string]string{}
	for _, given := range []map[string]string{optionSettings(parameters["options"]), parameters} {
		for name, value := range given {
			if short, ok := strings.CutPrefix(name, settingPrefix); ok {
				found[short] = value
			}
		}
	}
	return found
}

// checkRequestID returns an error if the text can't be the ID of a request. Between instances
// it is part of a JSON document, in which all invalid bytes become the same character.
func checkRequestID(value string) error {
	if len(value) > maxRequestID {
		return fmt.Errorf("%s%s: longer than %d bytes", settingPrefix, settingRequestID, maxRequestID)
	}
	if !utf8.ValidString(value) {
		return fmt.Errorf("%s%s: not UTF-8", settingPrefix, settingRequestID)
	}
	return nil
}

// parseTimeout parses a whole number of milliseconds from 1 to maxBatchTimeout.
func parseTimeout(value string) (time.Duration, error) {
	ms, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil {
		return 0, fmt.Errorf("%s%s: want a whole number of milliseconds", settingPrefix, settingTimeout)
	}
	if ms < 1 || int64(ms) > maxBatchTimeout.Milliseconds() {
		return 0, fmt.Errorf("%s%s: want 1 to %d", settingPrefix, settingTimeout, maxBatchTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
