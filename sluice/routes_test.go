package sluice_test

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// digestOf returns a digest of the decisions of a fleet.
func digestOf(f *routeFleet) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(strings.Join(f.decisions, "\n")))
	return h.Sum64()
}

// textOf returns a decision as it was printed at 7bf67f0: fields that were added since to what
// it names do not change a decision.
func textOf(d sluice.Decision) string {
	dispatch, ok := d.(sluice.Dispatch)
	if !ok {
		return fmt.Sprint(d)
	}
	e := dispatch.Server
	return fmt.Sprintf("{{%v %v %v %v %v %v %v %v %v %v %v}}",
		e.ID, e.Service, e.Address, e.Domain, e.Incarnation, e.Version, e.Slots, e.Draining, e.Unconfirmed, e.WarmupRemaining, e.ReadAt)
}

// comparedShares returns the mean shares of requests answered on time by kind, over drawn
// loads, of the given policy and of the one that knows the service alone.
func comparedShares(cfg routeFleetConfig, p policy) (today, got []float64) {
	const seeds = 3
	today, got = make([]float64, len(cfg.kinds)), make([]float64, len(cfg.kinds))
	for cfg.seed = range seeds {
		a, b := newRouteFleet(cfg, byService).run(), newRouteFleet(cfg, p).run()
		for kind := range cfg.kinds {
			today[kind] += a.share(kind) / seeds
			got[kind] += b.share(kind) / seeds
		}
	}
	AddReportEntry(fmt.Sprintf("hosts %d, load %.1f, policy %d: today %.3f, now %.3f", cfg.hosts, cfg.fraction, p, today, got))
	return today, got
}

// oneAdmitting describes servers whose requests one host admits.
func oneAdmitting(kinds []routeKind, fraction float64) routeFleetConfig {
	return routeFleetConfig{
		kinds: kinds, hosts: 1, sharing: 3, servers: 10, fraction: fraction, duration: 20 * time.Second, speeds: []float64{0.7, 0.7, 1.7}, uneven: true,
	}
}

// With one mean for all routes, the short urgent requests count as late beside the long
// ones, and the queue counts each waiting request as an average one.
var _ = Describe("Two routes on servers with 2 slots", func() {
	for _, p := range []policy{byRoute, byLoad} {
		It(fmt.Sprintf("answer urgent requests of 170 ms on time beside those of 940 ms, at capacity; policy %d", p), func() {
			today, got := comparedShares(oneAdmitting(mediumAndVeryLong, 1), p)
			Expect(got[0]).To(BeNumerically(">=", 0.95))
			Expect(got[0]).To(BeNumerically(">=", today[0]+0.05))
			Expect(got[1]).To(BeNumerically(">=", today[1]-0.04))
		})

		It(fmt.Sprintf("answer more long requests on time at 1.6 times the capacity, and as many urgent ones; policy %d", p), func() {
			for _, kinds := range [][]routeKind{shortAndLong, mediumAndVeryLong} {
				today, got := comparedShares(oneAdmitting(kinds, 1.6), p)
				Expect(got[0]).To(BeNumerically(">=", max(today[0]-0.01, 0.95)))
				Expect(got[1]).To(BeNumerically(">=", today[1]+0.05))
			}
		})

		for _, hosts := range []int{12, 84} {
			It(fmt.Sprintf("lose nothing where many hosts queue requests at the servers, %d hosts, policy %d", hosts, p), func() {
				for _, fraction := range []float64{1, 1.6} {
					cfg := oneAdmitting(shortAndLong, fraction)
					cfg.hosts, cfg.servers = hosts, hosts/3+2
					cfg.duration = 12 * time.Second
					today, got := comparedShares(cfg, p)
					for kind := range got {
						Expect(got[kind]).To(BeNumerically(">=", today[kind]-0.04))
					}
				}
			})
		}
	}
})

var _ = Describe("Routes of one priority", func() {
	cfg := oneAdmitting([]routeKind{shortAndLong[0], shortAndLong[1]}, 1.3)
	cfg.kinds[1].priority = 0

	It("are decided on as by the mean of the service, to the same numbers", func() {
		Expect(newRouteFleet(cfg, byRoute).run().decisions).To(Equal(newRouteFleet(cfg, byService).run().decisions))
	})

	It("are decided on as before there were estimates by route", func() {
		// The digest is that of the same load played to 7bf67f0 on amd64. A change of the
		// decisions without estimates by route has to replace it.
		Expect(digestOf(newRouteFleet(cfg, byService).run())).To(Equal(uint64(18014630595842785290)))
	})
})

var _ = Describe("The estimate of a route", func() {
	It("is that of the service at first, and then that of its own responses", func() {
		e := sluice.NewRouteEstimates()
		_, known := e.Get("short")
		Expect(known).To(BeFalse())
		for range 200 {
			e.Record("short", 500*time.Millisecond, 96*time.Millisecond, 96*time.Millisecond)
		}
		got, _ := e.Get("short")
		Expect(got.Response).To(BeNumerically("~", 96*time.Millisecond, time.Millisecond))
		Expect(got.P90).To(BeNumerically("~", 96*time.Millisecond, 10*time.Millisecond))
	})

	It("has the 90th percentile of skewed responses", func() {
		e := sluice.NewRouteEstimates()
		cfg := oneAdmitting(shortAndLong, 1)
		below, n := 0, 0
		for _, d := range cfg.draw() {
			took := time.Duration(float64(100*time.Millisecond) * d.factor)
			if got, ok := e.Get("r"); ok && got.Responses > 100 {
				n++
				if took <= got.P90 {
					below++
				}
			}
			e.Record("r", took, took, took)
		}
		Expect(float64(below) / float64(n)).To(BeNumerically("~", 0.9, 0.04))
	})

	It("is forgotten with the route", func() {
		c := newController(endpoint("s1", "a"))
		for _, route := range []fairway.RouteName{"old", "kept"} {
			c.FinishRoute(start, firstInstance("s1"), route, sluice.OutcomeAnswered, time.Second, objective)
		}
		c.SetRoutes(map[fairway.RouteName]bool{"kept": true}, true)
		_, old := c.Estimate("old")
		_, kept := c.Estimate("kept")
		Expect(old).To(BeFalse())
		Expect(kept).To(BeTrue())
	})
})
