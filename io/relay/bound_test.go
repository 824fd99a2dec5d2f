package relay

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/model"
	"pomelofork/core/stmt"
)

// received returns a message as its receiver decodes it.
func received[T message](sent, empty T) (T, error) {
	c := newCodec(nil, nil, formTagged)
	c.body = coder{form: formTagged, decoding: true, buf: encodeIn(formTagged, sent)}
	return empty, c.decodeBody(empty)
}

var _ = Describe("A message with values out of range", func() {
	// A kind that this build doesn't know ended the process when it was logged.
	It("isn't run if its kind is unknown", func() {
		_, err := received(&RunRequest{Order: stmt.Order{Statement: stmt.Statement{Kind: 200}}}, &RunRequest{})
		Expect(err).To(MatchError(errRange))
		_, err = received(&RunRequest{Order: stmt.Order{Begin: 200}}, &RunRequest{})
		Expect(err).To(MatchError(errRange))
	})

	It("answers nothing if its code or state is unknown", func() {
		for _, answer := range []stmt.Answer{{Code: 200, State: stmt.StateIdle}, {Code: stmt.CodeDone, State: 200}} {
			got, err := received(&RunResponse{Result: stmt.Result{Answer: answer, NotSent: true}}, &RunResponse{})
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Result.Answer.Code).To(Equal(stmt.CodeConnectionLost))
			Expect(got.Result.NotSent).To(BeFalse(), "the statement may have run")
		}
	})

	// A negative age makes keys and points newer than they are, and negative needs add tokens.
	It("has its durations and numbers in their ranges", func() {
		for _, d := range []time.Duration{math.MinInt64, -1, math.MaxInt64} {
			follow, _ := received(&FollowResponse{Known: true, Age: d}, &FollowResponse{})
			look, _ := received(&LookResponse{Age: d, ConfigAge: d, Point: model.NewPoint(1, 2)}, &LookResponse{})
			confirm, _ := received(&ConfirmResponse{Age: d}, &ConfirmResponse{})
			run, _ := received(&RunResponse{Result: stmt.Result{Wait: d, RetryAfter: d, LatestAge: d, Waits: []stmt.PriorityWait{{Wait: d}}}}, &RunResponse{})
			grant, _ := received(&DrawResponse{Delay: d, RetryAfter: d, Tokens: int(d)}, &DrawResponse{})
			for _, got := range []time.Duration{follow.Age, look.Age, confirm.Age, run.Result.Wait, run.Result.RetryAfter, run.Result.LatestAge, run.Result.Waits[0].Wait, grant.Delay, grant.RetryAfter} {
				Expect(got).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxSpan)))
			}
			Expect(look.ConfigAge).To(And(BeNumerically(">=", -1), BeNumerically("<=", maxSpan)))
			Expect(grant.Tokens).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxCount)))
			draw, _ := received(&DrawRequest{Need: int(d), Ahead: int(d), MaxWait: d}, &DrawRequest{})
			Expect([]int{draw.Need, draw.Ahead}).To(HaveEach(And(BeNumerically(">=", 0), BeNumerically("<=", maxCount))))
			order, _ := received(&RunRequest{Order: stmt.Order{Priority: int(d), Timeout: d, Target: d}}, &RunRequest{})
			Expect(order.Order.Priority).To(And(BeNumerically(">=", -maxCount), BeNumerically("<=", maxCount)))
			wait, _ := received(&FollowRequest{Wait: d}, &FollowRequest{})
			Expect(wait.Wait).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxFollowWait)))
		}
	})
})
