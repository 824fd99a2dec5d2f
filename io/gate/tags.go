package gate

import "strings"

// alteringTags begin the command tags of statements that change the state of a
// connection beyond its transaction.
var alteringTags = []string{
	"SET", "RESET", "LISTEN", "PREPARE", "DECLARE", "DISCARD", "DEALLOCATE", "LOAD", "CREATE", "DO",
}

// changingTags begin the command tags of statements whose rows stem from a write
// of the same statement.
var changingTags = []string{"INSERT", "UPDATE", "DELETE", "MERGE"}

// alters reports whether a completed command may have changed the connection.
func alters(tag string) bool { return beginsWith(tag, alteringTags) }

// changes reports whether a completed command wrote.
func changes(tag string) bool { return beginsWith(tag, changingTags) }

// commits reports whether a completed command made effects last.
func commits(tag string) bool {
	return beginsWith(tag, []string{"COMMIT", "PREPARE TRANSACTION"})
}

// begins reports whether a completed command opened a transaction block.
func begins(tag string) bool { return beginsWith(tag, []string{"BEGIN", "START TRANSACTION"}) }

func beginsWith(tag string, words []string) bool {
	for _, word := range words {
		if strings.HasPrefix(tag, word) {
			return true
		}
	}
	return false
}
