package pgsim

import (
	"strings"
	"unicode"
)

// parsed is one statement: its shape with every value replaced by "?", and the values.
type parsed struct {
	shape  string
	values []value
}

// value is a literal or the number of a parameter.
type value struct {
	text      string
	parameter int
}

// parse splits a text into statements.
func parse(text string) []parsed {
	var all []parsed
	var words []string
	var values []value
	flush := func() {
		if len(words) > 0 {
			all = append(all, parsed{shape: strings.Join(words, " "), values: values})
		}
		words, values = nil, nil
	}
	for rest := strings.TrimSpace(text); rest != ""; rest = strings.TrimSpace(rest) {
		var t token
		t, rest = next(rest)
		switch {
		case t.kind == kindWord:
			words = append(words, strings.ToLower(t.text))
		case t.kind == kindMark && t.text == ";":
			flush()
		case t.kind == kindMark:
			words = append(words, t.text)
		case t.kind == kindValue:
			words = append(words, "?")
			values = append(values, value{text: t.text})
		case t.kind == kindParameter:
			words = append(words, "?")
			n := 0
			for _, r := range t.text {
				n = min(n*10+int(r-'0'), maxParameters)
			}
			values = append(values, value{parameter: n})
		}
	}
	flush()
	return all
}

// maxParameters is the most parameters that the protocol can number.
const maxParameters = 65535

// parameters is how many parameters the statement has.
func (p parsed) parameters() int {
	n := 0
	for _, v := range p.values {
		n = max(n, v.parameter)
	}
	return n
}

// kind is the kind of a token.
type kind uint8

const (
	kindWord kind = iota
	kindValue
	kindParameter
	kindMark
)

// token is the smallest part of a statement.
type token struct {
	kind kind
	text string
}

// next cuts one token off a text that isn't empty and starts with no space.
func next(text string) (token, string) {
	switch c := text[0]; {
	case c == '\'':
		return quoted(text[1:])
	case c == '$':
		n := span(text[1:], unicode.IsDigit)
		return token{kindParameter, text[1 : 1+n]}, text[1+n:]
	case c >= '0' && c <= '9':
		n := span(text, unicode.IsDigit)
		return token{kindValue, text[:n]}, text[n:]
	case wordRune(rune(c)):
		n := span(text, wordRune)
		return token{kindWord, text[:n]}, text[n:]
	default:
		return token{kindMark, text[:1]}, text[1:]
	}
}

// wordRune says that r is part of a name. A dot joins the parts of a setting's name.
func wordRune(r rune) bool {
	return r == '_' || r == '.' || unicode.IsLetter(r) || unicode.IsDigit(r)
}

// span counts the leading bytes of text whose runes satisfy f.
func span(text string, f func(rune) bool) int {
	if n := strings.IndexFunc(text, func(r rune) bool { return !f(r) }); n >= 0 {
		return n
	}
	return len(text)
}

// quoted reads a literal after its opening quote. Two quotes stand for one.
func quoted(text string) (token, string) {
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
		return token{kindValue, b.String()}, text[i+1:]
	}
	return token{kindValue, b.String()}, ""
}
