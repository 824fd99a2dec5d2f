package caller

import (
	"strings"
	"testing"
)

// FuzzStartupOptions checks that a value in the startup options arrives as it was, whatever
// characters it has.
func FuzzStartupOptions(f *testing.F) {
	for _, value := range []string{"", "stock check", `a\b`, "-c pomelofork.route=x", "a=b", "\t\xff"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		var escaped strings.Builder
		for _, c := range []byte(value) {
			escaped.WriteByte('\\')
			escaped.WriteByte(c)
		}
		options := "-c a=1 -c pomelofork.token=" + escaped.String() + " --b=2"
		got := startupSettings(map[string]string{"options": options})
		if len(got) != 1 || got["token"] != value {
			t.Fatalf("%q became %q", value, got)
		}
	})
}

// FuzzSetting checks that a value in a SET statement arrives as it was.
func FuzzSetting(f *testing.F) {
	for _, value := range []string{"", "it's", "'", "'; SELECT 1; --", `\`, "\n"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		if len(value) > maxSettingText/4 {
			return
		}
		text := "SET pomelofork.request_id = '" + strings.ReplaceAll(value, "'", "''") + "'"
		got, ok := parseLocalStatement(text)
		if !ok || got.name != settingRequestID || got.value != value {
			t.Fatalf("%q became %+v, %t", value, got, ok)
		}
	})
}
