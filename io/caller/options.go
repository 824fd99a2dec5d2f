package caller

import "strings"

// splitOptions splits the startup parameter "options" at its white space into arguments, and
// removes the backslash ahead of each character that it stands for, as PostgreSQL does.
func splitOptions(text string) []string {
	var arguments []string
	var current strings.Builder
	inside, escaped := false, false
	for _, c := range []byte(text) {
		switch {
		case !escaped && strings.IndexByte(" \t\n\v\f\r", c) >= 0:
			if inside {
				arguments = append(arguments, current.String())
				current.Reset()
			}
			inside = false
			continue
		case !escaped && c == '\\':
			escaped = true
		default:
			escaped = false
			current.WriteByte(c)
		}
		inside = true
	}
	if inside {
		arguments = append(arguments, current.String())
	}
	return arguments
}

// optionSettings returns the settings in the startup parameter "options", which has the form
// "-c name=value", "-cname=value" or "--name=value", repeated. Other arguments are ignored.
func optionSettings(text string) map[string]string {
	found := map[string]string{}
	arguments := splitOptions(text)
	for i := 0; i < len(arguments); i++ {
		argument, isSetting := strings.CutPrefix(arguments[i], "--")
		if !isSetting {
			argument, isSetting = strings.CutPrefix(arguments[i], "-c")
		}
		if isSetting && argument == "" && i+1 < len(arguments) {
			i++
			argument = arguments[i]
		}
		if name, value, ok := strings.Cut(argument, "="); ok && isSetting {
			found[name] = value
		}
	}
	return found
}
