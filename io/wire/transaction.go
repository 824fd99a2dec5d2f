package wire

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// BeginsTransaction reports whether a statement of the batch opens a transaction block. It recognizes the
// statement by its first word, in simple queries and in those that are parsed in the same batch.
func BeginsTransaction(batch []pgproto3.FrontendMessage) bool {
	return hasWord(batch, "BEGIN", "START")
}

// EndsTransaction reports the same of a statement that ends a transaction block.
func EndsTransaction(batch []pgproto3.FrontendMessage) bool {
	return hasWord(batch, "COMMIT", "END", "ROLLBACK", "ABORT")
}

// hasWord reports whether a statement of the batch begins with one of the words.
func hasWord(batch []pgproto3.FrontendMessage, words ...string) bool {
	for _, m := range batch {
		text := ""
		switch m := m.(type) {
		case *pgproto3.Query:
			text = m.String
		case *pgproto3.Parse:
			text = m.Query
		}
		first := strings.TrimRight(strings.SplitN(strings.TrimSpace(text), " ", 2)[0], ";")
		for _, word := range words {
			if strings.EqualFold(first, word) {
				return true
			}
		}
	}
	return false
}
