package admit_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/admit"
	"pomelofork/emul/seed"
)

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admit", seed.Suite())
}

// Guards against callers that take the descriptors without which nobody is served.
var _ = Describe("Limit", func() {
	for name, c := range map[string]struct {
		descriptors, sessions, open int
		verdict                     admit.Verdict
	}{
		"without a limit of descriptors":      {0, 0, 1 << 20, admit.Serve},
		"below the limit":                     {4300, 3075, 3074, admit.Serve},
		"at the limit":                        {4300, 3075, 3075, admit.Refuse},
		"with few that are being refused":     {4300, 3075, 3266, admit.Refuse},
		"with many that are being refused":    {4300, 3075, 3267, admit.Close},
		"with fewer descriptors than reserve": {64, 24, 23, admit.Serve},
		"with almost none":                    {1, 1, 1, admit.Refuse},
	} {
		It("decides on a session "+name, func() {
			limit := admit.NewLimit(c.descriptors)
			Expect(limit.Sessions()).To(Equal(c.sessions))
			Expect(limit.Admit(c.open)).To(Equal(c.verdict))
			Expect(limit.Full(c.open)).To(Equal(c.verdict != admit.Serve))
		})
	}
})
