package logs

// maxText bounds what is logged of a text that somebody else chose, in bytes.
const maxText = 200

// Shortened returns a text that a caller, a server or a peer chose for a log line, without what exceeds
// 200 bytes. The handler of the log makes up for a character that is cut.
func Shortened(text string) string { return text[:min(len(text), maxText)] }
