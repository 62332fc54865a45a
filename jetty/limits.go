package jetty

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// freeMemory is how long it is remembered that a server names no limit any more.
	freeMemory = 30 * time.Second
	// maxLimitReports bounds the limits in a report or a reply.
	maxLimitReports = 1000
)

// ServerLimit is what a response of a backend server says of the requests a second that
// the server takes from all hosts together.
type ServerLimit struct {
	// Named is false if the server takes as many as it can.
	Named     bool
	PerSecond float64
}

// limitRecord is what is known of the limit of a server instance.
type limitRecord struct {
	service  fairway.ServiceName
	evidence sluice.LimitEvidence
	// applied are the admissions that have the evidence.
	applied []*admission
}

// limits keeps the limits that servers name, as seen in responses to this host and told
// by others, and has this host stay within them: it asks the placer for slots, each of
// which allows one request. On the placer it gives them out.
type limits struct {
	signal.UnimplementedLimitsServer

	protocol     Protocol
	admissions   *admissionSet
	clusterState *clusterState
	logs         *logs
	address      string
	// cold, if set, has the servers that are cold.
	cold *coldServers
	// mayGive reports whether this host is the placer and no other one can be.
	mayGive func() bool
	// coordinated reports whether coordinators admit the requests of a service; nil means that
	// none does.
	coordinated func(fairway.ServiceName) bool
	// wake receives a signal when a request begins to wait for a slot.
	wake chan struct{}
	// conn is the connection to the placer at connAddress, or nil.
	conn        *grpc.ClientConn
	connAddress string

	// mu guards the fields below. It is taken before the lock of an admission.
	mu sync.Mutex
	// observed numbers the responses that this host has observed.
	observed uint64
	records  map[sluice.ServerInstance]*limitRecord
	// pool has the slots that this host gives out as the placer, and own those that it
	// uses without one.
	pool *sluice.SlotPool
	own  *sluice.SlotPool
}

func newLimits(l *limits) *limits {
	l.records = make(map[sluice.ServerInstance]*limitRecord)
	// The numbers of a host that has restarted are other ones.
	l.observed = uint64(time.Now().UnixNano())
	l.wake = make(chan struct{}, 1)
	return l
}

