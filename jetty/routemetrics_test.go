package jetty

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
)

// The metrics and means of routes that no longer exist used up a host's memory.
var _ = Describe("What a host keeps of routes", func() {
	// configWith returns a configuration with some routes to a service.
	configWith := func(version fairway.Version, names ...fairway.RouteName) *fairway.Config {
		GinkgoHelper()
		var routes []*fairway.Route
		for _, name := range names {
			routes = append(routes, &fairway.Route{Name: name, Host: "h", Prefix: "/" + string(name) + "/", Destinations: []fairway.Destination{{Service: "readings", Weight: 1}}})
		}
		c, err := fairway.NewConfig(version, fairway.Limits{}, routes, []*fairway.Service{{Name: "readings"}})
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("is their metrics while they are in the configuration", func() {
		m := newMetrics()
		m.retainRoutes(configWith(1, "old", "kept"))
		for _, name := range []fairway.RouteName{"old", "kept"} {
			m.requestAnswered(&request{route: &fairway.Route{Name: name}}, backendResponse{}, time.Millisecond)
		}
		m.requestAnswered(&request{}, clientError{}, time.Millisecond)
		m.retainRoutes(configWith(2, "kept", "new"))
		m.requestAnswered(&request{route: &fairway.Route{Name: "kept"}}, backendResponse{}, time.Millisecond)
		text := metricsText(m)
		Expect(text).NotTo(ContainSubstring(`route="old"`))
		Expect(text).To(ContainSubstring(`hornbeamwinch_requests_total{outcome="whole",reason="",route="kept"} 2`))
		Expect(text).To(ContainSubstring(`hornbeamwinch_request_seconds_bucket{le="0.005",route="kept"} 2`))
		Expect(text).To(ContainSubstring(`route=""`))
	})

	It("is the means of their responses while they are in the configuration", func() {
		s := newAdmissionSet(admissionSetConfig{})
		c := configWith(1, "old", "kept")
		a := s.get(c.Services["readings"], fairway.NewCatalog(nil))
		a.recordResponse("old", "s", 1000, time.Millisecond)
		a.recordResponse("kept", "s", 1000, time.Millisecond)
		s.retainRoutes(configWith(2, "kept"))
		Expect(a.routeMeans).To(HaveLen(1))
		Expect(a.recordArrival("kept", nil)).To(BeEquivalentTo(1000))
	})
})
