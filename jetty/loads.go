package jetty

import (
	"context"
	"math"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// reportEvery is the time between two reports of a host.
	reportEvery = 500 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 300 * time.Millisecond
	// hostTimeout is how long a host counts after its last report.
	hostTimeout = 3 * time.Second
	// feederTimeout is how long a host may feed others after its last report, of
	// which one may be lost.
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
	pressure *sluice.Pressure
	seen     map[HostID]reportingHost
	// feeders has the host of each failure domain that feeds the others.
	feeders map[fairway.Domain]HostID
}

// reportingHost is an entry host that reports to the placer.
type reportingHost struct {
	domain  fairway.Domain
	address string
	first   time.Time
	last    time.Time
	// linkMbps is the bandwidth of the host's link.
	linkMbps uint32
	// answeredAt is when the store last answered the host itself, or zero if it
	// is fed by another.
	answeredAt time.Time
}

// reporting reports whether the host is there.
func (h reportingHost) reporting(now time.Time) bool {
	return now.Sub(h.last) <= feederTimeout
}

// reaches reports whether the store answers the host.
func (h reportingHost) reaches(now time.Time) bool {
	return h.reporting(now) && now.Sub(h.answeredAt) <= feedMaxAge
}

func newLoads() *loads {
	l := &loads{
		pressure: sluice.NewPressure(),
		seen:     make(map[HostID]reportingHost),
		feeders:  make(map[fairway.Domain]HostID),
	}
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
	told := l.add(r, time.Now())
	reply := &signal.LoadReply{Hosts: uint32(told.hosts), Placer: l.isPlacer(), Feeder: told.feeder}
	for _, id := range told.crowded {
		reply.Crowded = append(reply.Crowded, string(id))
	}
	return reply, nil
}

// fleetNews is what a host is told in return for its report.
type fleetNews struct {
	// hosts is the number of hosts that report.
	hosts int
	// feeder is the address of the host that feeds the reporter.
	feeder string
	// crowded are the servers that have too much to do.
	crowded []fairway.ServerID
}

// add takes a report and returns what all reports tell together.
func (l *loads) add(r *signal.LoadReport, now time.Time) fleetNews {
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
		l.pressure.Add(instantOf(now), fairway.ServerID(s.Server), int(s.Requests), int(s.Pressed))
	}
	id := HostID(r.Host)
	if r.Leaving {
		delete(l.seen, id)
	} else {
		h, known := l.seen[id]
		if !known || h.address != r.Address || !h.reporting(now) {
			h = reportingHost{domain: fairway.Domain(r.Domain), address: r.Address, first: now}
		}
		h.last, h.linkMbps, h.answeredAt = now, r.LinkMbps, time.Time{}
		if r.Direct {
			h.answeredAt = now.Add(-time.Duration(r.StoreAgeMillis) * time.Millisecond)
		}
		l.seen[id] = h
	}
	for id, h := range l.seen {
		if now.Sub(h.last) > hostTimeout {
			delete(l.seen, id)
		}
	}
	return fleetNews{
		hosts:   max(len(l.seen), 1),
		feeder:  l.feeder(fairway.Domain(r.Domain), now),
		crowded: l.pressure.Crowded(instantOf(now)),
	}
}

// feeder returns the address of the host of a failure domain that follows the
// store for the others: one that the store answers, the one with the fastest
// link and among these the one that has reported for the longest time. It stays
// the same as long as the store answers it. If the store answers none, every
// host has to try for itself.
func (l *loads) feeder(domain fairway.Domain, now time.Time) string {
	if h, ok := l.seen[l.feeders[domain]]; ok && h.domain == domain && h.reaches(now) {
		return h.address
	}
	var best reportingHost
	var bestID HostID
	for id, h := range l.seen {
		if h.domain == domain && h.reaches(now) && (bestID == "" || h.before(best) || !best.before(h) && id < bestID) {
			best, bestID = h, id
		}
	}
	l.feeders[domain] = bestID
	return best.address
}

// before reports whether h is a better feeder than other.
func (h reportingHost) before(other reportingHost) bool {
	if h.linkMbps != other.linkMbps {
		return h.linkMbps > other.linkMbps
	}
	return h.first.Before(other.first)
}

// reporter tells the placer what this host has measured.
type reporter struct {
	host     HostID
	domain   fairway.Domain
	address  string
	linkMbps int
	views    *views
	desks    *deskSet
	loads    *loads
	mirror   *mirror
	logs     *logs
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
	var news fleetNews
	if placer == r.address {
		news = r.loads.add(report, time.Now())
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
		news = fleetNews{hosts: int(reply.Hosts), feeder: reply.Feeder}
		for _, id := range reply.Crowded {
			news.crowded = append(news.crowded, fairway.ServerID(id))
		}
	}
	r.take(news)
}

// take acts on what the placer told.
func (r *reporter) take(news fleetNews) {
	r.views.setFeeder(news.feeder)
	crowded := make(map[fairway.ServerID]bool, len(news.crowded))
	for _, id := range news.crowded {
		crowded[id] = true
	}
	for _, d := range r.desks.all() {
		d.setCrowded(crowded)
	}
	if int64(news.hosts) != r.views.hosts.Swap(int64(news.hosts)) {
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
		LinkMbps:       uint32(r.linkMbps),
	}
	direct, answeredAt := r.mirror.contact()
	report.Direct = direct
	report.StoreAgeMillis = uint32(min(now.Sub(answeredAt).Milliseconds(), math.MaxUint32))
	r.sentAt = now
	for name, d := range r.desks.all() {
		requests, paces := d.drainLoad()
		if d.owners != nil {
			counts := &signal.KeyCounts{Service: string(name)}
			for key, n := range requests {
				counts.Keys = append(counts.Keys, uint32(key))
				counts.Counts = append(counts.Counts, uint32(n))
			}
			report.Services = append(report.Services, counts)
		}
		for id, p := range paces {
			report.Servers = append(report.Servers, &signal.ServerPace{
				Server: string(id), Answers: uint32(p.answers), Slowness: p.slowness,
				Requests: uint32(p.requests), Pressed: uint32(p.pressed),
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
