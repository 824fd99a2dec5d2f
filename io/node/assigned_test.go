package node

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/conf"
	"pomelofork/core/model"
)

// fakeRights assigns one service at each epoch and counts the questions.
type fakeRights struct {
	epoch uint64
	asked int
}

func (r *fakeRights) Epoch() uint64 { return r.epoch }

func (r *fakeRights) Assigned(service model.ServiceID) bool {
	r.asked++
	return string(service) == fmt.Sprint("s", r.epoch)
}

var _ = Describe("the services of an instance", func() {
	It("are worked out once for each epoch and configuration", func() {
		document := &conf.Document{Format: conf.Format, Version: 1, Preset: "ordinary", Presets: map[string]conf.PresetEntry{"ordinary": {RatePercent: 100}}}
		for i := range 3 {
			document.Services = append(document.Services, conf.ServiceEntry{
				ID: model.ServiceID(fmt.Sprint("s", i)), Database: "d", User: "u", Password: "p", StatementTimeoutMs: 1000,
				Servers: []conf.ServerEntry{{ID: model.ServerID(fmt.Sprint("server-", i)), Address: fmt.Sprint("127.0.0.1:", 7000+i), FailureDomain: "a", Slots: 1, Connections: 4}},
			})
		}
		config, err := conf.NewConfig(document)
		Expect(err).NotTo(HaveOccurred())
		var a assigned
		rights := &fakeRights{epoch: 1}
		for range 10 {
			Expect(a.services(config, rights)).To(HaveExactElements(HaveField("ID()", model.ServiceID("s1"))))
		}
		Expect(rights.asked).To(Equal(3))
		rights.epoch = 2
		Expect(a.services(config, rights)).To(HaveExactElements(HaveField("ID()", model.ServiceID("s2"))))
	})
})
