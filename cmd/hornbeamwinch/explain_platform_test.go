package main

import (
	"github.com/jessevdk/go-flags"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/jetty"
)

var _ = Describe("The explanation of a request on the platform", func() {
	It("takes the request from its flags and arguments", func() {
		var c explainCommand
		_, err := flags.NewParser(&c, flags.None).ParseArgs([]string{"--platform", "--key", "71", "h", "/x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.platformExplainOptions).To(Equal(platformExplainOptions{Platform: true, Method: "GET", Key: "71"}))
		Expect(c.Args.Key).To(Equal("/x"))
	})

	// Failure: a refusal is shown without the figures that a caller gets.
	It("shows the reason and the Retry-After of a refusal", func() {
		e := jetty.Explanation{ConfigVersion: 7, Route: "list"}
		s := jetty.ServiceExplanation{Service: "readings", Part: 0.25, Decision: jetty.DecisionRefuse, Refusal: &jetty.ExplainedRefusal{Status: 503, Reason: "overload", RetryAfterMS: 61, Ahead: 2}}
		Expect(explainService(&e, &s)).To(ContainElements("configuration\tversion 7", "service\treadings (0.25 of the requests)",
			"decision\trefuse with 503 overload, Retry-After 0.061, 2 ahead"))
	})
})
