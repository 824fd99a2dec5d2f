package limit_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestLimit runs all specs. Random runs use one seed unless RAPID_SEED names another;
// RAPID_CHECKS sets how many there are.
func TestLimit(t *testing.T) {
	if os.Getenv("RAPID_SEED") == "" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			t.Fatal(err)
		}
	}
	if os.Getenv("RAPID_CHECKS") == "" {
		if err := flag.Set("rapid.checks", "10"); err != nil {
			t.Fatal(err)
		}
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}
