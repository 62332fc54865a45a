package jetty

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
)

// reporter reports the load that this host has measured to the placer and applies
// the summary that the placer returns.
type reporter struct {
	host          HostID
	domain        fairway.Domain
	address       string
	linkMbps      int
	clusterState  *clusterState
	admissions    *admissionSet
	loadCollector *loadCollector
	changeLog     *changeLog
	reach         *reach
	carriers      *carriers
	coordinators  *coordinators
	capacity      uint32
	limits        *limits
	crashes       *crashes
	notices       *notices
	logs          *logs
	// onPeers is called with the peers that the placer names.
	onPeers func(ctx context.Context, peers []peerAddress)
	// onHostsChange is called when the number of hosts, or of those that reach the
	// servers, has changed.
	onHostsChange func()
	shuttingDown  func() bool
	// wake receives a signal when a report is due at once.
	wake chan struct{}

	// conn is the connection to the placer at connAddress, or nil.
	conn        *grpc.ClientConn
	connAddress string
	// lost reports whether the last report could not be delivered.
	lost bool
	// sentAt is when the last report was collected.
	sentAt time.Time
}

const (
	// urgentReportInterval is the time between two reports while servers have ended under
	// requests a moment ago, and minReportInterval the shortest one.
	urgentReportInterval = 100 * time.Millisecond
	minReportInterval    = 20 * time.Millisecond
)

// run reports every reportInterval until ctx is done, and more often while hosts have to
// learn which requests crash servers.
func (r *reporter) run(ctx context.Context) {
	r.sentAt = time.Now()
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	defer r.closeConn()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			pause(ctx, minReportInterval-time.Since(r.sentAt))
		case <-timer.C:
		}
		r.report(ctx)
		if r.crashes.urgent() {
			timer.Reset(urgentReportInterval)
		} else {
			timer.Reset(reportInterval)
		}
	}
}

// notify makes a report due at once.
func (r *reporter) notify() {
	signalOnce(r.wake)
}

func (r *reporter) report(ctx context.Context) {
	report := r.collect()
	told := r.crashes.report(report)
	placer := r.clusterState.currentPlacer().address
	if placer == "" {
		return
	}
	var summary loadSummary
	if placer == r.address {
		summary = r.loadCollector.add(report, time.Now())
	} else {
		reply, err := r.call(ctx, placer, report)
		if err != nil {
			r.recordResult(placer, err)
			return
		}
		r.recordResult(placer, nil)
		if !reply.Placer {
			return
		}
		r.limits.merge(reply.Limits, monotonicNow())
		r.crashes.reported(told, reply)
		r.notices.merge(reply.LeavingServers, monotonicNow())
		summary = loadSummary{hosts: int(reply.Hosts), reaching: int(reply.Reaching), counting: reply.Counting, feed: decodeFeedPlan(reply), granted: decodeGranted(reply.Granted), carriers: reply.Carriers, carriersVersion: reply.CarriersVersion}
		summary.coordinators, summary.coordinatorsVersion = reply.Coordinators, reply.CoordinatorsVersion
		for _, id := range reply.Crowded {
			summary.overloaded = append(summary.overloaded, fairway.ServerID(id))
		}
		for _, p := range reply.Peers {
			summary.peers = append(summary.peers, peerAddress(p))
		}
		for _, id := range reply.Answering {
			summary.answering = append(summary.answering, fairway.ServerID(id))
		}
	}
	r.apply(summary)
	r.onPeers(ctx, summary.peers)
}

// apply applies the summary that the placer returned.
func (r *reporter) apply(summary loadSummary) {
	r.clusterState.setFeedPlan(summary.feed)
	r.reach.applySummary(summary)
	overloaded := make(map[fairway.ServerID]bool, len(summary.overloaded))
	for _, id := range summary.overloaded {
		overloaded[id] = true
	}
	for _, adm := range r.admissions.every() {
		adm.setOverloaded(overloaded)
	}
	for service, granted := range summary.granted {
		if !r.admissions.ownersOf(service).addGranted(granted) {
			continue
		}
		r.admissions.reevaluate(service)
	}
	changed := r.applyCarriers(summary)
	changed = r.applyCoordinators(summary) || changed
	if !summary.counting {
		changed = r.clusterState.setHostCounts(summary.hosts, summary.reaching) || changed
	}
	if changed {
		r.onHostsChange()
	}
}

