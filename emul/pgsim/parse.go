package pgsim

import (
	"strings"
	"unicode"
)

// parsedStatement is one statement as normalized text and values. The normalized text is in
// lower case, has one space between two tokens and "?" in the place of each value.
type parsedStatement struct {
	normalized string
	values     []value
}

// value is a literal, or a parameter if its parameter number, which begins at 1, isn't 0.
type value struct {
	text      string
	parameter int
}

// parseStatements splits a query into statements. Empty statements are left out.
func parseStatements(text string) []parsedStatement {
	var statements []parsedStatement
	var words []string
	var values []value
	flush := func() {
		if len(words) > 0 {
			statements = append(statements, parsedStatement{normalized: strings.Join(words, " "), values: values})
		}
		words, values = nil, nil
	}
	for rest := strings.TrimSpace(text); rest != ""; rest = strings.TrimSpace(rest) {
		var t token
		t, rest = nextToken(rest)
		switch {
		case t.kind == tokenWord:
			words = append(words, strings.ToLower(t.text))
		case t.kind == tokenPunctuation && t.text == ";":
			flush()
		case t.kind == tokenPunctuation:
			words = append(words, t.text)
		case t.kind == tokenValue:
			words = append(words, "?")
			values = append(values, value{text: t.text})
		case t.kind == tokenParameter:
			words = append(words, "?")
			n := 0
			for _, r := range t.text {
				n = min(n*10+int(r-'0'), maxParameters)
			}
			values = append(values, value{parameter: n})
		}
	}
	flush()
	return statements
}

// maxParameters is the highest number of parameters that the protocol can count.
const maxParameters = 65535

// parameterCount returns the highest parameter number of the statement, or 0.
func (p parsedStatement) parameterCount() int {
	n := 0
	for _, v := range p.values {
		n = max(n, v.parameter)
	}
	return n
}

type tokenKind uint8

const (
	tokenWord tokenKind = iota
	tokenValue
	tokenParameter
	tokenPunctuation
)

// token is a lexical token of a statement. Its text has no quotes and no "$".
type token struct {
	kind tokenKind
	text string
}

// nextToken returns the first token of a text, and the rest of the text. The text must not
// be empty or begin with a space.
func nextToken(text string) (token, string) {
	switch c := text[0]; {
	case c == '\'':
		return quotedValue(text[1:])
	case c == '$':
		n := prefixLength(text[1:], unicode.IsDigit)
		return token{tokenParameter, text[1 : 1+n]}, text[1+n:]
	case c >= '0' && c <= '9':
		n := prefixLength(text, unicode.IsDigit)
		return token{tokenValue, text[:n]}, text[n:]
	case isWordRune(rune(c)):
		n := prefixLength(text, isWordRune)
		return token{tokenWord, text[:n]}, text[n:]
	default:
		return token{tokenPunctuation, text[:1]}, text[1:]
	}
}

// isWordRune reports whether r can be part of a word. That includes the dot, which joins
// the parts of the name of a setting.
func isWordRune(r rune) bool {
	return r == '_' || r == '.' || unicode.IsLetter(r) || unicode.IsDigit(r)
}

// prefixLength returns the length in bytes of the longest prefix of text whose runes all
// satisfy f.
func prefixLength(text string, f func(rune) bool) int {
	if n := strings.IndexFunc(text, func(r rune) bool { return !f(r) }); n >= 0 {
		return n
	}
	return len(text)
}

// quotedValue returns the literal that begins after its opening quote, and the rest of the
// text. Two quotes in the literal stand for one. A literal without a closing quote extends
// to the end of the text.
func quotedValue(text string) (token, string) {
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] != '\'' {
			b.WriteByte(text[i])
			continue
		}
		if i+1 < len(text) && text[i+1] == '\'' {
			b.WriteByte('\'')
			i++
			continue
		}
		return token{tokenValue, b.String()}, text[i+1:]
	}
	return token{tokenValue, b.String()}, ""
}
