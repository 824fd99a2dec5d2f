package trial_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/trial"
	"pomelofork/emul/seed"
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trial", seed.Suite())
}

var _ = Describe("Disabled", func() {
	for name, c := range map[string]struct {
		names []string
		want  string
		fault string
	}{
		"none":        {nil, "", ""},
		"two":         {[]string{"read_retry", "isolation"}, "isolation, read_retry", ""},
		"unknown":     {[]string{"isolation", "guards"}, "", `unknown mechanism "guards"`},
		"named twice": {[]string{"isolation", "isolation"}, "", `"isolation" is named twice`},
	} {
		It("is read from names: "+name, func() {
			d, err := trial.Parse(c.names)
			if c.fault != "" {
				Expect(err).To(MatchError(ContainSubstring(c.fault)))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(d.String()).To(Equal(c.want))
			Expect(d.Empty()).To(Equal(len(c.names) == 0))
		})
	}

	It("has exactly the named mechanisms", func() {
		d, err := trial.Parse([]string{"isolation"})
		Expect(err).NotTo(HaveOccurred())
		for _, s := range trial.All() {
			Expect(d.Has(s)).To(Equal(s == trial.Isolation))
		}
	})
})
