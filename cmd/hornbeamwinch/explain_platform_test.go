package main

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/jetty"
)

// Failure: a refusal is shown without the figures that a caller gets.
var _ = It("The explanation of a request shows the reason and the Retry-After of a refusal", func() {
	e := jetty.Explanation{ConfigVersion: 7, Route: "list"}
	s := jetty.ServiceExplanation{Service: "readings", Part: 0.25, Decision: jetty.DecisionRefuse, Refusal: &jetty.ExplainedRefusal{Status: 503, Reason: "overload", RetryAfterMS: 61, Ahead: 2}}
	Expect(explainService(&e, &s)).To(ContainElements("configuration\tversion 7", "service\treadings (0.25 of the requests)",
		"decision\trefuse with 503 overload, Retry-After 0.061, 2 ahead"))
})
