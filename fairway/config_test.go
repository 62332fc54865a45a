package fairway_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

func newConfig(version fairway.Version, routes ...*fairway.Route) *fairway.Config {
	GinkgoHelper()
	services := []*fairway.Service{{Name: "readings", Divided: true}, {Name: "invoices"}, {Name: "ledgers"}}
	c, err := fairway.NewConfig(version, fairway.Limits{}, routes, services)
	Expect(err).NotTo(HaveOccurred())
	return c
}

func route(name fairway.RouteName, host, prefix string) *fairway.Route {
	return &fairway.Route{Name: name, Host: host, Prefix: prefix, Destinations: []fairway.Destination{{Service: "readings", Weight: 1}}}
}

func expectRoute(c *fairway.Config, host, path string, name fairway.RouteName) {
	GinkgoHelper()
	r, err := c.Match(host, path)
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Name).To(Equal(name))
}

func expectNoRoute(c *fairway.Config, host, path string) {
	GinkgoHelper()
	_, err := c.Match(host, path)
	var e *fairway.Error
	Expect(err).To(BeAssignableToTypeOf(e))
}

var _ = Describe("Config", func() {
	c := newConfig(1,
		route("short", "a.example", "/x/"),
		route("long", "a.example", "/x/y/"),
		route("other", "b.example", "/x/"),
	)

	It("matches the longest prefix of the host", func() {
		expectRoute(c, "a.example", "/x/y/z", "long")
		expectRoute(c, "a.example", "/x/yz", "short")
		expectRoute(c, "b.example", "/x/y/z", "other")
	})

	It("matches hosts without regard to case and port", func() {
		expectRoute(c, "A.Example:8641", "/x/1", "short")
	})

	It("matches nothing else", func() {
		expectNoRoute(c, "a.example", "/x")
		expectNoRoute(c, "a.example", "/")
		expectNoRoute(c, "c.example", "/x/1")
	})

	It("refuses a route to a service that is not defined", func() {
		r := route("stray", "a.example", "/q/")
		r.Destinations = []fairway.Destination{{Service: "nowhere", Weight: 1}}
		_, err := fairway.NewConfig(1, fairway.Limits{}, []*fairway.Route{r}, nil)
		Expect(err).To(MatchError(ContainSubstring("nowhere")))
	})

	It("splits by weight", func() {
		r := &fairway.Route{Destinations: []fairway.Destination{
			{Service: "readings", Weight: 70}, {Service: "invoices", Weight: 0}, {Service: "ledgers", Weight: 30},
		}}
		counts := map[fairway.ServiceName]int{}
		const n = 1000
		for i := range n {
			counts[r.Pick(float64(i)/n)]++
		}
		Expect(counts).To(Equal(map[fairway.ServiceName]int{"readings": 700, "ledgers": 300}))
		Expect(r.Pick(math.Nextafter(1, 0))).To(Equal(fairway.ServiceName("ledgers")))
	})
})

var _ = Describe("ActiveConfig", func() {
	It("never goes back to an older version", func() {
		active := fairway.NewActiveConfig()
		Expect(active.Current()).To(BeNil())
		Expect(active.SetIfNewer(newConfig(7))).To(BeTrue())
		Expect(active.SetIfNewer(newConfig(5))).To(BeFalse())
		Expect(active.SetIfNewer(newConfig(7))).To(BeFalse())
		Expect(active.Current().Version).To(Equal(fairway.Version(7)))
		Expect(active.SetIfNewer(newConfig(12))).To(BeTrue())
	})
})

var _ = Describe("Catalog", func() {
	It("leaves out servers of services that are not defined", func() {
		c := fairway.NewCatalog([]fairway.Endpoint{{ID: "a", Service: "readings"}, {ID: "b", Service: "forged"}})
		Expect(c.DefinedIn(newConfig(1)).All()).To(HaveLen(1))
		Expect(c.Len()).To(Equal(2))
	})

	It("returns changed copies", func() {
		before := fairway.NewCatalog([]fairway.Endpoint{{ID: "a", Service: "readings"}, {ID: "b", Service: "readings"}})
		after := before.Apply([]fairway.Endpoint{{ID: "c", Service: "invoices"}}, []fairway.ServerID{"a"})
		Expect(before.ByService("readings")).To(HaveLen(2))
		Expect(after.ByService("readings")).To(HaveLen(1))
		Expect(after.ByService("invoices")).To(HaveLen(1))
		Expect(after.Len()).To(Equal(2))
	})
})
