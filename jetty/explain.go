package jetty

import (
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

// Explanation says where a request would go now from this host, and why.
type Explanation struct {
	Host          HostID            `json:"host"`
	ConfigVersion fairway.Version   `json:"config_version"`
	Route         fairway.RouteName `json:"route,omitempty"`
	// Refusal is set if the request has no route.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	// Services has one entry for each part of a split.
	Services []ServiceExplanation `json:"services,omitempty"`
}

// ServiceExplanation says what would become of the request at one service.
type ServiceExplanation struct {
	Service fairway.ServiceName `json:"service"`
	// Part is the part of the route's requests that goes to the service, up to 1.
	Part float64      `json:"part"`
	Key  *mooring.Key `json:"key,omitempty"`
	// Decision is what this host would do: send the request itself, have a peer send it,
	// ask its coordinator, have it wait, or refuse it.
	Decision ExplainedDecision `json:"decision"`
	Server   fairway.ServerID  `json:"server,omitempty"`
	// Coordinator is the entry host that decides instead, if there is one.
	Coordinator string            `json:"coordinator,omitempty"`
	Refusal     *ExplainedRefusal `json:"refusal,omitempty"`
	// Candidates has the owner of the key, or the servers in the order of preference.
	Candidates []ExplainedCandidate `json:"candidates"`
}

// ExplainedDecision is the decision on a request that has not been sent.
type ExplainedDecision string

// The decisions.
const (
	DecisionSend   ExplainedDecision = "send"
	DecisionByPeer ExplainedDecision = "send_by_peer"
	DecisionWait   ExplainedDecision = "wait"
	DecisionRefuse ExplainedDecision = "refuse"
	// DecisionByCoordinator is for requests that another entry host admits; its explanation
	// says what it would decide.
	DecisionByCoordinator ExplainedDecision = "ask_coordinator"
)

// ExplainedRefusal is the response to a request that would be refused.
type ExplainedRefusal struct {
	Status       int     `json:"status"`
	Reason       string  `json:"reason"`
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
	// Ahead is the number of waiting requests that would be served first.
	Ahead int `json:"ahead,omitempty"`
}

// ExplainedCandidate is a server that may answer the request; see [sluice.Candidate].
type ExplainedCandidate struct {
	Server      fairway.ServerID `json:"server"`
	Domain      fairway.Domain   `json:"domain"`
	Room        bool             `json:"room"`
	CostMS      float64          `json:"cost_ms"`
	InFlight    int              `json:"in_flight"`
	Window      float64          `json:"window"`
	LatencyMS   float64          `json:"latency_ms"`
	Errors      float64          `json:"errors"`
	SuspectedMS float64          `json:"suspected_ms,omitempty"`
	ClosedMS    float64          `json:"closed_ms,omitempty"`
	Limited     bool             `json:"limited,omitempty"`
	Overloaded  bool             `json:"overloaded,omitempty"`
	Leaving     bool             `json:"leaving,omitempty"`
}

// serveExplanation answers /explain. The parameters method, host, path, key and time_left_ms
// describe the request.
func (h *Host) serveExplanation(g *gin.Context) {
	hr, err := http.NewRequest(g.DefaultQuery("method", http.MethodGet), "http://"+g.Query("host")+g.Query("path"), nil)
	if err != nil || g.Query("host") == "" || !strings.HasPrefix(g.Query("path"), "/") {
		g.JSON(http.StatusBadRequest, gin.H{"error": "the parameters host and path do not describe a request"})
		return
	}
	hr.Header.Set(h.ingress.headers.Key, g.Query("key"))
	hr.Header.Set(h.ingress.headers.TimeLeft, g.Query("time_left_ms"))
	explanation := h.ingress.explain(hr, time.Now())
	explanation.Host = h.cfg.Settings.Host
	g.JSON(http.StatusOK, explanation)
}

// explain says what would become of a request. It takes the steps of parseRequest and
// exchange.begin, up to those that depend on the body: suspected requests are not recognized.
func (in *ingress) explain(hr *http.Request, arrived time.Time) Explanation {
	r := &request{arrived: arrived, config: in.activeConfig.Current()}
	if res := findRoute(r, hr.Host, hr.URL.RequestURI()); res != nil {
		return Explanation{Refusal: explainRefusal(res)}
	}
	explanation := Explanation{ConfigVersion: r.config.Version, Route: r.route.Name}
	total := 0.0
	for _, d := range r.route.Destinations {
		total += d.Weight
	}
	for _, d := range r.route.Destinations {
		if d.Weight <= 0 && len(r.route.Destinations) > 1 {
			continue
		}
		part := &request{arrived: arrived, config: r.config, route: r.route, service: r.config.Services[d.Service]}
		e := in.explainService(hr, part)
		e.Service, e.Part = d.Service, 1
		if total > 0 {
			e.Part = d.Weight / total
		}
		explanation.Services = append(explanation.Services, e)
	}
	return explanation
}

func (in *ingress) explainService(hr *http.Request, r *request) ServiceExplanation {
	refused := func(res result) ServiceExplanation {
		return ServiceExplanation{Key: r.key, Decision: DecisionRefuse, Refusal: explainRefusal(res), Candidates: []ExplainedCandidate{}}
	}
	if res := in.readKey(r, hr); res != nil {
		return refused(res)
	}
	r.deadline = in.deadline(r, hr)
	if in.forwarder.drain.excludes(r.deadline) {
		return refused(in.forwarder.stopped(r))
	}
	return in.forwarder.explain(r)
}

// explain says what would become of a request whose service and key are known.
func (f *forwarder) explain(r *request) ServiceExplanation {
	catalog := f.clusterState.catalog()
	adm := f.admissions.peek(r.service, catalog)
	coordinator, here := f.permits.coordinatorOf(adm, r)
	if here {
		adm = f.admissions.coordinated.peek(r.service, catalog)
	}
	decision, candidates := adm.preview(r)
	e := ServiceExplanation{Key: r.key, Coordinator: coordinator, Candidates: explainCandidates(candidates)}
	if coordinator != "" && !here && !f.reach.cut() {
		e.Decision = DecisionByCoordinator
		return e
	}
	switch d := decision.(type) {
	case sluice.Dispatch:
		e.Decision, e.Server = DecisionSend, d.Server.ID
	case sluice.Wait:
		e.Decision = DecisionWait
	case sluice.Refuse:
		e.Decision = DecisionRefuse
		e.Refusal = explainRefusal(refusal{reason: reason(d.Reason), retryAfter: d.RetryAfter})
		e.Refusal.Ahead = d.Ahead
	}
	if f.previewPeer(r, decision) {
		e.Decision, e.Server, e.Refusal = DecisionByPeer, "", nil
	}
	return e
}

// previewPeer reports whether peers would be asked to send a request first: this host reaches
// no server, or not those that could answer, or the owner of the key has carriers.
func (f *forwarder) previewPeer(r *request, decision sluice.Decision) bool {
	if f.relay == nil {
		return false
	}
	e := &exchange{forwarder: f, r: r}
	d, refused := decision.(sluice.Refuse)
	switch {
	case f.reach.cut():
		return len(f.reach.relayPeers("")) > 0
	case refused && e.mayReachMore(d):
		return len(f.reach.relayPeers(e.requiredServer(d))) > 0
	case f.carriers == nil || r.key == nil || !r.repeatable():
		return false
	}
	server, ok := f.admissions.peek(r.service, f.clusterState.catalog()).openOwner(*r.key)
	return ok && len(f.carriers.peersFor(r.service.Name, server)) > 0
}

// peek returns the admission of a service. Unlike get, it keeps none that did not exist before.
func (s *admissionSet) peek(service *fairway.Service, catalog *fairway.Catalog) *admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.admissions[service.Name]
	if a == nil || service.Divided != (a.owners != nil) {
		a = s.newAdmission(service)
		if s.cfg.OnCreate != nil {
			s.cfg.OnCreate(service.Name, a)
		}
		s.setServers(a, service.Name, catalog, s.hosts, s.reaching)
	}
	return a
}

