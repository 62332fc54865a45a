package jetty

import (
	"maps"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// latencyBuckets are the upper bounds of the request latency histogram.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2500 * time.Millisecond, 5 * time.Second,
}

// metricPrefix begins the names of all metrics.
const metricPrefix = "hornbeamwinch"

// metricName is the name of a metric without the prefix "hornbeamwinch_".
type metricName string

// The metrics. docs/OPERATIONS.md explains them.
const (
	metricRequests          metricName = "requests_total"
	metricRequestSeconds    metricName = "request_seconds"
	metricQueueSeconds      metricName = "queue_seconds"
	metricSends             metricName = "sends_total"
	metricRelays            metricName = "relays_total"
	metricRequestsInFlight  metricName = "requests_in_flight"
	metricRequestsAllowed   metricName = "requests_allowed"
	metricRequestsWaiting   metricName = "requests_waiting"
	metricRetryBudgetLeft   metricName = "retry_budget_left"
	metricKeyMoves          metricName = "key_moves_total"
	metricKeyRanges         metricName = "key_ranges"
	metricTableRevision     metricName = "table_revision"
	metricOrders            metricName = "orders_total"
	metricStoreCalls        metricName = "store_calls_total"
	metricStoreCallSeconds  metricName = "store_call_seconds"
	metricStoreAge          metricName = "store_age_seconds"
	metricConfigVersion     metricName = "configuration_version"
	metricServersListed     metricName = "servers_listed"
	metricConnectionsOpen   metricName = "server_connections_open"
	metricConnectionsOpened metricName = "server_connections_opened_total"
	metricLinesLeftOut      metricName = "log_lines_left_out_total"
	metricPlacer            metricName = "placer"
	metricEntryHosts        metricName = "entry_hosts"
	metricServerEnds        metricName = "server_ends_total"
	metricSuspectedRequests metricName = "suspected_requests"
	metricServerNotices     metricName = "server_notices_total"
	metricHealthChecks      metricName = "health_checks_total"
	metricPanics            metricName = "panics_total"
	metricPermits           metricName = "permits_total"
	metricPermitFallbacks   metricName = "permit_fallbacks_total"
	metricPermitsExpired    metricName = "permits_expired_total"
	metricPermitsInFlight   metricName = "permits_in_flight"
	metricPermitsWaiting    metricName = "permits_waiting"
	metricCoordinating      metricName = "coordinating"
	metricEvacuatedDomains  metricName = "evacuated_domains"
	metricEvacuatedRequests metricName = "evacuated_requests"
	metricSecondSends       metricName = "second_sends_total"
	metricSecondSendsHeld   metricName = "second_sends_held_total"
	metricSecondSendExtra   metricName = "second_send_extra_seconds"
	metricSecondSendLimit   metricName = "second_send_limit_used"
	metricConnectionsClosed metricName = "connections_closed_total"
)

// metricNames has every metric. A test compares it with the operations page.
var metricNames = []metricName{
	metricRequests, metricRequestSeconds, metricQueueSeconds, metricSends, metricRelays, metricRequestsInFlight, metricRequestsAllowed,
	metricRequestsWaiting, metricRetryBudgetLeft, metricKeyMoves, metricKeyRanges, metricTableRevision, metricOrders,
	metricStoreCalls, metricStoreCallSeconds, metricStoreAge, metricConfigVersion, metricServersListed,
	metricConnectionsOpen, metricConnectionsOpened, metricLinesLeftOut, metricPlacer, metricEntryHosts, metricServerEnds, metricSuspectedRequests,
	metricServerNotices, metricHealthChecks, metricPanics, metricConnectionsClosed, metricPermits, metricPermitFallbacks, metricPermitsExpired, metricPermitsInFlight, metricPermitsWaiting, metricCoordinating,
	metricEvacuatedDomains, metricEvacuatedRequests,
	metricSecondSends, metricSecondSendsHeld, metricSecondSendExtra, metricSecondSendLimit,
}

// metrics keeps its values in a tally scope. It caches the scopes with tags,
// since tally builds their names on each lookup otherwise.
type metrics struct {
	scope tally.TestScope

	mu     sync.Mutex
	scopes map[metricTags]tally.Scope
	// routes has the metrics of the routes of config, and of earlier routes on which a request
	// has ended since. Requests without a route count under the empty name.
	routes map[fairway.RouteName]*routeMetrics
	config *fairway.Config
}

// metricTags has the values of up to three tags.
type metricTags struct {
	first  string
	second string
	third  string
}

func newMetrics() *metrics {
	return &metrics{
		scope:  tally.NewTestScope(metricPrefix, nil),
		scopes: make(map[metricTags]tally.Scope),
		routes: make(map[fairway.RouteName]*routeMetrics),
	}
}