// observe records what a response says of the limit of its server.
func (l *limits) observe(s fairway.Endpoint, sentAt, receivedAt mooring.Instant, header http.Header) {
	limit, ok := l.protocol.DecodeLimit(header)
	if !ok {
		return
	}
	instance := sluice.ServerInstanceOf(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[instance]
	if r == nil {
		if !limit.Named {
			return
		}
		r = &limitRecord{service: s.Service}
	}
	if limit.Named {
		l.update(instance, r, r.evidence.Named(l.observation(), sentAt, receivedAt, sluice.Rate(limit.PerSecond)))
	} else {
		l.update(instance, r, r.evidence.Free(l.observation(), sentAt, receivedAt))
	}
}

// observation returns the identity of the next response that this host observes.
func (l *limits) observation() sluice.Observation {
	l.observed++
	return sluice.Observation{Host: l.address, Number: l.observed}
}

// update sets the evidence of a server, and its limit in the admission of its service.
func (l *limits) update(instance sluice.ServerInstance, r *limitRecord, evidence sluice.LimitEvidence) {
	before := r.evidence
	r.evidence = evidence
	if l.records[instance] == nil {
		signalOnce(l.wake)
	}
	l.records[instance] = r
	if before.Limited() == evidence.Limited() && before.Limit == evidence.Limit {
		return
	}
	l.logs.limitChanged(instance, r)
	r.applied = nil
	l.apply(instance, r)
}

// apply sets the limit of a server in the admission of its service, which may have been
// created since.
func (l *limits) apply(instance sluice.ServerInstance, r *limitRecord) {
	for _, adm := range l.admissions.of(r.service) {
		if !slices.Contains(r.applied, adm) {
			adm.setLimit(instance, r.evidence)
			r.applied = append(r.applied, adm)
		}
	}
}

// merge records what another host knows.
func (l *limits) merge(reports []*signal.ServerLimit, now mooring.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, report := range reports {
		l.mergeOne(report, now)
	}
}

// mergeOne records what another host knows of one server. Instances that are not
// registered are left out.
func (l *limits) mergeOne(report *signal.ServerLimit, now mooring.Instant) (sluice.ServerInstance, bool) {
	e, known := l.clusterState.catalog().Get(fairway.ServerID(report.GetServer()))
	instance := sluice.ServerInstance{Server: fairway.ServerID(report.GetServer()), Incarnation: fairway.Incarnation(report.GetIncarnation())}
	if !known || sluice.ServerInstanceOf(e) != instance || !(report.GetLimit() >= 0) {
		return instance, false
	}
	evidence := sluice.LimitEvidence{
		Limit:   sluice.Rate(report.GetLimit()),
		NamedAt: now.Add(-time.Duration(report.GetNamedAgeMicros()) * time.Microsecond),
		NamedBy: sluice.Observation{Host: report.GetNamedBy(), Number: report.GetNamedNumber()},
	}
	if age := report.GetFreeAgeMicros(); age > 0 {
		evidence.FreeAt = now.Add(-time.Duration(age) * time.Microsecond)
		evidence.FreeBy = sluice.Observation{Host: report.GetFreeBy(), Number: report.GetFreeNumber()}
	}
	r := l.records[instance]
	if r == nil {
		r = &limitRecord{service: e.Service}
	}
	l.update(instance, r, r.evidence.Merge(evidence))
	return instance, true
}

// reports returns what this host knows, for another one.
func (l *limits) reports(now mooring.Instant) []*signal.ServerLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []*signal.ServerLimit
	for instance, r := range l.records {
		if len(reports) == maxLimitReports {
			break
		}
		reports = append(reports, encodeLimit(instance, r.evidence, now))
	}
	return reports
}

func encodeLimit(instance sluice.ServerInstance, e sluice.LimitEvidence, now mooring.Instant) *signal.ServerLimit {
	report := &signal.ServerLimit{
		Server: string(instance.Server), Incarnation: int64(instance.Incarnation),
		Limit: float64(e.Limit), NamedAgeMicros: uint64(now.Sub(e.NamedAt).Microseconds()),
		NamedBy: e.NamedBy.Host, NamedNumber: e.NamedBy.Number,
	}
	if e.FreeAt != 0 {
		report.FreeBy, report.FreeNumber = e.FreeBy.Host, e.FreeBy.Number
		report.FreeAgeMicros = max(uint64(now.Sub(e.FreeAt).Microseconds()), 1)
	}
	return report
}

// limited returns the limits of the servers of a service.
func (l *limits) limited(service fairway.ServiceName) map[fairway.ServerID]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[fairway.ServerID]float64)
	for instance, r := range l.records {
		if r.service == service && r.evidence.Limited() {
			found[instance.Server] = float64(r.evidence.Limit)
		}
	}
	return found
}

// refresh drops what is known of instances that are gone or have had no limit for long,
// and applies the rest.
func (l *limits) refresh(now mooring.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for instance, r := range l.records {
		e, listed := l.clusterState.catalog().Get(instance.Server)
		gone := !listed || sluice.ServerInstanceOf(e) != instance
		if gone || !r.evidence.Limited() && now.Sub(r.evidence.NamedAt) > freeMemory {
			delete(l.records, instance)
			for _, adm := range r.applied {
				adm.setLimit(instance, sluice.LimitEvidence{})
			}
			continue
		}
		l.apply(instance, r)
	}
	for _, pool := range []*sluice.SlotPool{l.pool, l.own} {
		if pool != nil {
			pool.Prune(func(instance sluice.ServerInstance) bool { return l.records[instance] != nil })
		}
	}
}
