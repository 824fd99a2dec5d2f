package lagged

import (
	"time"

	"pomelofork/core/plan"
	"pomelofork/core/spare"
	"pomelofork/core/stmt"
	"pomelofork/core/wait"
)

// server is a backend server with its gateway.
type server struct {
	w       *world
	plan    plan.Server
	queue   *wait.Queue[*call]
	room    *spare.Room[*call]
	running int
}

// reply sends a result with the waits that the gateway reports.
func (s *server) reply(c *call, r stmt.Result) {
	r.Wait = max(r.Wait, s.queue.EstimateWait(s.running))
	if s.w.config.Contended {
		// What a gateway with shares reports: the work of this and higher priorities before the slots.
		ahead := make([]time.Duration, len(classes))
		s.queue.Each(func(c *call) {
			for p := c.op.class; p < len(classes); p++ {
				ahead[p] += classes[c.op.class].work / slots
			}
		})
		for p, wait := range ahead {
			r.Waits = append(r.Waits, stmt.PriorityWait{Priority: p, Wait: wait})
		}
	}
	s.w.after(hop, func() { c.back(r) })
}

// arrive receives a call.
func (s *server) arrive(c *call) {
	k := classes[c.op.class]
	name := string(rune('0' + c.op.class))
	busy := stmt.Result{NotSent: true, Answer: stmt.Answer{Code: stmt.CodeBusy}}
	if s.room != nil && s.plan.Primary {
		if !c.op.write && !c.op.primary {
			read := spare.Read[*call]{Value: c, Priority: c.op.class, Work: s.queue.Cost(name), Target: c.op.received.Add(k.target), Deadline: c.op.received.Add(k.timeout)}
			if after, ok := s.room.Add(s.w.now, read); !ok {
				busy.RetryAfter, busy.ClosedToReads = after, true
				s.reply(c, busy)
				return
			}
			s.dispatch()
			return
		}
	}
	s.enqueue(c)
	s.dispatch()
}

// enqueue queues a call or refuses it.
func (s *server) enqueue(c *call) {
	k, name := classes[c.op.class], string(rune('0'+c.op.class))
	busy := stmt.Result{NotSent: true, Answer: stmt.Answer{Code: stmt.CodeBusy}}
	refusal, ok := s.queue.Add(s.w.now, wait.Item[*call]{Value: c, Class: name, Priority: c.op.class, Target: c.op.received.Add(k.target), Deadline: c.op.received.Add(k.timeout)}, s.running)
	if !ok {
		busy.RetryAfter, busy.Wait = refusal.RetryAfter, refusal.Wait
		s.reply(c, busy)
	}
}

// dispatch refuses what can't be served and starts what fits.
func (s *server) dispatch() {
	if s.room != nil {
		for _, read := range s.room.RemoveUnservable(s.w.now) {
			s.reply(read.Value, stmt.Result{NotSent: true, Answer: stmt.Answer{Code: stmt.CodeBusy}, RetryAfter: 100 * time.Millisecond})
		}
	}
	for _, item := range s.queue.RemoveUnservable(s.w.now) {
		s.reply(item.Value, stmt.Result{NotSent: true, Answer: stmt.Answer{Code: stmt.CodeBusy}, RetryAfter: s.queue.EstimateWait(s.running)})
	}
	for s.running < slots {
		if s.room != nil {
			first := len(classes)
			s.queue.Each(func(c *call) { first = min(first, c.op.class) })
			if read, ok := s.room.Next(s.w.now, first); ok {
				s.enqueue(read.Value)
			}
		}
		item, ok := s.queue.Next(s.w.now, func(*call) bool { return true })
		if !ok {
			return
		}
		c := item.Value
		has := point(s.w.now)
		if !s.plan.Primary {
			has = point(s.w.applied())
		}
		if !c.op.write && has.Less(c.op.after) {
			s.reply(c, stmt.Result{Answer: stmt.Answer{Code: stmt.CodeLagging, Point: has}})
			continue
		}
		s.running++
		s.w.after(c.work, func() {
			s.running--
			s.queue.ObserveCost(item.Class, c.work)
			s.reply(c, stmt.Result{Answer: stmt.Answer{Point: has}})
			s.dispatch()
		})
	}
}