// withTags returns the scope with the given tags, whose names are in the same
// order.
func (m *metrics) withTags(tags metricTags, names ...string) tally.Scope {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.scopes[tags]
	if s == nil {
		values := [...]string{tags.first, tags.second, tags.third}
		named := make(map[string]string, len(names))
		for i, name := range names {
			named[name] = values[i]
		}
		s = m.scope.Tagged(named)
		m.scopes[tags] = s
	}
	return s
}

// Snapshot implements gauge.Snapshotter.
func (m *metrics) Snapshot() tally.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	joined := joinedSnapshot{m.scope.Snapshot()}
	for _, route := range m.routes {
		joined = append(joined, route.scope.Snapshot())
	}
	return joined
}

// retainRoutes forgets the metrics of the routes that are not in a configuration.
func (m *metrics) retainRoutes(c *fairway.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c == nil || c == m.config {
		return
	}
	m.config = c
	names := c.RouteNames()
	maps.DeleteFunc(m.routes, func(name fairway.RouteName, _ *routeMetrics) bool { return name != "" && !names[name] })
}

// requestAnswered counts a completed request, and times it if it ended with a
// backend server's response.
func (m *metrics) requestAnswered(r *request, res result, elapsed time.Duration) {
	var name fairway.RouteName
	if r.route != nil {
		name = r.route.Name
	}
	m.route(name).answered(res, elapsed)
}

func (m *metrics) route(name fairway.RouteName) *routeMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	route := m.routes[name]
	if route == nil {
		route = newRouteMetrics(name)
		m.routes[name] = route
	}
	return route
}

// serverNotice counts a server instance that has begun to leave, has closed or is cold.
func (m *metrics) serverNotice(kind string) {
	m.withTags(metricTags{first: kind}, "kind").Counter(string(metricServerNotices)).Inc(1)
}

// healthChecked counts a health check before a request to a server that may be cold.
func (m *metrics) healthChecked(service fairway.ServiceName) {
	m.withTags(metricTags{first: string(service)}, "service").Counter(string(metricHealthChecks)).Inc(1)
}

// connectionClosed counts a connection to the host that is closed early.
func (m *metrics) connectionClosed(reason closeReason) {
	m.withTags(metricTags{first: string(reason)}, "reason").Counter(string(metricConnectionsClosed)).Inc(1)
}

func (m *metrics) keysMoved(service fairway.ServiceName, moves []mooring.Move) {
	for _, move := range moves {
		m.withTags(metricTags{first: string(service), second: string(move.Reason)}, "service", "reason").
			Counter(string(metricKeyMoves)).Inc(1)
	}
}

func (m *metrics) orderAnswered(o mooring.Order, result mooring.Result) {
	kind := "grant"
	if o.Release {
		kind = "release"
	}
	m.withTags(metricTags{first: kind, second: result.String()}, "kind", "result").Counter(string(metricOrders)).Inc(1)
}

// storeCall counts and times a call to the store.
func (m *metrics) storeCall(c storeCall, elapsed time.Duration) {
	s := m.withTags(metricTags{first: c.op, second: c.result, third: string(c.role)}, "op", "result", "role")
	s.Counter(string(metricStoreCalls)).Inc(1)
	s.Histogram(string(metricStoreCallSeconds), latencyBuckets).RecordDuration(elapsed)
}

// requestQueued records how long a request waited for admission.
func (m *metrics) requestQueued(service fairway.ServiceName, elapsed time.Duration) {
	m.withTags(metricTags{first: string(service)}, "service").Histogram(string(metricQueueSeconds), latencyBuckets).RecordDuration(elapsed)
}

// requestSent counts an attempt to send a request to a backend server: the
// first one of the request, or a further one.
func (m *metrics) requestSent(service fairway.ServiceName, further bool) {
	kind := "first"
	if further {
		kind = "further"
	}
	m.withTags(metricTags{first: string(service), second: kind}, "service", "kind").Counter(string(metricSends)).Inc(1)
}

// secondSend counts a second send by what became of it: sent, won or canceled.
func (m *metrics) secondSend(service fairway.ServiceName, kind string) {
	m.withTags(metricTags{first: string(service), second: kind}, "service", "kind").Counter(string(metricSecondSends)).Inc(1)
}

// secondSendHeld counts a request whose second send is held back.
func (m *metrics) secondSendHeld(service fairway.ServiceName, reason sluice.SecondSendReason) {
	m.withTags(metricTags{first: string(service), second: string(reason)}, "service", "reason").Counter(string(metricSecondSendsHeld)).Inc(1)
}

// requestSuspected counts a server that has ended while a request was there.
func (m *metrics) requestSuspected(service fairway.ServiceName) {
	m.withTags(metricTags{first: string(service)}, "service").Counter(string(metricServerEnds)).Inc(1)
}

// requestRelayed counts the offer of a request to a peer, which may be a carrier.
func (m *metrics) requestRelayed(o relayedOffer, carried bool) {
	result := "accepted"
	switch {
	case o.err != nil:
		result = "failed"
	case o.refused != nil:
		result = "refused"
	}
	kind := "reach"
	if carried {
		kind = "carrier"
	}
	m.withTags(metricTags{first: kind, second: result}, "kind", "result").Counter(string(metricRelays)).Inc(1)
}

