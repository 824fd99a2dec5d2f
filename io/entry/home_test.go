package entry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/home"
	"pomelofork/core/model"
	"pomelofork/core/plan"
	"pomelofork/core/stmt"
	"pomelofork/io/entry"
)

var _ = Describe("Statements whose route or account has homes", func() {
	regions := map[model.Domain]model.Region{"e1": "east", "e2": "east", "w1": "west"}
	servers := []plan.Server{
		{ID: "p", Service: "s", Slots: 2, Domain: "e1", Primary: true}, {ID: "r", Service: "s", Slots: 2, Domain: "e2"},
		{ID: "w", Service: "s", Slots: 2, Domain: "w1"}, {ID: "x", Service: "s", Slots: 2, Domain: "unknown"},
	}
	// restrict sets the homes of route and account, and places the entry in the west.
	restrict := func(route, account []model.Region) func(*entry.Config, *plan.Config) {
		return func(c *entry.Config, p *plan.Config) {
			c.Homes, c.Domain = home.NewMap(regions), "w1"
			r := p.Routes["db"]
			r.Homes = route
			p.Routes["db"], p.Accounts["acc"] = r, plan.Account{ID: "acc", Homes: account}
		}
	}
	// failAll makes every server fail in a way that allows another attempt.
	failAll := func(f *fixture) {
		f.fleet.run = func(plan.Server, *stmt.Order) stmt.Result { return refuse(stmt.CodeLagging) }
	}
	type want = map[model.ServerID]bool

	for name, c := range map[string]struct {
		route, account []model.Region
		kind           stmt.Kind
		reached        want
	}{
		"a read without homes":                   {nil, nil, stmt.KindRead, want{"p": true, "r": true, "w": true, "x": true}},
		"a read at home in the east":             {[]model.Region{"east"}, nil, stmt.KindRead, want{"p": true, "r": true}},
		"a read of an account in the west":       {nil, []model.Region{"west"}, stmt.KindRead, want{"w": true}},
		"a read at home where both are":          {[]model.Region{"west", "east"}, []model.Region{"west", "north"}, stmt.KindRead, want{"w": true}},
		"a read of two homes without overlap":    {[]model.Region{"west"}, []model.Region{"east"}, stmt.KindRead, want{}},
		"a read at home where no domain belongs": {[]model.Region{"north"}, nil, stmt.KindRead, want{}},
		"a write whose primary is at home":       {[]model.Region{"east"}, nil, stmt.KindWrite, want{"p": true}},
		"a write whose primary is elsewhere":     {[]model.Region{"west"}, nil, stmt.KindWrite, want{}},
	} {
		It("reach only servers there, with all attempts: "+name, func() {
			f := newFixture(servers, restrict(c.route, c.account))
			failAll(f)
			answer := f.connect().ask("x", c.kind)
			Expect(answer.Code).To(Equal(stmt.CodeBusy))
			reached := want{}
			for _, order := range f.fleet.sent() {
				reached[order.Server] = true
				Expect(order.Homes).To(Equal(home.Of(c.route, c.account)))
			}
			Expect(reached).To(Equal(c.reached))
			if len(c.reached) == 0 {
				Expect(answer.Text).To(ContainSubstring("no server in an allowed region"))
				Expect(answer.Text).To(ContainSubstring("retry in"))
			}
		})
	}

	It("end their transaction when its server is no longer at home", func() {
		f := newFixture(servers, restrict([]model.Region{"east"}, nil))
		c := f.connect()
		c.ask("BEGIN", stmt.KindBegin)
		Expect(c.ask("WRITE x", stmt.KindWrite).Code).To(Equal(stmt.CodeDone))
		f.view.mu.Lock()
		f.view.state.Servers = map[model.ServerID]plan.Server{"p": {ID: "p", Service: "s", Domain: "w1", Primary: true}}
		f.view.mu.Unlock()
		Expect(c.ask("COMMIT", stmt.KindCommit).Code).To(Equal(stmt.CodeAborted))
		Eventually(func() stmt.Kind { sent := f.fleet.sent(); return sent[len(sent)-1].Statement.Kind }).WithTimeout(waitTimeout).Should(Equal(stmt.KindRollback))
		for _, order := range f.fleet.sent() {
			Expect(order.Statement.Kind).NotTo(Equal(stmt.KindCommit))
		}
	})

	It("end their transaction when its gateway knows that its server has moved", func() {
		f := newFixture(servers, restrict([]model.Region{"east"}, nil))
		c := f.connect()
		c.ask("BEGIN", stmt.KindBegin)
		Expect(c.ask("WRITE x", stmt.KindWrite).Code).To(Equal(stmt.CodeDone))
		f.fleet.mu.Lock()
		f.fleet.run = func(plan.Server, *stmt.Order) stmt.Result { return refuse(stmt.CodeMoved) }
		f.fleet.mu.Unlock()
		Expect(c.ask("WRITE y", stmt.KindWrite).Code).To(Equal(stmt.CodeAborted), "the code of an instance means nothing to callers")
	})
})
