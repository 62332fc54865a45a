package sluice_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

const (
	fleetTick = 5 * time.Millisecond
	// exchangeTime is the time between two exchanges of a host with the placer.
	exchangeTime = 100 * time.Millisecond
	// runTime is how long an innocent request runs, and crashTime how long one that
	// crashes servers does.
	runTime   = 60 * time.Millisecond
	crashTime = 20 * time.Millisecond
	downTime  = 3 * time.Second
	fleetPlay = 40 * time.Second
	// contactTime and furtherRuns are those of the users' rule, knownCrashes the crashes
	// from which it counts.
	contactTime  = 3 * time.Second
	knownCrashes = 3
	furtherRuns  = 3
	maxSends     = 3
)

// crashFleet is a service whose servers end under some requests and for other reasons, and
// the hosts that send to it.
type crashFleet struct {
	rng     *rand.Rand
	now     mooring.Instant
	hosts   []*sluice.CrashTable
	cursors []uint64
	placer  *sluice.CrashTable
	pool    *sluice.TrialPool
	servers []fleetServer
	running []fleetRequest
	// crashes and runs have those of each request that crashes servers.
	crashes map[byte][]mooring.Instant
	runs    map[byte][]mooring.Instant
	// rejected counts innocent requests that were taken to crash servers, and unserved and
	// innocent the ones that ended without a response and all of them, while servers were up.
	rejected, unserved, innocent int
}

type fleetServer struct {
	instance fairway.Incarnation
	upAt     mooring.Instant
}

// fleetRequest is a request, at a server if server is not negative.
type fleetRequest struct {
	digest  sluice.RequestDigest
	crasher byte
	host    int
	server  int
	sends   int
	trial   bool
	endsAt  mooring.Instant
	// deadline is that of the request.
	deadline mooring.Instant
}

func newCrashFleet(seed uint64, hosts, servers int) *crashFleet {
	f := &crashFleet{
		rng: rand.New(rand.NewPCG(seed, 31)), placer: sluice.NewCrashTable(), pool: sluice.NewTrialPool(0),
		servers: make([]fleetServer, servers), cursors: make([]uint64, hosts),
		crashes: make(map[byte][]mooring.Instant), runs: make(map[byte][]mooring.Instant),
	}
	for range hosts {
		f.hosts = append(f.hosts, sluice.NewCrashTable())
	}
	return f
}

func (f *crashFleet) up(server int) bool { return f.now >= f.servers[server].upAt }

// upServers returns the servers that run.
func (f *crashFleet) upServers() []int {
	var up []int
	for i := range f.servers {
		if f.up(i) {
			up = append(up, i)
		}
	}
	return up
}

func (f *crashFleet) id(server int) fairway.ServerID {
	return fairway.ServerID(fmt.Sprint(server))
}

// send decides on a request and sends it.
func (f *crashFleet) send(r fleetRequest) {
	table, up := f.hosts[r.host], f.upServers()
	suspicion := table.Suspicion(f.now, r.digest, "v1")
	switch {
	case suspicion == sluice.SuspicionCertain:
		if r.crasher == 0 {
			f.rejected++
		}
		return
	case len(up) == 0 || r.sends == maxSends || f.now >= r.deadline:
		f.lose(r, len(up) > 0)
		return
	}
	r.server, r.trial = up[f.rng.IntN(len(up))], false
	if suspicion == sluice.SuspicionPossible {
		if table.Crashes(r.digest) > 1 && len(up) == 1 {
			f.lose(r, true)
			return
		}
		switch f.pool.Begin(f.now, f.trial(r), r.deadline.Sub(f.now)).(type) {
		case sluice.TrialGranted:
			r.trial = true
		case sluice.TrialServerBusy:
			r.server, r.endsAt = -1, f.now.Add(sluice.TrialPoll)
			f.running = append(f.running, r)
			return
		default:
			f.lose(r, true)
			return
		}
	}
	r.sends++
	r.endsAt = f.now.Add(runTime)
	if r.crasher > 0 {
		r.endsAt = f.now.Add(crashTime)
		f.runs[r.crasher] = append(f.runs[r.crasher], f.now)
	}
	f.running = append(f.running, r)
}

func (f *crashFleet) trial(r fleetRequest) sluice.Trial {
	return sluice.Trial{Content: r.digest.Content, Server: f.id(r.server)}
}

func (f *crashFleet) lose(r fleetRequest, servable bool) {
	if r.crasher == 0 && servable {
		f.unserved++
	}
}

// end ends a server, and all requests there, which may be sent again.
func (f *crashFleet) end(server int) {
	crash := sluice.Crash{
		Instance: sluice.ServerInstance{Server: f.id(server), Incarnation: f.servers[server].instance}, Version: "v1",
	}
	f.servers[server] = fleetServer{instance: f.servers[server].instance + 1, upAt: f.now.Add(downTime)}
	at := func(r fleetRequest) bool { return r.server == server }
	var lost []fleetRequest
	for _, r := range f.running {
		if at(r) {
			lost = append(lost, r)
		}
	}
	f.running = slices.DeleteFunc(f.running, at)
	for _, r := range lost {
		crash.Alone = r.trial
		f.hosts[r.host].Add(f.now, r.digest, "readings", crash)
		if r.trial {
			f.pool.End(f.now, f.trial(r), true)
		}
	}
	for _, r := range lost {
		f.send(r)
	}
}

