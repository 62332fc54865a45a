package jetty

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// A second attempt that follows the mean of the service would come too early on a long route
// and too late on a short one.
var _ = Describe("The mean latency of a route", func() {
	const short, long = 100 * time.Millisecond, 900 * time.Millisecond
	configWith := func(longPriority int) *fairway.Config {
		GinkgoHelper()
		to := []fairway.Destination{{Service: "readings", Weight: 1}}
		c, err := fairway.NewConfig(1, fairway.Limits{}, []*fairway.Route{
			{Name: "short", Prefix: "/short/", Destinations: to},
			{Name: "long", Prefix: "/long/", Destinations: to, Priority: longPriority},
			{Name: "other", Prefix: "/other/", Destinations: []fairway.Destination{{Service: "other", Weight: 1}}, Priority: 9},
		}, []*fairway.Service{{Name: "readings"}, {Name: "other"}})
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	// meansWith returns the means after many responses on both routes.
	meansWith := func(c *fairway.Config) (time.Duration, time.Duration) {
		s := newAdmissionSet(admissionSetConfig{})
		s.retainRoutes(c)
		server := fairway.Endpoint{ID: "s", Service: "readings", Slots: 2, Incarnation: 1}
		a := s.get(c.Services["readings"], fairway.NewCatalog([]fairway.Endpoint{server}))
		for range 200 {
			a.finish(sluice.ServerInstanceOf(server), "short", sluice.OutcomeAnswered, short, time.Second)
			a.finish(sluice.ServerInstanceOf(server), "long", sluice.OutcomeAnswered, long, time.Second)
		}
		return a.meanLatency("short"), a.meanLatency("long")
	}

	It("is its own if the routes of the service have different priorities", func() {
		shortMean, longMean := meansWith(configWith(1))
		Expect(shortMean).To(BeNumerically("<", 2*short))
		Expect(longMean).To(BeNumerically(">", 4*long/5))
	})

	It("is that of the service otherwise", func() {
		shortMean, longMean := meansWith(configWith(0))
		Expect(shortMean).To(Equal(longMean))
	})
})
