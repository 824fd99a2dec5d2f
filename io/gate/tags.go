package gate

import "strings"

// connAlteringTags are the first words of the command tags of statements that may change
// the state of a connection beyond the current transaction.
var connAlteringTags = []string{
	"SET", "RESET", "LISTEN", "PREPARE", "DECLARE", "DISCARD", "DEALLOCATE", "LOAD", "CREATE", "DO",
}

// rowWritingTags are the first words of the command tags of statements whose rows come from
// their own writes, such as INSERT ... RETURNING.
var rowWritingTags = []string{"INSERT", "UPDATE", "DELETE", "MERGE"}

// altersConn reports whether a completed command may have changed the state of the
// connection.
func altersConn(tag string) bool { return hasAnyPrefix(tag, connAlteringTags) }

// writesRows reports whether a completed command wrote rows.
func writesRows(tag string) bool { return hasAnyPrefix(tag, rowWritingTags) }

// commitsTransaction reports whether a completed command made effects permanent.
func commitsTransaction(tag string) bool {
	return hasAnyPrefix(tag, []string{"COMMIT", "PREPARE TRANSACTION"})
}

// beginsTransaction reports whether a completed command began a transaction block.
func beginsTransaction(tag string) bool {
	return hasAnyPrefix(tag, []string{"BEGIN", "START TRANSACTION"})
}

func hasAnyPrefix(tag string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(tag, prefix) {
			return true
		}
	}
	return false
}