// applyCarriers keeps the carriers that the placer has told, and reports whether they have
// changed.
func (r *reporter) applyCarriers(summary loadSummary) bool {
	if summary.carriersVersion == r.carriers.current().version {
		return false
	}
	return r.carriers.set(newCarrierTable(summary.carriers, summary.carriersVersion))
}

// applyCoordinators keeps the coordinators that the placer has told, and reports whether they
// have changed.
func (r *reporter) applyCoordinators(summary loadSummary) bool {
	if max(summary.coordinatorsVersion, noCoordinators) == r.coordinators.current().version {
		return false
	}
	r.coordinators.set(newCoordinatorTable(summary.coordinators, summary.coordinatorsVersion))
	return true
}

// collect returns the load measured since the last report.
func (r *reporter) collect() *signal.LoadReport {
	now := time.Now()
	report := &signal.LoadReport{
		Host:           string(r.host),
		IntervalMillis: uint32(now.Sub(r.sentAt).Milliseconds()),
		Leaving:        r.shuttingDown(),
		Domain:         string(r.domain),
		Address:        r.address,
		LinkMbps:       uint32(r.linkMbps),
	}
	direct, answeredAt := r.changeLog.storeContact()
	report.Direct = direct
	report.StoreAgeMillis = uint32(min(now.Sub(answeredAt).Milliseconds(), math.MaxUint32))
	report.RelaysFeed, report.KnowledgeAgeMillis = true, report.StoreAgeMillis
	r.sentAt = now
	for name, adm := range r.admissions.all() {
		requests, stats := adm.takeLoad()
		if adm.owners != nil {
			counts := &signal.KeyCounts{Service: string(name)}
			for key, n := range requests {
				counts.Keys = append(counts.Keys, uint32(key))
				counts.Counts = append(counts.Counts, uint32(n))
			}
			report.Services = append(report.Services, counts)
		}
		for id, st := range stats {
			report.Servers = append(report.Servers, &signal.ServerPace{
				Server: string(id), Answers: uint32(st.responses), Slowness: st.slowness,
				Requests: uint32(st.requests), Pressed: uint32(st.overloadSamples),
			})
		}
	}
	report.CarryingCapacity, report.CarriersVersion = r.capacity, r.carriers.current().version
	report.CoordinatorsVersion = r.coordinators.current().version
	r.addReach(report)
	report.Limits = r.limits.reports(monotonicNow())
	r.notices.addTo(report, monotonicNow())
	return report
}

// addReach adds to a report which servers this host reaches.
func (r *reporter) addReach(report *signal.LoadReport) {
	reached := r.reach.takeReport()
	report.Cut = reached.cut
	for _, id := range reached.failing {
		report.Failing = append(report.Failing, string(id))
	}
	for id, n := range reached.signs {
		report.Servers = append(report.Servers, &signal.ServerPace{Server: string(id), SignsOfLife: uint32(n)})
	}
}

func (r *reporter) call(ctx context.Context, placer string, report *signal.LoadReport) (*signal.LoadReply, error) {
	if r.conn == nil || r.connAddress != placer {
		r.closeConn()
		conn, err := dialPeer(placer, grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: peerKeepAlive}))
		if err != nil {
			return nil, err
		}
		r.conn, r.connAddress = conn, placer
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return signal.NewLoadsClient(r.conn).Report(ctx, report)
}

// recordResult logs the loss and return of the connection to the placer. After a
// failure the connection is closed, and the next report opens a new one.
func (r *reporter) recordResult(placer string, err error) {
	switch {
	case err != nil:
		r.closeConn()
		if !r.lost {
			r.logs.dependencyLost("placer "+placer, err)
		}
	case r.lost:
		r.logs.dependencyRegained("placer "+placer, 0)
	}
	r.lost = err != nil
}

func (r *reporter) closeConn() {
	if r.conn != nil {
		if err := r.conn.Close(); err != nil {
			r.logs.operationFailed("close connection to placer", err)
		}
		r.conn = nil
	}
}
