package jetty

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// firstPermitWait is the time within which a coordinator answers the first call for a
	// permit, and maxPermitWait the one for further calls, each of which may take twice as
	// long as the one before.
	firstPermitWait = 50 * time.Millisecond
	maxPermitWait   = 200 * time.Millisecond
	// permitCallMargin is the time beyond these after which a coordinator counts as lost. A
	// host with little processor time may be delayed by as much.
	permitCallMargin = 100 * time.Millisecond
	// maxAskedCoordinators is the number of coordinators that are asked for a request that any
	// server can answer.
	maxAskedCoordinators = 2
	// maxExcluded bounds the servers that a request for a permit excludes because this host
	// does not reach them. If one of the others is granted, this host admits the request itself.
	maxExcluded = 32
	// maxPermitTime bounds the time of a permit.
	maxPermitTime = time.Minute
	// releaseRetryInterval is the time between two attempts to tell ended permits.
	releaseRetryInterval = 250 * time.Millisecond
)

// permitFallback is why a request is admitted by its host although its service has
// coordinators.
type permitFallback string

// The reasons, as they appear in permit_fallbacks_total.
const (
	// fallbackNoCoordinator is a request whose server has no known coordinator.
	fallbackNoCoordinator permitFallback = "no_coordinator"
	// fallbackLeftAlone is a coordinator that has failed a moment ago.
	fallbackLeftAlone permitFallback = "left_alone"
	// fallbackNoAnswer is a coordinator that has not answered in time.
	fallbackNoAnswer permitFallback = "no_answer"
	// fallbackRefuses is a host that does not coordinate: it stops, is an earlier build or
	// knows other coordinators.
	fallbackRefuses permitFallback = "not_coordinator"
	// fallbackServer is a server that this host must not send the request to, although the
	// coordinator has admitted it there.
	fallbackServer permitFallback = "server_excluded"
	// fallbackPart is a request that a coordinator refuses for a want of servers, of which it
	// knows a part only.
	fallbackPart permitFallback = "no_server_there"
)

// permits has the requests of this host admitted by the coordinators of their servers.
type permits struct {
	host         HostID
	domain       fairway.Domain
	coordination *coordination
	coordinators *coordinators
	clusterState *clusterState
	conns        *peerConns
	// server is asked for the servers that this host coordinates itself.
	server  *permitServer
	logs    *logs
	metrics *metrics
	// loadOf, if set, returns what a response says of the load of its server, or nil.
	loadOf func(http.Header) *signal.PermitServerLoad
	// session identifies this run of the host to the coordinators.
	session uint64
	nextID  atomic.Uint64
	// wake receives a signal when a permit has ended.
	wake chan struct{}

	mu    sync.Mutex
	links map[peerAddress]*permitLink
}

func newPermits(p *permits) *permits {
	p.session = rand.Uint64() | 1
	p.wake = make(chan struct{}, 1)
	p.links = make(map[peerAddress]*permitLink)
	return p
}

// permit allows one send to a backend server. The methods of a nil permit do nothing.
type permit struct {
	permits *permits
	// link is the way to the coordinator, or nil if this host is.
	link *permitLink
	id   uint64
	// place is the request at this host if it is the coordinator.
	place *permitPlace
}

// release ends the permit of a request without a response.
func (p *permit) release(outcome sluice.Outcome, took time.Duration) {
	p.releaseAnswered(outcome, took, nil)
}

// releaseAnswered ends the permit, with the header of the response if there is one.
func (p *permit) releaseAnswered(outcome sluice.Outcome, took time.Duration, header http.Header) {
	if p == nil {
		return
	}
	var load *signal.PermitServerLoad
	if header != nil && p.permits.loadOf != nil {
		load = p.permits.loadOf(header)
	}
	if p.link == nil {
		p.permits.server.settlePlace(p.place, outcome, took, load)
		return
	}
	p.tell(encodeOutcome(outcome), took, load)
}

// overdue tells the coordinator that the response is late.
func (p *permit) overdue(took time.Duration) {
	if p == nil {
		return
	}
	if p.link == nil {
		p.place.adm.overdue(p.place.req.ID)
		return
	}
	p.tell(signal.PermitOutcome_PERMIT_OUTCOME_OVERDUE, took, nil)
}

func (p *permit) tell(outcome signal.PermitOutcome, took time.Duration, load *signal.PermitServerLoad) {
	p.link.add(&signal.ReleasedPermit{Id: p.id, Outcome: outcome, TookMicros: uint64(max(took, 0).Microseconds()), Load: load})
	signalOnce(p.permits.wake)
}

// run tells the coordinators which permits have ended, until ctx is done.
func (p *permits) run(ctx context.Context) {
	timer := time.NewTimer(releaseRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
			pause(ctx, permitReleaseDelay)
		case <-timer.C:
		}
		left := false
		for _, link := range p.allLinks() {
			if link.begin(time.Now()) {
				go link.run(ctx)
			}
			left = left || link.pending()
		}
		p.forgetLinks()
		if left {
			timer.Reset(releaseRetryInterval)
		}
	}
}

