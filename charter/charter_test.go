package charter_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/charter"
)

func TestCharter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Charter Suite")
}

var _ = Describe("Settings", func() {
	for _, name := range []string{charter.ExampleTerminal, charter.ExampleHiloChapin} {
		It("of the example "+name+" are valid", func() {
			s, err := charter.Example(name)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Services).To(HaveLen(4))
		})
	}

	It("report every invalid field", func() {
		s, err := charter.Example(charter.ExampleTerminal)
		Expect(err).NotTo(HaveOccurred())
		s.Host.Domain = "elsewhere"
		s.Host.PeerAddress = "nowhere"
		s.Timing.RouteLeaseMS = 300
		s.Timing.GrantTTLMS = 400
		s.Timing.DrainLimitMS = 100
		s.Services[0].Shards = 0
		s.Services[1].Repeat = "sometimes"
		text, err := json.Marshal(s)
		Expect(err).NotTo(HaveOccurred())
		_, err = charter.Parse("host.json", text)
		Expect(err).To(MatchError(And(
			ContainSubstring(`host.peer_address: is "nowhere", an address of the form host:port is required`),
			ContainSubstring(`host.domain: "elsewhere" is not one of domains`),
			ContainSubstring(`services[0].shards: is 0`),
			ContainSubstring(`services[1].repeat: is "sometimes"`),
			ContainSubstring(`timing.confirm_interval_ms: is 150, at most a third`),
			ContainSubstring(`timing.drain_limit_ms: is 100, at least timing.route_lease_ms (300) is required`),
			ContainSubstring(`timing.grant_ttl_ms: is 400, at most timing.route_lease_ms (300)`),
		)))
	})

	It("reject unknown fields and report the line", func() {
		_, err := charter.Parse("host.json", []byte("{\n  \"hosts\": {}\n}"))
		Expect(err).To(MatchError(ContainSubstring(`line 2: json: unknown field "hosts"`)))
	})
})
