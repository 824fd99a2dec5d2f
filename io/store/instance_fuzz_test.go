package store

import (
	"encoding/json"
	"strings"
	"testing"
)

// FuzzInstances checks that the entries around any JSON value in the list of instances are
// read.
func FuzzInstances(f *testing.F) {
	for _, value := range []string{"null", `{"id":"m"}`, `{"id":{},"id":"x"}`, `[[{"id":1e999}]]`, `"]"`, strings.Repeat("[", 11_000) + strings.Repeat("]", 11_000)} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		listed, unreadable, err := parseInstances([]byte(`{"instances":[{"id":"a","kind":"entry"},` + value + `,{"id":"z"}]}`))
		if !json.Valid([]byte(value)) {
			return
		}
		if err != nil || len(listed)+unreadable != 3 {
			t.Fatalf("%q: %v, %d unreadable, %v", value, listed, unreadable, err)
		}
		if listed[0] != (ListedInstance{ID: "a", Kind: "entry"}) || listed[len(listed)-1].ID != "z" {
			t.Fatalf("%q: %v", value, listed)
		}
	})
}
