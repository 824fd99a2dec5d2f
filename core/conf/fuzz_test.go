package conf_test

import (
	"os"
	"reflect"
	"testing"
	"time"

	"pomelofork/core/conf"
)

// FuzzParse looks for documents that break the parser, and for taken documents
// whose stored form is not taken.
func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	for _, name := range []string{"slamka", "levesque"} {
		text, err := os.ReadFile("../../examples/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := conf.Parse(text)
		if err != nil {
			return
		}
		stored, err := config.Document().Encode()
		if err != nil {
			t.Fatal(err)
		}
		fast, err := conf.Parse(stored)
		if err != nil {
			t.Fatalf("stored form not taken: %v", err)
		}
		// A blank at the end is enough to have the text read as a tree.
		slow, err := conf.Parse(append(stored, ' '))
		if len(stored) < conf.MaxSize && (err != nil || !reflect.DeepEqual(fast.Document(), slow.Document())) {
			t.Fatalf("stored form reads differently as a tree: %v", err)
		}
		for _, account := range config.Accounts() {
			if _, verdict := account.Verify(string(text)); verdict == conf.KeyValid {
				t.Fatal("a document's text is a key")
			}
		}
	})
}

// FuzzParseChange looks for changes that break the parser.
func FuzzParseChange(f *testing.F) {
	f.Add([]byte(`{"id":"x","expected_version":1,"use_preset":{"preset":"peak"}}`))
	f.Add([]byte(`{"id":"x","expected_version":1,"give_key":{"account":"a","sha256":""}}`))
	config, err := conf.Parse([]byte(small))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		change, err := conf.ParseChange(text)
		if err != nil {
			return
		}
		if after, err := config.Apply(change, "op", time.Unix(0, 0)); err == nil && after.Version() != 2 {
			t.Fatalf("version %d", after.Version())
		}
	})
}
