package jetty

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// noticeMemory is how long an instance is remembered that is no longer listed. The
	// store may list it again.
	noticeMemory = 10 * time.Minute
	// maxNoticeReports bounds the servers of each kind in a report or a reply.
	maxNoticeReports = 1000
	// minClosedTime is the time that a server has to be closed for longer for the balance
	// of keys to count it, since moves take some time, too.
	minClosedTime = time.Second
	// closedToMost is the part of the hosts to which a server has to be closed to lose its
	// keys. Below, it counts as so much slower.
	closedToMost = 0.5
)

// errServerExcluded means that the server has closed, has begun to leave, or is evacuated
// since the request was admitted.
var errServerExcluded = errors.New("the server takes no more requests from this host")

// Notice is what a response of a backend server tells besides the answer. The set of
// notices is closed: [ServerLeaves] and [ServerCloses].
type Notice interface{ notice() }

// ServerLeaves tells that a server instance leaves, as of when the response was received.
type ServerLeaves struct {
	Server sluice.ServerInstance
	Since  mooring.Instant
}

// ServerCloses tells that a server instance takes no requests from this host until an
// instant.
type ServerCloses struct {
	Server sluice.ServerInstance
	Until  mooring.Instant
}

func (ServerLeaves) notice() {}
func (ServerCloses) notice() {}

// noticeRecord is what is known of a server instance.
type noticeRecord struct {
	service fairway.ServiceName
	notice  sluice.Notice
	// closedAt is when a response last closed the instance, on the clock by which
	// incarnations are counted.
	closedAt time.Time
	// listedAt is when the instance was last listed.
	listedAt mooring.Instant
	// applied is the admission that has the notice.
	applied *admission
}

// notices keeps what servers tell in their responses of leaving and of closing. The zero
// pointer knows nothing.
type notices struct {
	protocol     Protocol
	headers      Headers
	admissions   *admissionSet
	clusterState *clusterState
	logs         *logs
	metrics      *metrics
	// onLeaving is called when another instance is known to leave.
	onLeaving func()

	// mu guards the fields below. It is taken before the lock of an admission.
	mu      sync.Mutex
	records map[sluice.ServerInstance]*noticeRecord
	// closures has, on the placer, until when each instance is closed to each host.
	closures map[sluice.ServerInstance]map[HostID]mooring.Instant
}

func newNotices(n *notices) *notices {
	n.records = make(map[sluice.ServerInstance]*noticeRecord)
	n.closures = make(map[sluice.ServerInstance]map[HostID]mooring.Instant)
	n.headers = n.protocol.Headers()
	return n
}

// observe records what a server's response to a request tells. Another server at the
// address may have written a 421, or a response to another request.
func (n *notices) observe(s fairway.Endpoint, r *request, resp *http.Response, receivedAt mooring.Instant) {
	if n == nil || resp.StatusCode == http.StatusMisdirectedRequest ||
		resp.Header.Get(n.headers.RequestID) != r.id && resp.Header.Get(n.headers.NotRun) == "" {
		return
	}
	n.record(s.Service, n.protocol.DecodeNotices(sluice.ServerInstanceOf(s), resp.StatusCode, resp.Header, receivedAt))
}

// observeRelayed records what a response tells that a peer has received. This host passes
// it on as well, but a closure holds for the peer only. A peer of an earlier build does not
// state the incarnation, which is taken to be the listed one.
func (n *notices) observeRelayed(r *request, server sluice.ServerInstance, status int, header http.Header, receivedAt mooring.Instant) {
	if n == nil || status == http.StatusMisdirectedRequest {
		return
	}
	if server.Incarnation == 0 {
		e, _ := n.clusterState.catalog().Get(server.Server)
		server.Incarnation = e.Incarnation
	}
	for _, notice := range n.protocol.DecodeNotices(server, status, header, receivedAt) {
		if leaves, ok := notice.(ServerLeaves); ok {
			n.record(r.service.Name, []Notice{leaves})
		}
	}
}

