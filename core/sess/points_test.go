package sess_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/sess"
)

// Guards against points that grow without a bound, and against forgetting that passes for having written nothing.
var _ = Describe("Points", func() {
	It("keeps the point of each service while others change", func() {
		points := sess.NewPoints[sess.Newest]()
		points.Advance("stock", model.NewPoint(3, 100))
		points.Advance("orders", model.NewPoint(1, 7))
		points.Advance("orders", model.NewPoint(1, 8))
		Expect(points.String()).To(Equal("*=0/0,orders=1/8,stock=3/100"))
	})

	for name, c := range map[string]struct{ first, second, newest, joined string }{
		"later commit":                             {"2/5", "2/6", "2/6", "2/6"},
		"earlier commit":                           {"2/6", "2/5", "2/6", "2/6"},
		"shorter log of a later term":              {"2/100", "3/90", "3/90", "3/100"},
		"late answer of an earlier term":           {"3/90", "2/100", "3/90", "3/100"},
		"commit whose place in the log is unknown": {"2/5", "0/0", "", ""},
	} {
		It("merges two commits by the policy: "+name, func() {
			newest, joined := sess.NewPoints[sess.Newest](), sess.NewPoints[sess.Joined]()
			for _, text := range []string{c.first, c.second} {
				point, err := model.ParsePoint(text)
				Expect(err).NotTo(HaveOccurred())
				newest.Advance("s", point)
				joined.Advance("s", point)
			}
			Expect(strings.TrimPrefix(newest.String(), "*=0/0,s=")).To(Equal(c.newest))
			Expect(strings.TrimPrefix(joined.String(), "*=0/0,s=")).To(Equal(c.joined))
		})
	}

	It("stays within its bound and forgets the services that went longest without a commit", func() {
		points, tokens := sess.NewPoints[sess.Newest](), sess.NewPoints[sess.Joined]()
		for i := range 5000 {
			points.Advance(model.ServiceID(fmt.Sprint("service", i)), model.NewPoint(1, 1))
			tokens.Advance(model.ServiceID(fmt.Sprint("service", i)), model.NewPoint(1<<63, 1<<63))
			points.Advance("often", model.NewPoint(1, model.Position(i+1)))
		}
		Expect(points.Bytes()).To(BeNumerically("<=", sess.Newest{}.MaxBytes()))
		Expect(len(tokens.String())).To(BeNumerically("<=", sess.MaxTextBytes))
		for service, want := range map[model.ServiceID]bool{"often": true, "service4999": true, "service0": false, "never": false} {
			_, known := points.Point(service)
			Expect(known).To(Equal(want), string(service))
		}
		Expect(points.Learn("often", model.NewPoint(1, 9))).To(BeFalse())
		Expect(points.Learn("service0", model.NewPoint(1, 9))).To(BeTrue())
	})
})
