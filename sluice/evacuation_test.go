package sluice_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// evacuate has a controller learn that domains are evacuated, whose owners get requests until
// an instant.
func evacuate(c *sluice.Controller, now, until mooring.Instant, servers []fairway.Endpoint, domains ...fairway.Domain) {
	evacuations, listed := make(sluice.Evacuations), append([]fairway.Endpoint(nil), servers...)
	for _, domain := range domains {
		evacuations[domain] = until
	}
	for i := range listed {
		_, listed[i].Evacuated = evacuations[listed[i].Domain]
	}
	c.SetEvacuations(evacuations)
	c.SetServers(now, listed, 1)
}

// playEvacuation has a host evacuate domain d0 of three, with a key whose owner stays there, or
// with requests that any server can answer. The host has read the store up to 0.8 s before
// the key was acknowledged, and reads the key up to 1.2 s after. It sends a request up to
// 0.9 s after it was admitted, which arrives up to 0.3 s later. It returns what was against the rules.
func playEvacuation(seed uint64, keyed bool) (violations []string) {
	const bound = 5 * time.Second
	rng := rand.New(rand.NewPCG(seed, 56))
	after := func(at mooring.Instant, d time.Duration) mooring.Instant {
		return at.Add(time.Duration(rng.Int64N(int64(d))))
	}
	var servers []fairway.Endpoint
	for i := range 6 {
		servers = append(servers, fairway.Endpoint{ID: fairway.ServerID(fmt.Sprint("s", i)), Domain: fairway.Domain(fmt.Sprint("d", i%3)), Incarnation: 1, Slots: 6})
	}
	key, acknowledged := mooring.Key(7), start.Add(time.Second)
	until := after(start.Add(200*time.Millisecond), 800*time.Millisecond).Add(bound - time.Second)
	learns := after(acknowledged, 1200*time.Millisecond)
	cfg := sluice.ControllerConfig{Host: fmt.Sprint(seed), Domain: servers[seed%3].Domain}
	if keyed {
		cfg.Owners = owners{key: {Server: "s0", Incarnation: 1}}
	}
	c := sluice.NewController(cfg)
	c.SetServers(start, servers, 1)
	for now, knows := start, false; now < acknowledged.Add(bound+2*time.Second); now = now.Add(10 * time.Millisecond) {
		if now >= learns && !knows {
			knows = true
			evacuate(c, now, until, servers, "d0")
		}
		r := newRequest(1, now)
		if keyed {
			r.Key = &key
		}
		d, admitted := c.Admit(now, r).(sluice.Dispatch)
		if !admitted && now < until {
			violations = append(violations, fmt.Sprintf("not admitted at %v", now.Sub(acknowledged)))
		}
		c.Cancel(r.ID)
		c.Finish(now, sluice.ServerInstanceOf(d.Server), sluice.OutcomeAnswered, 10*time.Millisecond, r.Objective)
		if !admitted || d.Server.Domain != "d0" {
			continue
		}
		sentAt := after(now, 900*time.Millisecond)
		known := sentAt >= learns && (sluice.Evacuations{"d0": until}).Excludes(sentAt, "d0", keyed)
		if arrives := after(sentAt, 300*time.Millisecond).Sub(acknowledged); !known && arrives > bound || knows && (!keyed || now >= until) {
			violations = append(violations, fmt.Sprintf("admitted at %v, arrived at %v", now.Sub(acknowledged), arrives))
		}
	}
	return violations
}

// The failures guarded against: requests that reach an evacuated server after the bound, and
// requests that are refused although another server, or still the owner, can take them.
var _ = Describe("Hosts that learn of an evacuation", func() {
	for _, hosts := range []uint64{3, 12, 84, 195} {
		It(fmt.Sprintf("send nothing after the bound and refuse nothing that others can take: %d hosts", hosts), func() {
			for seed := range hosts {
				Expect(playEvacuation(hosts*1000+seed, false)).To(BeEmpty(), "host %d", seed)
				Expect(playEvacuation(hosts*1000+seed, true)).To(BeEmpty(), "host %d with a key", seed)
			}
		})
	}
})

var _ = Describe("A controller whose servers are all evacuated", func() {
	for _, keyed := range []bool{false, true} {
		// Such requests waited until most of their time was over.
		It(fmt.Sprintf("refuses requests at once, also those that wait, a key: %t", keyed), func() {
			servers := []fairway.Endpoint{endpoint("s1", "a"), endpoint("s2", "b")}
			key, cfg := mooring.Key(7), sluice.ControllerConfig{Domain: "a"}
			if keyed {
				cfg.Owners = owners{key: {Server: "s1", Incarnation: 1}}
			}
			c := sluice.NewController(cfg)
			c.SetServers(start, servers, 1)
			for id := sluice.RequestID(1); c.Waiting() == 0; id++ {
				r := newRequest(id, start)
				r.SoftDeadline, r.Deadline = start.Add(3*time.Second), start.Add(12*time.Second)
				if keyed {
					r.Key = &key
				}
				c.Admit(start, r)
			}
			evacuate(c, start, start.Add(4*time.Second), servers, "a", "b")
			resolved := c.Reevaluate(start)
			Expect(resolved).To(HaveLen(1))
			expectRefusal(resolved[0].Decision, sluice.ReasonEvacuated)
			evacuate(c, start, 0, servers)
			c.Finish(start, firstInstance("s1"), sluice.OutcomeAnswered, time.Millisecond, objective)
			expectDispatch(c.Admit(start, newRequest(99, start)))
		})
	}
})