func (n *notices) record(service fairway.ServiceName, told []Notice) {
	if len(told) == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, notice := range told {
		switch notice := notice.(type) {
		case ServerLeaves:
			r := n.recordOf(service, notice.Server, notice.Since)
			n.update(notice.Server, r, r.notice.Left(notice.Since))
		case ServerCloses:
			now := monotonicNow()
			r := n.recordOf(service, notice.Server, now)
			r.closedAt = time.Now()
			if r.notice.ClosedFor(now) == 0 {
				n.logs.serverClosed(notice.Server, service, notice.Until.Sub(now))
				n.metrics.serverNotice("closed")
			}
			n.update(notice.Server, r, r.notice.Closed(notice.Until))
		}
	}
}

func (n *notices) recordOf(service fairway.ServiceName, server sluice.ServerInstance, now mooring.Instant) *noticeRecord {
	r := n.records[server]
	if r == nil {
		r = &noticeRecord{service: service, listedAt: now}
		n.records[server] = r
	}
	return r
}

// update sets what is known of an instance, also in the admission of its service.
func (n *notices) update(server sluice.ServerInstance, r *noticeRecord, notice sluice.Notice) {
	if notice == r.notice {
		return
	}
	before := r.notice
	r.notice, r.applied = notice, nil
	n.apply(server, r)
	if notice.Leaving() && !before.Leaving() {
		n.logs.serverLeaving(server, r.service, notice.LeavingElsewhere)
		n.metrics.serverNotice("leaving")
		n.onLeaving()
	}
}

// apply sets what is known of an instance in the admission of its service, which may have
// been created since.
func (n *notices) apply(server sluice.ServerInstance, r *noticeRecord) {
	if adm := n.admissions.all()[r.service]; adm != nil && adm != r.applied {
		adm.setNotice(server, r.notice)
		r.applied = adm
	}
}

// excludes reports whether a request may not be sent to a server any more.
func (n *notices) excludes(s fairway.Endpoint, r *request) bool {
	if n == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.records[sluice.ServerInstanceOf(s)]
	return known != nil && known.notice.Excludes(monotonicNow(), instantOf(r.arrived))
}

// refusal returns the result for a request that the owner of its key has turned away: it
// is to come back once the owner is open.
func (n *notices) refusal(r *request, s fairway.Endpoint, res result) result {
	turnedAway, ok := res.(refusal)
	if n == nil || !ok || r.key == nil {
		return res
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.records[sluice.ServerInstanceOf(s)]; known != nil {
		turnedAway.retryAfter = max(turnedAway.retryAfter, known.notice.ClosedFor(monotonicNow()))
	}
	return turnedAway
}

// merge records which servers leave according to other hosts. Instances that are not
// listed are left out; hosts tell them again.
func (n *notices) merge(told []*signal.LeavingServer, now mooring.Instant) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range told {
		e, listed := n.clusterState.catalog().Get(fairway.ServerID(t.GetServer()))
		if !listed || e.Incarnation != fairway.Incarnation(t.GetIncarnation()) {
			continue
		}
		server := sluice.ServerInstanceOf(e)
		r := n.recordOf(e.Service, server, now)
		if !r.notice.Leaving() {
			notice := r.notice
			notice.LeavingElsewhere = true
			n.update(server, r, notice)
		}
	}
}

// leaving returns the listed servers that leave, for other hosts.
func (n *notices) leaving() []*signal.LeavingServer {
	if n == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var servers []*signal.LeavingServer
	for server, r := range n.records {
		e, listed := n.clusterState.catalog().Get(server.Server)
		if listed && sluice.ServerInstanceOf(e) == server && r.notice.Leaving() && len(servers) < maxNoticeReports {
			servers = append(servers, &signal.LeavingServer{Server: string(server.Server), Incarnation: int64(server.Incarnation)})
		}
	}
	return servers
}

