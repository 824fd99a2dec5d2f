package pooler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pomelofork/core/stmt"
	"pomelofork/emul/group"
	"pomelofork/io/clock"
)

// Guards against transactions that nobody ends: each takes a connection, and some twelve of them a whole service
// (review/12, review/13).
var _ = Describe("A transaction whose entry doesn't go on with it", func() {
	It("is rolled back if the server didn't run its first statement, which the entry repeats", func() {
		busy := true
		conn := newScriptedConn(func(c stmt.Command) (stmt.Answer, bool) {
			if c.Op == stmt.OpPass && c.Text != "ROLLBACK" && busy {
				busy = false
				return stmt.Refuse(stmt.CodeBusy, stmt.StateFailed, "busy"), true
			}
			return done(c)
		})
		pool := newScriptedPool(conn)
		first := func() *stmt.Order { return inTransaction(order("r1", "READ x", stmt.KindRead), 7, stmt.OpBegin) }
		Expect(pool.Run(clock.Now(), first()).Answer.Code).To(Equal(stmt.CodeBusy))
		Eventually(pool.Idle).Should(BeTrue())
		Expect(pool.Run(clock.Now(), first()).Answer.Code).To(Equal(stmt.CodeDone))
		Expect(conn.texts()).To(Equal([]string{"READ x", "ROLLBACK", "READ x"}))
	})

	for name, end := range map[string]func(f *fixture, gone chan struct{}){
		"the entry is gone": func(_ *fixture, gone chan struct{}) { close(gone) },
		"the entry rolls it back": func(f *fixture, _ chan struct{}) {
			f.run(inTransaction(order("-", "ROLLBACK", stmt.KindRollback), 9, stmt.OpPass))
		},
	} {
		It("isn't begun if it waits in the queue as "+name, func() {
			f := newFixture(group.Config{})
			f.pool = f.newPool("p", 4)
			for unit := range uint64(2) {
				Expect(f.run(inTransaction(order("w", "WRITE x y", stmt.KindWrite), unit+1, stmt.OpBegin)).Answer.Code).To(Equal(stmt.CodeDone))
			}
			gone, result := make(chan struct{}), make(chan stmt.Result, 1)
			go func() {
				result <- f.pool.RunFor(clock.Now(), inTransaction(order("waits", "WRITE x z", stmt.KindWrite), 9, stmt.OpBegin), gone)
			}()
			Consistently(result, 50*time.Millisecond).ShouldNot(Receive())
			end(f, gone)
			Eventually(result).WithTimeout(waitTimeout).Should(Receive(HaveField("Answer.Code", stmt.CodeAborted)))
			f.run(inTransaction(order("-", "ROLLBACK", stmt.KindRollback), 1, stmt.OpPass))
			Expect(f.run(inTransaction(order("next", "WRITE x y", stmt.KindWrite), 10, stmt.OpBegin)).Answer.Code).To(Equal(stmt.CodeDone))
			Expect(f.group.RunCount("waits")).To(BeZero())
		})
	}

	It("isn't begun if its entry was gone before it came to its turn", func() {
		f := newFixture(group.Config{})
		gone := make(chan struct{})
		close(gone)
		result := f.pool.RunFor(clock.Now(), inTransaction(order("w", "WRITE x y", stmt.KindWrite), 1, stmt.OpBegin), gone)
		Expect(result).To(And(HaveField("NotSent", true), HaveField("Answer.Code", stmt.CodeAborted)))
		Expect(f.pool.Idle()).To(BeTrue())
		Expect(f.group.Server("p").Sessions()).To(BeZero())
	})

	It("ends in any case well after the longest time for which it may be idle", func() {
		f := newFixture(group.Config{})
		f.pool.SetLimits(16, time.Second)
		f.run(inTransaction(order("w", "WRITE x y", stmt.KindWrite), 1, stmt.OpBegin))
		f.pool.Tick(clock.Now().Add(2*time.Second), true)
		Expect(f.pool.Idle()).To(BeFalse())
		f.pool.Tick(clock.Now().Add(10*time.Second), true)
		Expect(f.pool.Idle()).To(BeTrue())
	})
})