// permitDecided counts a permit that this host has granted or refused as a coordinator.
func (m *metrics) permitDecided(service fairway.ServiceName, result string, why reason) {
	m.withTags(metricTags{first: string(service), second: result, third: string(why)}, "service", "result", "reason").
		Counter(string(metricPermits)).Inc(1)
}

// permitFallback counts a request that this host admits itself although its service has
// coordinators.
func (m *metrics) permitFallback(service fairway.ServiceName, why permitFallback) {
	m.withTags(metricTags{first: string(service), second: string(why)}, "service", "reason").
		Counter(string(metricPermitFallbacks)).Inc(1)
}

// updatePermitGauges sets the gauges of the requests that this host coordinates.
func (m *metrics) updatePermitGauges(s *permitServer) {
	coordinating := 0.0
	if s.coordinators.isNamed() {
		coordinating = 1
	}
	m.gauge(metricCoordinating, coordinating)
	for service, adm := range s.admissions.all() {
		held, expired := adm.permits()
		m.serviceGauge(metricPermitsInFlight, service, float64(held))
		m.serviceGauge(metricPermitsWaiting, service, float64(adm.usage().Waiting))
		m.withTags(metricTags{first: string(service)}, "service").Counter(string(metricPermitsExpired)).Inc(int64(expired))
	}
}

func (m *metrics) gauge(name metricName, value float64) {
	m.scope.Gauge(string(name)).Update(value)
}

func (m *metrics) serviceGauge(name metricName, service fairway.ServiceName, value float64) {
	m.withTags(metricTags{first: string(service)}, "service").Gauge(string(name)).Update(value)
}

// updateGauges sets the gauges of the host's state and resource use.
func (h *Host) updateGauges() {
	m := h.metrics
	if c := h.clusterState.activeConfig.Current(); c != nil {
		m.gauge(metricConfigVersion, float64(c.Version))
	}
	m.gauge(metricStoreAge, time.Since(h.watcher.changeLog.lastUpdate()).Seconds())
	m.gauge(metricServersListed, float64(h.clusterState.catalog().Len()))
	evacuated, requests := h.evacuatedDomains(), 0
	for _, d := range evacuated {
		requests += d.Requests
	}
	m.gauge(metricEvacuatedDomains, float64(len(evacuated)))
	m.gauge(metricEvacuatedRequests, float64(requests))
	open, opened := h.upstream.count()
	m.gauge(metricConnectionsOpen, float64(open))
	for o, n := range opened {
		m.withTags(metricTags{first: string(o.service), second: string(o.reason)}, "service", "reason").
			Counter(string(metricConnectionsOpened)).Inc(n)
	}
	h.usage.addOpenings(opened)
	m.scope.Counter(string(metricLinesLeftOut)).Inc(h.logs.leftOut.Swap(0))
	placer := 0.0
	if h.election.active() {
		placer = 1
	}
	m.gauge(metricPlacer, placer)
	m.gauge(metricEntryHosts, float64(h.clusterState.knownHostCount()))
	m.gauge(metricSuspectedRequests, float64(h.crashes.size.Load()))
	m.updatePermitGauges(h.coordinated.server)
	for service, adm := range h.admissions.all() {
		usage := adm.usage()
		m.serviceGauge(metricRequestsInFlight, service, float64(usage.InFlight))
		m.serviceGauge(metricRequestsAllowed, service, usage.WindowTotal)
		m.serviceGauge(metricRequestsWaiting, service, float64(usage.Waiting))
		m.serviceGauge(metricRetryBudgetLeft, service, usage.budgetLeft)
		if usage.secondSends {
			m.serviceGauge(metricSecondSendLimit, service, usage.secondLimitUsed)
			m.serviceGauge(metricSecondSendExtra, service, usage.extraWork.Seconds())
		}
		if adm.owners != nil {
			m.updateTableGauges(service, adm.owners)
		}
	}
}

// updateTableGauges counts the key ranges of a service's table by state.
func (m *metrics) updateTableGauges(service fairway.ServiceName, owners *ownerTable) {
	current := owners.current.Load()
	if current == nil {
		return
	}
	m.serviceGauge(metricTableRevision, service, float64(ledger.Revision(current.revision).Number()))
	var owned, moving, vacant int
	for i := range current.table.Assignments {
		switch a := &current.table.Assignments[i]; {
		case a.Moving():
			moving++
		case a.Owner.Server == "":
			vacant++
		default:
			owned++
		}
	}
	for state, n := range map[string]int{"owned": owned, "moving": moving, "vacant": vacant} {
		m.withTags(metricTags{first: string(service), second: state}, "service", "state").Gauge(string(metricKeyRanges)).Update(float64(n))
	}
}
