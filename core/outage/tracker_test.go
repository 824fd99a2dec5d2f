package outage_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/outage"
	"pomelofork/core/plan"
	"pomelofork/emul/seed"
)

func TestOutage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outage", seed.Suite())
}

// Each step is MEMBER+ for an answer, MEMBER- for a silence, "yes" for the confirmation by another
// domain, or a duration to pass. Members are in domain d, except those with a leading o, in the own one.
var _ = Describe("Tracker", func() {
	for name, c := range map[string]struct {
		steps           string
		suspected, lost bool
	}{
		"knows nothing at first":                                                  {"", false, false},
		"doesn't suspect a domain for two silent members":                         {"a- b-", false, false},
		"doesn't count a member twice":                                            {"a- a- a- b-", false, false},
		"suspects a domain with three silent members":                             {"a- b- c-", true, false},
		"suspects one whose members had answered before":                          {"a+ b+ c+ x+ y+ z+ 10ms a- b- c-", true, false},
		"doesn't suspect one of which most members have answered a moment before": {"a+ b+ c+ w+ x+ y+ z+ 10ms a- b- c-", false, false},
		"suspects it if these were contacted longer ago":                          {"w+ x+ y+ z+ 1001ms a- b- c-", true, false},
		"doesn't suspect one of which a member answers in between":                {"a- b- 10ms x+ 10ms c-", false, false},
		"counts a member that failed long ago again only if it stays silent":      {"a- 1s x+ 10s b- c-", false, false},
		"ends the suspicion at any answer":                                        {"a- b- c- 10ms x+", false, false},
		"suspects it again only after three are silent again":                     {"a- b- c- 10ms a+ 10ms b- c-", false, false},
		"counts it as lost once another domain says so":                           {"a- b- c- yes", true, true},
		"doesn't count it as lost without an own suspicion":                       {"a- b- yes", false, false},
		"ends the loss with the suspicion":                                        {"a- b- c- yes 10ms a+", false, false},
		"needs a new confirmation for a new suspicion":                            {"a- b- c- yes 10ms a+ 10ms a- b- c-", true, false},
		"never suspects its own domain":                                           {"oa- ob- oc- yes", false, false},
	} {
		It(name, func() {
			now, t := time.Unix(1000, 0), outage.New("o")
			for _, step := range strings.Fields(c.steps) {
				domain := model.Domain("d")
				if strings.HasPrefix(step, "o") {
					domain = "o"
				}
				member := outage.Instance(model.InstanceID(step[:len(step)-1]))
				before := [2]bool{t.Suspected("d"), t.Lost("d")}
				var change outage.Change
				var changed bool
				switch {
				case step == "yes":
					change, changed = t.Confirmed(now, "d")
				case strings.HasSuffix(step, "+"):
					change, changed = t.Answered(now, domain, member)
				case strings.HasSuffix(step, "-"):
					change, changed = t.Silent(now, domain, member)
				default:
					wait, err := time.ParseDuration(step)
					Expect(err).NotTo(HaveOccurred())
					now = now.Add(wait)
				}
				after := [2]bool{t.Suspected("d"), t.Lost("d")}
				Expect(changed).To(Equal(before != after), "%s: each change is reported, for the log", step)
				if changed {
					Expect([2]bool{change.Suspected, change.Lost}).To(Equal(after))
				}
			}
			Expect(t.Suspected("d")).To(Equal(c.suspected))
			Expect(t.Lost("d")).To(Equal(c.lost))
		})
	}

	It("has other domains asked at once, and less and less often while they don't agree", func() {
		now, t := time.Unix(1000, 0), outage.New("o")
		Expect(t.Ask(now, "d")).To(BeFalse())
		for _, id := range []model.InstanceID{"a", "b", "c"} {
			t.Silent(now, "d", outage.Instance(id))
		}
		questions := map[time.Duration]int{}
		for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += 10 * time.Millisecond {
			if t.Ask(now.Add(elapsed), "d") {
				questions[elapsed.Truncate(10*time.Second)]++
			}
		}
		Expect(questions[0]).To(BeNumerically("~", 20, 8))
		Expect(questions[50*time.Second]).To(BeNumerically("<=", 2))
		t.Confirmed(now, "d")
		Expect(t.Ask(now.Add(time.Hour), "d")).To(BeFalse(), "it counts as lost")
	})

	It("forgets a domain of which no member is registered any more", func() {
		now, t := time.Unix(1000, 0), outage.New("o")
		for _, id := range []model.InstanceID{"a", "b", "c"} {
			t.Silent(now, "d", outage.Instance(id))
		}
		instances := map[model.InstanceID]plan.Instance{"c": {ID: "c"}}
		exists := func(m outage.Member) bool { return m.In(instances, nil) }
		Expect(t.Retain(now, exists)).To(BeEmpty())
		Expect(t.Suspected("d")).To(BeTrue())
		delete(instances, "c")
		Expect(t.Retain(now, exists)).To(HaveLen(1))
		Expect(t.Suspected("d")).To(BeFalse())
	})

	It("has a silent domain examined until a member answers, at intervals", func() {
		now, t := time.Unix(1000, 0), outage.New("o")
		Expect(t.Doubtful(now)).To(BeEmpty())
		t.Silent(now, "d", outage.Server("s"))
		Expect(t.Doubtful(now)).To(ConsistOf(model.Domain("d")))
		Expect(t.Examine(now, "d")).To(BeTrue())
		Expect(t.Examine(now.Add(199*time.Millisecond), "d")).To(BeFalse())
		Expect(t.Examine(now.Add(200*time.Millisecond), "d")).To(BeTrue())
		t.Answered(now.Add(time.Second), "d", outage.Server("s"))
		Expect(t.Doubtful(now.Add(2 * time.Second))).To(BeEmpty())
		Expect(t.Examine(now, "o")).To(BeFalse(), "its own domain")
	})
})
