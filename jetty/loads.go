package jetty

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

const (
	// reportEvery is the time between two reports of a host.
	reportEvery = 500 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 300 * time.Millisecond
	// hostTimeout is how long a host counts after its last report.
	hostTimeout = 3 * time.Second
	// feederTimeout is how long a host may feed others after its last report.
	feederTimeout = 1200 * time.Millisecond
	// peerKeepAlive finds connections between hosts that went silent.
	peerKeepAlive = 2 * time.Second
)

// loads gathers the reports of all hosts on the placer. It implements
// signal.LoadsServer.
type loads struct {
	signal.UnimplementedLoadsServer

	isPlacer func() bool

	mu       sync.Mutex
	requests map[fairway.ServiceName]map[mooring.Key]int
	paces    map[fairway.ServerID]pace
	seen     map[HostID]reportingHost
}

// reportingHost is an entry host that reports to the placer.
type reportingHost struct {
	domain  fairway.Domain
	address string
	first   time.Time
	last    time.Time
}

func newLoads() *loads {
	l := &loads{seen: make(map[HostID]reportingHost)}
	l.drain()
	return l
}

// drain returns what was reported since the last call.
func (l *loads) drain() (map[fairway.ServiceName]map[mooring.Key]int, map[fairway.ServerID]pace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests, paces := l.requests, l.paces
	l.requests = make(map[fairway.ServiceName]map[mooring.Key]int)
	l.paces = make(map[fairway.ServerID]pace)
	return requests, paces
}

// Report implements signal.LoadsServer.
func (l *loads) Report(_ context.Context, r *signal.LoadReport) (*signal.LoadReply, error) {
	hosts, feeder := l.add(r, time.Now())
	return &signal.LoadReply{Hosts: uint32(hosts), Placer: l.isPlacer(), Feeder: feeder}, nil
}

// add takes a report and returns the number of hosts that report, and the
// address of the one that feeds the reporter.
func (l *loads) add(r *signal.LoadReport, now time.Time) (hosts int, feeder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range r.Services {
		counts := l.requests[fairway.ServiceName(s.Service)]
		if counts == nil {
			counts = make(map[mooring.Key]int)
			l.requests[fairway.ServiceName(s.Service)] = counts
		}
		for i, key := range s.Keys {
			if i < len(s.Counts) && key <= uint32(mooring.MaxKey) {
				counts[mooring.Key(key)] += int(s.Counts[i])
			}
		}
	}
	for _, s := range r.Servers {
		p := l.paces[fairway.ServerID(s.Server)]
		p.answers += int(s.Answers)
		p.slowness += s.Slowness
		l.paces[fairway.ServerID(s.Server)] = p
	}
	id := HostID(r.Host)
	if r.Leaving {
		delete(l.seen, id)
	} else {
		h, known := l.seen[id]
		if !known || h.address != r.Address || now.Sub(h.last) > feederTimeout {
			h = reportingHost{domain: fairway.Domain(r.Domain), address: r.Address, first: now}
		}
		h.last = now
		l.seen[id] = h
	}
	for id, h := range l.seen {
		if now.Sub(h.last) > hostTimeout {
			delete(l.seen, id)
		}
	}
	return max(len(l.seen), 1), l.feeder(fairway.Domain(r.Domain), now)
}

// feeder returns the address of the host of a failure domain that has reported
// for the longest time without a gap.
func (l *loads) feeder(domain fairway.Domain, now time.Time) string {
	var best reportingHost
	var bestID HostID
	for id, h := range l.seen {
		if h.domain != domain || now.Sub(h.last) > feederTimeout {
			continue
		}
		if bestID == "" || h.first.Before(best.first) || h.first.Equal(best.first) && id < bestID {
			best, bestID = h, id
		}
	}
	return best.address
}

// reporter tells the placer what this host has measured.
type reporter struct {
	host    HostID
	domain  fairway.Domain
	address string
	views   *views
	desks   *deskSet
	loads   *loads
	logs    *logs
	// hostsChanged is called when the number of hosts has changed.
	hostsChanged func()
	leaving      func() bool

	conn   *grpc.ClientConn
	target string
	lost   bool
	sentAt time.Time
}

// run reports until ctx is done.
func (r *reporter) run(ctx context.Context) {
	r.sentAt = time.Now()
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	defer r.hangUp()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.report(ctx)
		}
	}
}

func (r *reporter) report(ctx context.Context) {
	report := r.collect()
	placer := r.views.currentPlacer().address
	if placer == "" {
		return
	}
	var hosts int
	var feeder string
	if placer == r.address {
		hosts, feeder = r.loads.add(report, time.Now())
	} else {
		reply, err := r.call(ctx, placer, report)
		if err != nil {
			r.note(placer, err)
			r.views.setFeeder("")
			return
		}
		r.note(placer, nil)
		if !reply.Placer {
			return
		}
		hosts, feeder = int(reply.Hosts), reply.Feeder
	}
	r.views.setFeeder(feeder)
	if int64(hosts) != r.views.hosts.Swap(int64(hosts)) {
		r.hostsChanged()
	}
}

// collect returns what was measured since the last report.
func (r *reporter) collect() *signal.LoadReport {
	now := time.Now()
	report := &signal.LoadReport{
		Host:           string(r.host),
		IntervalMillis: uint32(now.Sub(r.sentAt).Milliseconds()),
		Leaving:        r.leaving(),
		Domain:         string(r.domain),
		Address:        r.address,
	}
	r.sentAt = now
	for name, d := range r.desks.all() {
		if d.owners == nil {
			continue
		}
		requests, paces := d.drainLoad()
		counts := &signal.KeyCounts{Service: string(name)}
		for key, n := range requests {
			counts.Keys = append(counts.Keys, uint32(key))
			counts.Counts = append(counts.Counts, uint32(n))
		}
		report.Services = append(report.Services, counts)
		for id, p := range paces {
			report.Servers = append(report.Servers, &signal.ServerPace{
				Server: string(id), Answers: uint32(p.answers), Slowness: p.slowness,
			})
		}
	}
	return report
}

func (r *reporter) call(ctx context.Context, placer string, report *signal.LoadReport) (*signal.LoadReply, error) {
	if r.conn == nil || r.target != placer {
		r.hangUp()
		conn, err := dialPeer(placer, grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: peerKeepAlive}))
		if err != nil {
			return nil, err
		}
		r.conn, r.target = conn, placer
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return signal.NewLoadsClient(r.conn).Report(ctx, report)
}

// note logs a change of the connection to the placer. A connection that failed
// is opened anew for the next report.
func (r *reporter) note(placer string, err error) {
	switch {
	case err != nil:
		r.hangUp()
		if !r.lost {
			r.logs.lost("placer "+placer, err)
		}
	case r.lost:
		r.logs.regained("placer "+placer, 0)
	}
	r.lost = err != nil
}

func (r *reporter) hangUp() {
	if r.conn != nil {
		if err := r.conn.Close(); err != nil {
			r.logs.failure("close connection to placer", err)
		}
		r.conn = nil
	}
}
