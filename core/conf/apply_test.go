package conf_test

import (
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// smallConfig returns the configuration of the small document.
func smallConfig() *conf.Config {
	GinkgoHelper()
	config, err := conf.Parse([]byte(smallDocument))
	Expect(err).NotTo(HaveOccurred())
	return config
}

var _ = Describe("Apply", func() {
	now := time.Unix(100, 0)
	foo, bar := conf.IDOfKey("foo"), conf.IDOfKey("bar")

	for name, c := range map[string]struct {
		change conf.Change
		check  func(after *conf.Config) any
		want   any
	}{
		"use_preset": {
			conf.Change{UsePreset: &conf.UsePreset{Preset: "peak"}},
			func(c *conf.Config) any { return c.Preset() }, "peak",
		},
		"give_key": {
			conf.Change{GiveKey: &conf.GiveKey{Account: "a", SHA256: conf.HashKey("new")}},
			func(c *conf.Config) any { a, _ := c.Account("a"); _, v := a.Verify("new"); return v }, conf.KeyValid,
		},
		"withdraw_key": {
			conf.Change{WithdrawKey: &conf.WithdrawKey{Account: "a", Key: foo}},
			func(c *conf.Config) any { a, _ := c.Account("a"); return a.KeyState(foo) }, conf.KeyWithdrawn,
		},
		"set_limits": {
			conf.Change{SetLimits: &conf.SetLimits{Account: "a", Burst: new(9)}},
			func(c *conf.Config) any { a, _ := c.Account("a"); return fmt.Sprint(a.Rate(), a.Burst()) }, "10 9",
		},
		"add_account": {
			conf.Change{AddAccount: &conf.AddAccount{Account: conf.AccountEntry{ID: "b", RatePerS: 1, Burst: 1, Share: 1}}},
			func(c *conf.Config) any { return len(c.Accounts()) }, 2,
		},
		"remove_account": {
			conf.Change{RemoveAccount: &conf.RemoveAccount{Account: "a"}},
			func(c *conf.Config) any { return len(c.Accounts()) }, 0,
		},
		"add_route": {
			conf.Change{AddRoute: &conf.AddRoute{Route: conf.RouteEntry{ID: "n", Service: "s", Access: "read"}}},
			func(c *conf.Config) any { _, ok := c.Route("n"); return ok }, true,
		},
		"remove_route": {
			conf.Change{RemoveRoute: &conf.RemoveRoute{Route: "w"}},
			func(c *conf.Config) any { _, ok := c.DefaultRoute("s"); return ok }, false,
		},
		"drain_server": {
			conf.Change{DrainServer: &conf.DrainServer{Server: "s1"}},
			func(c *conf.Config) any { return c.Services()[0].Servers()[0].Draining() }, true,
		},
		"evacuate_domain": {
			conf.Change{EvacuateDomain: &conf.EvacuateDomain{Domain: "x"}},
			func(c *conf.Config) any { return c.Draining("s1") }, true,
		},
	} {
		It("makes the next version: "+name, func() {
			before := smallConfig()
			c.change.ID = "x"
			after, err := before.Apply(c.change, "op", now)
			Expect(err).NotTo(HaveOccurred())
			Expect(after.Version()).To(Equal(uint64(2)))
			Expect(c.check(after)).To(Equal(c.want))
			Expect(before.Text()).To(Equal([]byte(smallDocument)))
			entry, ok := after.FindChange("x")
			Expect(ok).To(BeTrue())
			Expect(entry.Kind).To(Equal(name))
			again, err := conf.Parse(after.Text())
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Document()).To(Equal(after.Document()))
		})
	}

	for name, c := range map[string]struct {
		change conf.Change
		place  string
	}{
		"unknown preset":              {conf.Change{UsePreset: &conf.UsePreset{Preset: "x"}}, "use_preset.preset"},
		"unknown account":             {conf.Change{GiveKey: &conf.GiveKey{Account: "x"}}, "give_key.account"},
		"unknown key":                 {conf.Change{WithdrawKey: &conf.WithdrawKey{Account: "a", Key: "x"}}, "withdraw_key.key"},
		"withdrawn key":               {conf.Change{GiveKey: &conf.GiveKey{Account: "a", SHA256: conf.HashKey("bar")}}, "accounts[0].keys[2].sha256"},
		"burst of zero":               {conf.Change{SetLimits: &conf.SetLimits{Account: "a", Burst: new(0)}}, "accounts[0].burst"},
		"duplicate account":           {conf.Change{AddAccount: &conf.AddAccount{Account: conf.AccountEntry{ID: "a", RatePerS: 1, Burst: 1, Share: 1}}}, "accounts[1].id"},
		"unknown route":               {conf.Change{RemoveRoute: &conf.RemoveRoute{Route: "x"}}, "remove_route.route"},
		"domain not evacuated":        {conf.Change{ReturnDomain: &conf.ReturnDomain{Domain: "x"}}, "return_domain.domain"},
		"domain without a name":       {conf.Change{EvacuateDomain: &conf.EvacuateDomain{}}, "evacuated_domains[0]"},
		"unknown server":              {conf.Change{ReturnServer: &conf.ReturnServer{Server: "x"}}, "return_server.server"},
		"change without an operation": {conf.Change{}, ""},
		"change with two operations":  {conf.Change{RemoveRoute: &conf.RemoveRoute{Route: "w"}, UsePreset: &conf.UsePreset{Preset: "peak"}}, ""},
	} {
		It("rejects: "+name, func() {
			c.change.ID = "x"
			_, err := smallConfig().Apply(c.change, "op", now)
			faults := new(conf.FaultsError)
			Expect(errors.As(err, &faults)).To(BeTrue())
			Expect(faults.Faults()[0].Place()).To(Equal(c.place))
		})
	}

	It("returns an evacuated domain, but not a server in it that is draining by itself", func() {
		c := smallConfig()
		for _, change := range []conf.Change{
			{ID: "1", DrainServer: &conf.DrainServer{Server: "s1"}},
			{ID: "2", EvacuateDomain: &conf.EvacuateDomain{Domain: "later"}},
			{ID: "3", EvacuateDomain: &conf.EvacuateDomain{Domain: "x"}},
			{ID: "4", EvacuateDomain: &conf.EvacuateDomain{Domain: "x"}},
			{ID: "5", ReturnDomain: &conf.ReturnDomain{Domain: "x"}},
		} {
			var err error
			c, err = c.Apply(change, "op", now)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.Document().EvacuatedDomains).To(Equal([]model.Domain{"later"}))
		Expect(c.Draining("s1")).To(BeTrue())
	})

	It("replaces a document but doesn't make a withdrawn key valid again", func() {
		document := *smallConfig().Document()
		document.Version, document.Preset = 900, "peak"
		change := conf.Change{ID: "x", Replace: &conf.Replace{Document: document}}
		after, err := smallConfig().Apply(change, "op", now)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Version()).To(Equal(uint64(2)))

		document.Accounts = []conf.AccountEntry{{ID: "a", RatePerS: 1, Burst: 1, Share: 1, Keys: []conf.KeyEntry{{SHA256: conf.HashKey("bar")}}}}
		change.Replace.Document = document
		_, err = after.Apply(change, "op", now)
		Expect(err).To(MatchError(ContainSubstring("replace.document.accounts[0].keys[0]")))
		Expect(bar).NotTo(Equal(foo))
	})

	It("creates the first document in an empty store", func() {
		var none *conf.Config
		after, err := none.Apply(conf.Change{ID: "x", Replace: &conf.Replace{Document: *smallConfig().Document()}}, "op", now)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Version()).To(Equal(uint64(1)))
		_, err = none.Apply(conf.Change{ID: "x", UsePreset: &conf.UsePreset{Preset: "peak"}}, "op", now)
		Expect(err).To(HaveOccurred())
	})

	It("records the latest 128 changes and answers not_known for an earlier one", func() {
		config := smallConfig()
		for i := range 200 {
			next, err := config.Apply(conf.Change{ID: fmt.Sprint("c", i), UsePreset: &conf.UsePreset{Preset: "peak"}}, "op", now)
			Expect(err).NotTo(HaveOccurred())
			config = next
		}
		Expect(config.Document().Changes).To(HaveLen(128))
		attempt, err := conf.NewAttempt(conf.AttemptConfig{
			Change:   conf.Change{ID: "c0", ExpectedVersion: 1, UsePreset: &conf.UsePreset{Preset: "peak"}},
			Deadline: now.Add(time.Second),
		})
		Expect(err).NotTo(HaveOccurred())
		finish, ok := attempt.OnRead(now, config, 1).(conf.Finish)
		Expect(ok).To(BeTrue())
		Expect(finish.Result().Answer()).To(Equal(conf.AnswerNotKnown))
	})

	It("rejects a different change with an identifier that was already used", func() {
		config, err := smallConfig().Apply(conf.Change{ID: "x", UsePreset: &conf.UsePreset{Preset: "peak"}}, "op", now)
		Expect(err).NotTo(HaveOccurred())
		attempt, err := conf.NewAttempt(conf.AttemptConfig{
			Change:   conf.Change{ID: "x", ExpectedVersion: 2, UsePreset: &conf.UsePreset{Preset: "ordinary"}},
			Deadline: now.Add(time.Second),
		})
		Expect(err).NotTo(HaveOccurred())
		finish, ok := attempt.OnRead(now, config, 1).(conf.Finish)
		Expect(ok).To(BeTrue())
		Expect(finish.Result().Answer()).To(Equal(conf.AnswerRefused))
	})
})