// step ends what is due and moves the time on.
func (f *crashFleet) step() {
	due := func(r fleetRequest) bool { return f.now >= r.endsAt }
	var ended []fleetRequest
	for _, r := range f.running {
		if due(r) {
			ended = append(ended, r)
		}
	}
	for _, r := range ended {
		i := slices.IndexFunc(f.running, func(other fleetRequest) bool { return other == r })
		switch {
		case i < 0:
			// Its server has ended meanwhile.
		case r.server < 0:
			f.running = slices.Delete(f.running, i, i+1)
			f.send(r)
		case r.crasher > 0:
			f.crashes[r.crasher] = append(f.crashes[r.crasher], f.now)
			f.end(r.server)
		default:
			f.running = slices.Delete(f.running, i, i+1)
			f.hosts[r.host].Clear(f.now, r.digest)
			if r.trial {
				f.pool.End(f.now, f.trial(r), false)
			}
		}
	}
	if f.now%mooring.Instant(exchangeTime) == 0 {
		f.exchange()
	}
	f.now = f.now.Add(fleetTick)
}

// exchange has each host tell the placer what it knows, and the other way round.
func (f *crashFleet) exchange() {
	for _, host := range f.hosts {
		records, _ := host.ChangedSince(0, 10_000)
		f.placer.Merge(f.now, records)
	}
	for i, host := range f.hosts {
		records, cursor := f.placer.ChangedSince(f.cursors[i], 10_000)
		host.Merge(f.now, records)
		f.cursors[i] = cursor
	}
}

// play sends innocent requests and some that crash servers, and ends servers for other
// reasons: one after the other, and twice a third of them at a time.
func (f *crashFleet) play(crashers int) {
	var n uint64
	nextKill := f.now.Add(4 * time.Second)
	for f.now < mooring.Instant(fleetPlay) {
		innocents := len(f.servers)
		for range f.rng.IntN(innocents/3 + 2) {
			n++
			d := sluice.RequestDigest{Target: n}
			for i := range 8 {
				d.Content[i+1], d.ByCaller[i+1] = byte(n>>(8*i)), byte(n>>(8*i))
			}
			d.ByCaller[0] = 255
			f.innocent++
			f.send(fleetRequest{digest: d, host: f.rng.IntN(len(f.hosts)), deadline: f.now.Add(500 * time.Millisecond)})
		}
		for c := range crashers {
			if f.rng.IntN(6) == 0 {
				crasher := byte(c + 1)
				f.send(fleetRequest{
					digest: digest(crasher, 200), crasher: crasher, host: f.rng.IntN(len(f.hosts)), deadline: f.now.Add(500 * time.Millisecond),
				})
			}
		}
		if f.now >= nextKill {
			nextKill = f.now.Add(time.Duration(500+f.rng.IntN(3000)) * time.Millisecond)
			killed := 1
			if f.rng.IntN(8) == 0 {
				killed = 1 + len(f.servers)/3
			}
			for range killed {
				if up := f.upServers(); len(up) > 1 {
					f.end(up[f.rng.IntN(len(up))])
				}
			}
		}
		f.step()
	}
}

var _ = Describe("A fleet whose servers end under requests and for other reasons", func() {
	DescribeTable("bounds what crashes servers, and rejects no other request", func(servers, crashers int) {
		const draws = 20
		ended, late, innocent, unserved := 0, 0, 0, 0
		for seed := range uint64(draws) {
			f := newCrashFleet(seed, 12, servers)
			f.play(crashers)
			Expect(f.rejected).To(BeZero(), "innocent requests taken to crash servers, seed %d", seed)
			for c := range crashers {
				crashes, runs := f.crashes[byte(c+1)], f.runs[byte(c+1)]
				ended += len(crashes)
				if len(crashes) < knownCrashes {
					continue
				}
				known := crashes[knownCrashes-1].Add(contactTime)
				further := len(slices.DeleteFunc(slices.Clone(runs), func(at mooring.Instant) bool { return at < known }))
				late = max(late, further)
				Expect(further).To(BeNumerically("<=", furtherRuns), "runs after contact_s of request %d, seed %d", c+1, seed)
			}
			innocent, unserved = innocent+f.innocent, unserved+f.unserved
		}
		AddReportEntry("rates", fmt.Sprintf("%d servers, %d requests: %.1f servers ended for each, at most %d runs after contact_s; %d of %d innocent ones unserved while a server was up",
			servers, crashers, float64(ended)/float64(draws*max(crashers, 1)), late, unserved, innocent))
	},
		Entry("2 servers, none", 2, 0),
		Entry("2 servers, one", 2, 1),
		Entry("6 servers, none", 6, 0),
		Entry("6 servers, one", 6, 1),
		Entry("6 servers, three", 6, 3),
		Entry("40 servers, none", 40, 0),
		Entry("40 servers, one", 40, 1),
		Entry("40 servers, three", 40, 3),
	)
})
