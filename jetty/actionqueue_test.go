package jetty

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

var _ = Describe("The queue of a placer's actions", func() {
	to := func(i int) mooring.ServerInstance {
		return mooring.ServerInstance{Server: fairway.ServerID(fmt.Sprintf("server-%d", i)), Incarnation: 1}
	}
	order := func(i int, release bool) assignerAction {
		return assignerAction{service: "readings", action: mooring.SendOrder{Order: mooring.Order{To: to(i), Release: release}}}
	}
	serverOf := func(a startedAction) mooring.ServerInstance { return a.action.(mooring.SendOrder).Order.To }
	result := func(r mooring.Result) mooring.Event { return mooring.OrderCompleted{Result: r} }

	// play runs the orders on workers with a virtual clock, and returns when each server
	// that answers had its first order answered. Others answer nothing for a timeout.
	play := func(q *actionQueue, workers int, answers func(mooring.ServerInstance) bool, took, timeout time.Duration) map[mooring.ServerInstance]time.Duration {
		type progress struct {
			action startedAction
			until  time.Duration
		}
		var running []progress
		answered := make(map[mooring.ServerInstance]time.Duration)
		for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
			var still []progress
			for _, p := range running {
				if p.until > now {
					still = append(still, p)
					continue
				}
				if server := serverOf(p.action); answers(server) {
					if _, ok := answered[server]; !ok {
						answered[server] = now
					}
					q.done(p.action, result(mooring.ResultAccepted))
				} else {
					q.done(p.action, result(mooring.ResultNotSent))
				}
			}
			running = still
			for len(running) < workers {
				a, ok := q.tryTake()
				if !ok {
					break
				}
				d := timeout
				if answers(serverOf(a)) {
					d = took
				}
				running = append(running, progress{action: a, until: now + d})
			}
			if len(running) == 0 {
				break
			}
		}
		return answered
	}

	DescribeTable("has all servers that answer granted within a second, beside those that do not", func(servers, dead int) {
		q := newActionQueue()
		for range 3 {
			for i := range servers {
				q.add(order(i, false))
			}
		}
		lost := func(s mooring.ServerInstance) bool {
			for i := range dead {
				if s == to(i*servers/dead) {
					return true
				}
			}
			return false
		}
		answered := play(q, actionWorkers, func(s mooring.ServerInstance) bool { return !lost(s) }, 3*time.Millisecond, connectTimeout)
		Expect(answered).To(HaveLen(servers - dead))
		for _, at := range answered {
			Expect(at).To(BeNumerically("<", time.Second))
		}
	},
		Entry("21 servers, 7 dead", 21, 7), Entry("110 servers, 37 dead", 110, 37), Entry("322 servers, 80 dead", 322, 80),
	)

	It("renews grants while many releases wait for running requests", func() {
		q := newActionQueue()
		for i := range 100 {
			q.recordResult(to(i), false, mooring.ResultAccepted)
			q.add(order(i, true))
		}
		for range actionWorkers {
			q.tryTake()
		}
		q.add(order(200, false))
		q.recordResult(to(200), false, mooring.ResultAccepted)
		a, ok := q.tryTake()
		Expect(ok).To(BeTrue())
		Expect(serverOf(a)).To(Equal(to(200)))
	})

	It("keeps the order of the actions of a server", func() {
		q := newActionQueue()
		q.add(order(1, false))
		q.add(order(1, true))
		q.add(order(2, false))
		first, _ := q.tryTake()
		second, _ := q.tryTake()
		Expect([]mooring.ServerInstance{serverOf(first), serverOf(second)}).To(Equal([]mooring.ServerInstance{to(1), to(2)}))
		_, ok := q.tryTake()
		Expect(ok).To(BeFalse(), "the first one has not been answered")
		q.done(first, result(mooring.ResultAccepted))
		next, ok := q.tryTake()
		Expect(ok).To(BeTrue())
		Expect(next.action.(mooring.SendOrder).Order.Release).To(BeTrue())
	})

	It("hands each action to one worker, and returns when the term ends", func() {
		q := newActionQueue()
		ctx, cancel := context.WithCancel(context.Background())
		taken := make(chan startedAction)
		for range 3 {
			go func() {
				for a, ok := q.take(ctx); ok; a, ok = q.take(ctx) {
					taken <- a
				}
				taken <- startedAction{}
			}()
		}
		q.add(assignerAction{service: "readings", action: mooring.LoadTable{}})
		Eventually(taken).Should(Receive(WithTransform(func(a startedAction) string { return string(a.service) }, Equal("readings"))))
		Consistently(taken).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
		cancel()
		for range 3 {
			Eventually(taken).Should(Receive(Equal(startedAction{})))
		}
	})

	It("leaves no action that may be begun to wait, whoever ends first", func() {
		q := newActionQueue()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		const actions = 5000
		ended := make(chan struct{}, actions)
		for range actionWorkers {
			go func() {
				for a, ok := q.take(ctx); ok; a, ok = q.take(ctx) {
					q.done(a, result(mooring.ResultAccepted))
					ended <- struct{}{}
				}
			}()
		}
		for i := range actions {
			q.add(order(i%40, i%3 == 0))
		}
		Eventually(ended).WithTimeout(10 * time.Second).Should(HaveLen(actions))
	})

	It("forgets servers that are gone", func() {
		q := newActionQueue()
		q.recordResult(to(1), false, mooring.ResultAccepted)
		q.forget(fairway.NewCatalog(nil))
		Expect(q.answering).To(BeEmpty())
	})
})
