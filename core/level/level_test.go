package level_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/level"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/emul/seed"
)

func TestLevel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "level", seed.Suite())
}

// A behaviour that rests on what others do must not begin while an instance of an older build takes part.
var _ = Describe("The level of a fleet", func() {
	for name, c := range map[string]struct {
		instances map[model.InstanceID]plan.Instance
		level     int
		behind    []model.InstanceID
	}{
		"is unstated for no instances":                      {nil, level.Unstated, nil},
		"is the newest one if all register it":              {map[model.InstanceID]plan.Instance{"a": {Level: level.Newest}, "b": {Level: level.Newest}}, level.Newest, nil},
		"is that of the oldest build":                       {map[model.InstanceID]plan.Instance{"a": {Level: level.Newest}, "c": {}, "b": {}}, level.Unstated, []model.InstanceID{"b", "c"}},
		"isn't above what this build knows":                 {map[model.InstanceID]plan.Instance{"a": {Level: level.Newest + 1}}, level.Newest, nil},
		"is below the least one for a level that is absurd": {map[model.InstanceID]plan.Instance{"a": {Level: -4}, "b": {}}, -4, []model.InstanceID{"a"}},
	} {
		It(name, func() {
			fleet, behind := level.Of(c.instances)
			Expect(fleet).To(Equal(c.level))
			Expect(behind).To(Equal(c.behind))
		})
	}
})
