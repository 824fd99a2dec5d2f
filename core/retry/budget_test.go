package retry_test

import (
	"testing"

	"pomelofork/core/retry"
)

// TestBudget checks that further attempts can't multiply the load when servers refuse a part of it: there
// is a burst, and then a fifth of the first attempts.
func TestBudget(t *testing.T) {
	var b retry.Budget
	made := 0
	for range 1000 {
		b.First()
		for b.Further() {
			made++
		}
	}
	if made < 219 || made > 221 {
		t.Errorf("%d further attempts for 1000 first ones, want 20 and a fifth", made)
	}
}