func (p *permits) allLinks() []*permitLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*permitLink, 0, len(p.links))
	for _, link := range p.links {
		links = append(links, link)
	}
	return links
}

// connect opens the connections to coordinators that have become known, since the first request
// for each would wait for it longer than for an answer.
func (p *permits) connect() {
	for host, address := range p.coordinators.current().addresses {
		if host != string(p.host) {
			// An address that cannot be used shows when it is asked.
			_, _ = p.link(address)
		}
	}
}

// forgetLinks forgets the ways to hosts that do not coordinate any more. Permits whose end they
// have not been told expire.
func (p *permits) forgetLinks() {
	named := make(map[peerAddress]bool)
	for _, address := range p.coordinators.current().addresses {
		named[address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.links, func(peer peerAddress, link *permitLink) bool { return !named[peer] && link.isIdle(time.Now()) })
}

// link returns the way to a coordinator.
func (p *permits) link(peer peerAddress) (*permitLink, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if link := p.links[peer]; link != nil {
		return link, nil
	}
	conn, err := p.conns.get(peer)
	if err != nil {
		return nil, err
	}
	conn.Connect()
	link := &permitLink{peer: peer, client: signal.NewPermitsClient(conn), session: p.session}
	p.links[peer] = link
	return link, nil
}

// permitCall is the request for one permit.
type permitCall struct {
	*permits
	adm *admission
	r   *request
	req *sluice.Request
	// excluded are the servers that must not get the request from this host.
	excluded []fairway.ServerID
	// asked are the coordinators that have been asked.
	asked []string
}

// permitResult is what a coordinator has decided: a permit for a server, a refusal, or
// neither if the caller has left. Otherwise fallback tells why this host is to admit the
// request itself.
type permitResult struct {
	decision sluice.Decision
	permit   *permit
	fallback permitFallback
}

// acquire asks the coordinator of the request's server for a permit. The request's host is to
// admit it itself if there is none or it does not answer: then ok is false. A nil decision
// means that ctx is done.
func (p *permits) acquire(ctx context.Context, adm *admission, r *request, req *sluice.Request) (decision sluice.Decision, granted *permit, ok bool) {
	if p == nil || !p.coordination.active(r.service.Name) || len(p.coordinators.current().coordinators) == 0 {
		return nil, nil, false
	}
	c := &permitCall{permits: p, adm: adm, r: r, req: req}
	if r.key == nil {
		c.excluded = append(slices.Concat(req.Tried, req.Excluded), adm.unusable(maxExcluded)...)
	}
	var res permitResult
	for range maxAskedCoordinators {
		var host string
		if host, ok = c.next(); !ok {
			break
		}
		res = c.ask(ctx, host)
		if refuse, refused := res.decision.(sluice.Refuse); !refused || r.key != nil {
			break
		} else if c.isPartial(refuse) {
			res = permitResult{fallback: fallbackPart}
		}
	}
	switch {
	case res.fallback == "" && res.decision == nil && ctx.Err() == nil:
		res.fallback = fallbackNoCoordinator
		fallthrough
	case res.fallback != "":
		p.metrics.permitFallback(r.service.Name, res.fallback)
		return nil, nil, false
	}
	if refuse, refused := res.decision.(sluice.Refuse); refused {
		adm.refusedElsewhere(refuse)
	}
	return res.decision, res.permit, true
}

// coordinatorOf returns the coordinator that would be asked first to admit a request, or
// nothing if this host would admit it itself, and whether the coordinator is this host.
func (p *permits) coordinatorOf(adm *admission, r *request) (host string, here bool) {
	if p == nil || !p.coordination.active(r.service.Name) || len(p.coordinators.current().coordinators) == 0 {
		return "", false
	}
	c := &permitCall{permits: p, adm: adm, r: r}
	host, _ = c.next()
	return host, host == string(p.host)
}

// connectionsTo returns how many requests of this host may be at a server if a coordinator
// admits them, or 0 if none does. Then they need as many connections.
func (p *permits) connectionsTo(service fairway.ServiceName, s fairway.Endpoint) int {
	if p == nil || !p.coordination.active(service) {
		return 0
	}
	return s.Slots + 1
}

// awaitsOwner reports whether a request of a coordinated service is for a key without an owner.
func (p *permits) awaitsOwner(adm *admission, r *request) bool {
	if p == nil || r.key == nil || !p.coordination.active(r.service.Name) {
		return false
	}
	_, _, owned := adm.owners.Owner(*r.key)
	return !owned
}

// isPartial reports whether a refusal need not hold for other servers of the service.
func (c *permitCall) isPartial(refuse sluice.Refuse) bool {
	switch refuse.Reason {
	case sluice.ReasonNoServer, sluice.ReasonSuspected, sluice.ReasonClosed:
		return true
	default:
		return false
	}
}

// next returns the coordinator to ask: that of the key's owner, or one for a request that any
// server can answer, with a probability proportional to its number of servers.
func (c *permitCall) next() (string, bool) {
	catalog := c.clusterState.catalog()
	if c.r.key != nil {
		owner, known := c.adm.openOwner(*c.r.key)
		if !known || c.adm.ownerFails(*c.r.key) {
			return "", false
		}
		host := c.coordinators.of(c.r.service, owner, catalog)
		return host, host != "" && !slices.Contains(c.asked, host)
	}
	servers := catalog.ByService(c.r.service.Name)
	if len(servers) == 0 {
		return "", false
	}
	first := rand.IntN(len(servers))
	for i := range servers {
		e := servers[(first+i)%len(servers)]
		if e.Draining || slices.Contains(c.excluded, e.ID) {
			continue
		}
		if host := c.coordinators.of(c.r.service, e.ID, catalog); host != "" && !slices.Contains(c.asked, host) {
			return host, true
		}
	}
	return "", false
}

// ask asks one coordinator.
func (c *permitCall) ask(ctx context.Context, host string) permitResult {
	c.asked = append(c.asked, host)
	if host == string(c.host) {
		return c.askHere(ctx)
	}
	address, known := c.coordinators.address(host)
	if !known {
		return permitResult{fallback: fallbackNoCoordinator}
	}
	link, err := c.link(address)
	if err != nil || !link.usable(time.Now()) {
		return permitResult{fallback: fallbackLeftAlone}
	}
	m := c.message()
	for wait := firstPermitWait; ; wait = min(2*wait, maxPermitWait) {
		reply, err := c.call(ctx, link, m, wait)
		switch {
		case err != nil && ctx.Err() != nil:
			return permitResult{}
		case err != nil:
			link.fail(time.Now())
			return permitResult{fallback: fallbackOf(err)}
		case reply.GetGranted() != nil:
			granted := &permit{permits: c.permits, link: link, id: m.GetId()}
			return c.claim(granted, decodeGrant(reply.GetGranted()))
		case reply.GetRefused() != nil:
			return permitResult{decision: decodeRefusal(reply.GetRefused())}
		}
		m.Waiting = true
	}
}

// fallbackOf returns why a call has failed.
func fallbackOf(err error) permitFallback {
	switch status.Code(err) {
	case codes.Unimplemented, codes.FailedPrecondition:
		return fallbackRefuses
	default:
		return fallbackNoAnswer
	}
}

// call makes one call, which also tells ended permits. After a failure the coordinator is told
// that the request needs no permit.
func (c *permitCall) call(ctx context.Context, link *permitLink, m *signal.PermitRequest, wait time.Duration) (*signal.PermitReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+permitCallMargin)
	defer cancel()
	m.LeftMicros = uint64(max(time.Until(c.r.deadline), 0).Microseconds())
	m.SoftLeftMicros = c.req.SoftDeadline.Sub(monotonicNow()).Microseconds()
	m.WaitMicros = uint64(wait.Microseconds())
	m.Released = link.take(maxPiggybacked)
	reply, err := link.client.Acquire(callCtx, m)
	if err != nil {
		link.add(m.Released...)
		canceled := &permit{permits: c.permits, link: link, id: m.GetId()}
		canceled.release(sluice.OutcomeCanceled, 0)
	}
	return reply, err
}

