package caller

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// The names of the settings that the entry understands, without their prefix.
const (
	settingRoute     = "route"
	settingToken     = "token"
	settingRequestID = "request_id"
	settingTimeout   = "timeout_ms"
)

const (
	settingPrefix  = "pomelofork."
	parameterToken = settingPrefix + settingToken
	// maxSettingText bounds a statement of ours, in bytes.
	maxSettingText = 64 << 10
	// maxRequestID bounds the id of a request, in bytes.
	maxRequestID = 200
)

// The two kinds of statement that the entry answers itself, for example
// SET pomelofork.route = 'stock-check' and SHOW pomelofork.token.
var (
	setPattern = regexp.MustCompile(`(?is)^\s*SET\s+(?:SESSION\s+|LOCAL\s+)?"?pomelofork"?\s*\.\s*"?(\w+)"?\s*(?:=|\s+TO\s+)\s*('(?:[^']|'')*'|[^\s';]+)\s*;?\s*$`)
	// discardPattern finds what poolers send before they give a session to another user.
	// A session has no other state than the entry's, so no backend server need hear it.
	discardPattern = regexp.MustCompile(`(?is)^\s*(DISCARD|DEALLOCATE)\s+ALL\s*;?\s*$`)
	showPattern    = regexp.MustCompile(`(?is)^\s*SHOW\s+"?pomelofork"?\s*\.\s*"?(\w+)"?\s*;?\s*$`)
)

// setting is one statement that the entry answers itself.
type setting struct {
	name    string
	value   string
	show    bool
	discard bool
}

// parseSetting reads a statement and reports whether the entry answers it.
func parseSetting(text string) (setting, bool) {
	if len(text) > maxSettingText {
		return setting{}, false
	}
	if m := discardPattern.FindStringSubmatch(text); m != nil {
		return setting{name: strings.ToUpper(m[1]), discard: true}, true
	}
	// Almost no statement is one of ours, and the patterns cost more than this.
	if !strings.Contains(strings.ToLower(text), "pomelofork") {
		return setting{}, false
	}
	if m := setPattern.FindStringSubmatch(text); m != nil {
		return setting{name: strings.ToLower(m[1]), value: unquote(m[2])}, true
	}
	if m := showPattern.FindStringSubmatch(text); m != nil {
		return setting{name: strings.ToLower(m[1]), show: true}, true
	}
	return setting{}, false
}

// unquote strips the quotes of an SQL string literal: 'it”s' with two quotes
// inside becomes one.
func unquote(s string) string {
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	return s
}

// optionsPattern finds "-c name=value" in the startup parameter "options".
var optionsPattern = regexp.MustCompile(`-c\s*([\w.]+)=((?:\\.|[^\\\s])*)`)

// startupSettings gathers our settings from the startup parameters. They may be given
// as a parameter of their own or inside "options", with or without the prefix.
func startupSettings(parameters map[string]string) map[string]string {
	found := map[string]string{}
	for _, m := range optionsPattern.FindAllStringSubmatch(parameters["options"], -1) {
		if name, ok := strings.CutPrefix(m[1], settingPrefix); ok {
			found[name] = strings.ReplaceAll(m[2], `\`, "")
		}
	}
	for name, value := range parameters {
		if short, ok := strings.CutPrefix(name, settingPrefix); ok {
			found[short] = value
		}
	}
	return found
}

// parseTimeout reads a number of milliseconds above zero.
func parseTimeout(value string) (time.Duration, error) {
	ms, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil {
		return 0, fmt.Errorf("%s%s: want a whole number of milliseconds", settingPrefix, settingTimeout)
	}
	if ms < 1 || time.Duration(ms)*time.Millisecond > maxUnitTimeout {
		return 0, fmt.Errorf("%s%s: want 1 to %d", settingPrefix, settingTimeout, maxUnitTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
