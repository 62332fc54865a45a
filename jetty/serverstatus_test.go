package jetty

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// An operator has to see which servers are slow, without a line for each response.
var _ = Describe("The speed of servers", func() {
	const servers = 30
	It("is logged once it has changed by a half, up to a number of servers at a time", func() {
		var out bytes.Buffer
		set := newAdmissionSet(admissionSetConfig{})
		var endpoints []fairway.Endpoint
		for i := range 2 * servers {
			endpoints = append(endpoints, fairway.Endpoint{ID: fairway.ServerID(fmt.Sprintf("s%d", i)), Service: "readings", Slots: 2, Incarnation: 1})
		}
		a := set.get(&fairway.Service{Name: "readings"}, fairway.NewCatalog(endpoints))
		a.controller.SetRoutes(map[fairway.RouteName]bool{"r": true}, true)
		for range 40 {
			for i, e := range endpoints {
				a.finish(sluice.ServerInstanceOf(e), "r", sluice.OutcomeAnswered, time.Duration(1+3*(i%2))*100*time.Millisecond, time.Second)
			}
		}
		l := newLogs(&out, &Settings{Host: "h"})
		speeds := newSpeedLog(l)
		for range 5 {
			speeds.update(set.all())
		}
		l.close()
		text := out.String()
		Expect(strings.Count(text, "server_speed")).To(Equal(2 * servers))
		Expect(set.serverStatuses()["readings"]).To(ContainElement(And(HaveField("Server", fairway.ServerID("s0")), HaveField("Speed", BeNumerically(">", 1.5)))))
	})

	It("is neither logged nor shown if routes are not told apart", func() {
		set := newAdmissionSet(admissionSetConfig{})
		e := fairway.Endpoint{ID: "s", Service: "readings", Slots: 2, Incarnation: 1}
		set.get(&fairway.Service{Name: "readings"}, fairway.NewCatalog([]fairway.Endpoint{e}))
		Expect(set.serverStatuses()["readings"]).To(ConsistOf(HaveField("Speed", BeZero())))
	})
})