// message returns the request for a permit.
func (c *permitCall) message() *signal.PermitRequest {
	m := &signal.PermitRequest{
		Session: c.session, Id: c.nextID.Add(1), Service: string(c.r.service.Name), Route: string(c.r.route.Name), Priority: int32(c.req.Priority),
		ObjectiveMicros: uint64(max(c.req.Objective, 0).Microseconds()), ResponseBytes: c.req.ResponseBytes, Domain: string(c.domain),
	}
	if c.r.key != nil {
		key := uint32(*c.r.key)
		m.Key = &key
	}
	for _, id := range c.excluded {
		m.Excluded = append(m.Excluded, string(id))
	}
	return m
}

// askHere has this host admit the request as the coordinator.
func (c *permitCall) askHere(ctx context.Context) permitResult {
	req := *c.req
	req.Tried, req.Excluded, req.Domain, req.From = nil, c.excluded, c.domain, c.session
	place, decision, err := c.server.enter(c.r.service.Name, &req)
	if err != nil {
		return permitResult{fallback: fallbackRefuses}
	}
	if decision == nil {
		select {
		case decision = <-place.decided:
			c.server.count(c.r.service.Name, decision)
		case <-ctx.Done():
			c.server.abandon(place)
			return permitResult{}
		}
	}
	if dispatch, ok := decision.(sluice.Dispatch); ok {
		return c.claim(&permit{permits: c.permits, place: place}, dispatch)
	}
	return permitResult{decision: decision}
}

// claim counts the request at the server of a permit.
func (c *permitCall) claim(granted *permit, decision sluice.Dispatch) permitResult {
	endpoint, ok := c.adm.claim(c.req, decision)
	if !ok {
		granted.release(sluice.OutcomeCanceled, 0)
		return permitResult{fallback: fallbackServer}
	}
	return permitResult{decision: sluice.Dispatch{Server: endpoint}, permit: granted}
}