// preview returns the decision on a request that comes now, and the servers it is based on.
func (a *admission) preview(r *request) (sluice.Decision, []sluice.Candidate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	req := admissionRequest(r, a.expectedBytes(r.route.Name))
	req.ID = a.nextID + 1
	now := monotonicNow()
	return a.controller.Preview(now, req), a.controller.Candidates(now, req)
}

func explainRefusal(res result) *ExplainedRefusal {
	e := &ExplainedRefusal{Status: http.StatusServiceUnavailable}
	switch v := res.(type) {
	case refusal:
		e.Reason, e.RetryAfterMS = string(v.reason), milliseconds(v.retryAfter)
	case clientError:
		e.Status, e.Reason = v.status, string(v.reason)
	}
	return e
}

func explainCandidates(candidates []sluice.Candidate) []ExplainedCandidate {
	explained := []ExplainedCandidate{}
	for _, c := range candidates {
		explained = append(explained, ExplainedCandidate{
			Server: c.Server, Domain: c.Domain, Room: c.Room, CostMS: milliseconds(c.Cost), InFlight: c.InFlight, Window: c.Window,
			LatencyMS: milliseconds(c.Latency), Errors: c.Errors, SuspectedMS: milliseconds(c.Suspected), ClosedMS: milliseconds(c.Closed),
			Limited: c.Limited, Overloaded: c.Overloaded, Leaving: c.Leaving,
		})
	}
	return explained
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