// addTo adds what this host knows to its report.
func (n *notices) addTo(report *signal.LoadReport, now mooring.Instant) {
	if n == nil {
		return
	}
	n.refresh(now)
	report.LeavingServers = n.leaving()
	n.mu.Lock()
	defer n.mu.Unlock()
	for server, r := range n.records {
		if left := r.notice.ClosedFor(now); left > 0 && len(report.ClosedServers) < maxNoticeReports {
			report.ClosedServers = append(report.ClosedServers, &signal.ClosedServer{
				Server: string(server.Server), Incarnation: int64(server.Incarnation), LeftMicros: uint64(left.Microseconds()),
			})
		}
	}
}

// addClosures records, on the placer, which servers are closed to a host, instead of those
// that it told before. A host that reports no more counts for hostTimeout.
func (n *notices) addClosures(host HostID, told []*signal.ClosedServer, now mooring.Instant) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, hosts := range n.closures {
		delete(hosts, host)
	}
	for _, t := range told {
		server := sluice.ServerInstance{Server: fairway.ServerID(t.GetServer()), Incarnation: fairway.Incarnation(t.GetIncarnation())}
		if n.closures[server] == nil {
			n.closures[server] = make(map[HostID]mooring.Instant)
		}
		left := time.Duration(min(t.GetLeftMicros(), uint64(hostTimeout.Microseconds()))) * time.Microsecond
		n.closures[server][host] = now.Add(left)
	}
	for server, hosts := range n.closures {
		for host, until := range hosts {
			if until <= now {
				delete(hosts, host)
			}
		}
		if len(hosts) == 0 {
			delete(n.closures, server)
		}
	}
}

// lowerCapacity lowers the capacity of the servers of a service that are closed to some of
// the hosts, for the balance of keys: their speeds, or a limit of 0 at most hosts.
func (n *notices) lowerCapacity(service fairway.ServiceName, speeds, limits map[fairway.ServerID]float64) {
	if n == nil {
		return
	}
	now := monotonicNow()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.clusterState.catalog().ByService(service) {
		closed := 0
		for _, until := range n.closures[sluice.ServerInstanceOf(e)] {
			if until.Sub(now) > minClosedTime {
				closed++
			}
		}
		share := float64(closed) / float64(max(n.clusterState.hostCount(), 1))
		switch speed, known := speeds[e.ID]; {
		case closed == 0:
		case share >= closedToMost:
			limits[e.ID] = 0
		case known:
			speeds[e.ID] = speed * (1 - share)
		default:
			speeds[e.ID] = 1 - share
		}
	}
}

// withLeaving returns a catalog in which the instances that leave are draining, for the
// placer.
func (n *notices) withLeaving(catalog *fairway.Catalog) *fairway.Catalog {
	if n == nil {
		return catalog
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var leaving []fairway.Endpoint
	for server, r := range n.records {
		if e, listed := catalog.Get(server.Server); listed && e.Incarnation == server.Incarnation && r.notice.Leaving() && !e.Draining {
			e.Draining = true
			leaving = append(leaving, e)
		}
	}
	if len(leaving) == 0 {
		return catalog
	}
	return catalog.Apply(leaving, nil)
}

// refresh drops what is known of instances that have been gone for long, and applies the
// rest.
func (n *notices) refresh(now mooring.Instant) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for server, r := range n.records {
		e, listed := n.clusterState.catalog().Get(server.Server)
		if listed && sluice.ServerInstanceOf(e) == server {
			r.listedAt = now
		} else if listed && r.closedBy(e) {
			next := n.recordOf(e.Service, sluice.ServerInstanceOf(e), now)
			notice := next.notice
			notice.ClosedUntil = max(notice.ClosedUntil, r.notice.ClosedUntil)
			n.update(sluice.ServerInstanceOf(e), next, notice)
		}
		if now.Sub(r.listedAt) > noticeMemory {
			delete(n.records, server)
			if r.applied != nil {
				r.applied.setNotice(server, sluice.Notice{})
			}
			continue
		}
		n.apply(server, r)
	}
}

// closedBy reports whether the response that closed an instance was written by its next
// incarnation, before that was listed.
func (r *noticeRecord) closedBy(next fairway.Endpoint) bool {
	return !r.closedAt.IsZero() && r.closedAt.UnixMilli() >= int64(next.Incarnation)
}
