package sess_test

import (
	"testing"

	"pomelofork/core/sess"
)

// FuzzParse expects that whatever is accepted is written and read back the same.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"", "new", "orders=1/2", "*=0/0,orders=3/4711", "a=1/2,a=1/3", "=", "a=18446744073709551615/1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		tokens, err := sess.Parse(text)
		if err != nil {
			return
		}
		again, err := sess.Parse(tokens.String())
		if err != nil {
			t.Fatalf("%q is written as %q: %v", text, tokens.String(), err)
		}
		if again.String() != tokens.String() {
			t.Fatalf("%q becomes %q", tokens.String(), again.String())
		}
	})
}
