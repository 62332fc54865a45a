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

// evacuationBound is the time after the store's acknowledgment within which a server gets
// its last request.
const evacuationBound = 5 * time.Second

// evacuationHost is a host that has read the store at contact, and reads the key of an
// evacuation at learns.
type evacuationHost struct {
	*sluice.Controller
	contact mooring.Instant
	learns  mooring.Instant
	// hosts is the number of hosts.
	hosts int
}

func (h *evacuationHost) evacuate(now mooring.Instant, servers []fairway.Endpoint, domains ...fairway.Domain) {
	evacuations := make(sluice.Evacuations)
	for _, domain := range domains {
		evacuations[domain] = h.contact.Add(evacuationBound - time.Second)
	}
	listed := make([]fairway.Endpoint, len(servers))
	for i, s := range servers {
		_, s.Evacuated = evacuations[s.Domain]
		listed[i] = s
	}
	h.SetEvacuations(evacuations)
	h.SetServers(now, listed, h.hosts)
}

// playEvacuation has hosts evacuate domain d0 of three, with a key whose owner stays there, or
// with requests that any server can answer. A request is sent up to 0.9 s after it was
// admitted. It returns what was against the rules.
func playEvacuation(seed uint64, hosts int, keyed bool) (violations []string) {
	rng := rand.New(rand.NewPCG(seed, 56))
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	var servers []fairway.Endpoint
	for i := range 6 {
		servers = append(servers, fairway.Endpoint{ID: fairway.ServerID(fmt.Sprint("s", i)), Domain: fairway.Domain(fmt.Sprint("d", i%3)), Incarnation: 1, Slots: 6 * hosts})
	}
	key := mooring.Key(7)
	acknowledged := start.Add(time.Second)
	var fleet []*evacuationHost
	for i := range hosts {
		cfg := sluice.ControllerConfig{Host: fmt.Sprint(i), Domain: servers[i%3].Domain}
		if keyed {
			cfg.Owners = owners{key: {Server: "s0", Incarnation: 1}}
		}
		h := &evacuationHost{Controller: sluice.NewController(cfg), hosts: hosts, contact: acknowledged.Add(-upTo(800 * time.Millisecond))}
		h.learns = acknowledged.Add(upTo(1200 * time.Millisecond))
		h.SetServers(start, servers, hosts)
		fleet = append(fleet, h)
	}
	for now := start; now < acknowledged.Add(evacuationBound+2*time.Second); now = now.Add(10 * time.Millisecond) {
		for _, h := range fleet {
			knows := now >= h.learns
			if knows && now.Sub(h.learns) < 10*time.Millisecond {
				h.evacuate(now, servers, "d0")
			}
			r := newRequest(1, now)
			if keyed {
				r.Key = &key
			}
			switch d := h.Admit(now, r).(type) {
			case sluice.Dispatch:
				sentAt := now.Add(upTo(900 * time.Millisecond))
				known := make(sluice.Evacuations)
				if sentAt >= h.learns {
					known["d0"] = h.contact.Add(evacuationBound - time.Second)
				}
				arrives := sentAt.Add(upTo(300 * time.Millisecond)).Sub(acknowledged)
				if d.Server.Domain == "d0" && arrives > evacuationBound && !known.Excludes(sentAt, "d0", keyed) {
					violations = append(violations, fmt.Sprintf("arrived after %v", arrives))
				}
				if knows && d.Server.Domain == "d0" && (!keyed || now.Sub(h.contact) >= evacuationBound-time.Second) {
					violations = append(violations, fmt.Sprintf("admitted after %v", now.Sub(acknowledged)))
				}
				h.Finish(now, sluice.ServerInstanceOf(d.Server), sluice.OutcomeAnswered, 10*time.Millisecond, r.Objective)
			case sluice.Wait:
				h.Cancel(r.ID)
			case sluice.Refuse:
				if !keyed || now.Sub(h.learns) < 2*time.Second {
					violations = append(violations, fmt.Sprintf("refused after %v", now.Sub(acknowledged)))
				}
			}
		}
	}
	return violations
}

// The failures guarded against: requests that reach an evacuated server after the bound, since
// the time of owners counts from a host's own reading or a connection took long to open, and
// requests that are refused although another server, or still the owner, can take them.
var _ = Describe("Hosts that learn of an evacuation", func() {
	for _, hosts := range []int{3, 12, 84, 195} {
		for _, keyed := range []bool{false, true} {
			It(fmt.Sprintf("send nothing after the bound and refuse nothing that others can take: %d hosts, a key: %t", hosts, keyed), func() {
				for seed := range uint64(3) {
					Expect(playEvacuation(seed, hosts, keyed)).To(BeEmpty(), "seed %d", seed)
				}
			})
		}
	}
})

var _ = Describe("A controller whose servers are all evacuated", func() {
	servers := []fairway.Endpoint{endpoint("s1", "a"), endpoint("s2", "b")}
	for _, keyed := range []bool{false, true} {
		// Such requests waited until most of their time was over.
		It(fmt.Sprintf("refuses requests at once, also those that wait, and uses the servers again afterwards, a key: %t", keyed), func() {
			key := mooring.Key(7)
			cfg := sluice.ControllerConfig{Domain: "a"}
			if keyed {
				cfg.Owners = owners{key: {Server: "s1", Incarnation: 1}}
			}
			h := &evacuationHost{Controller: sluice.NewController(cfg), contact: start, hosts: 1}
			h.SetServers(start, servers, 1)
			request := func(id sluice.RequestID) *sluice.Request {
				r := newRequest(id, start)
				r.SoftDeadline, r.Deadline = start.Add(3*time.Second), start.Add(12*time.Second)
				if keyed {
					r.Key = &key
				}
				return r
			}
			waiting := sluice.RequestID(1)
			for ; h.Waiting() == 0; waiting++ {
				h.Admit(start, request(waiting))
			}
			h.evacuate(start, servers, "a", "b")
			resolved := h.Reevaluate(start)
			Expect(resolved).To(HaveLen(1))
			expectRefusal(resolved[0].Decision, sluice.ReasonEvacuated)
			expectRefusal(h.Admit(start, request(waiting)), sluice.ReasonEvacuated)
			h.evacuate(start, servers)
			h.Finish(start, firstInstance("s1"), sluice.OutcomeAnswered, time.Millisecond, objective)
			expectDispatch(h.Admit(start, request(waiting)))
		})
	}
})
