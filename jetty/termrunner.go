package jetty

import (
	"context"
	"maps"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

const (
	// placerTickInterval is the time between two [mooring.Tick] events.
	placerTickInterval = 40 * time.Millisecond
	// loadInterval is the minimum time over which load is counted; hosts report as
	// often.
	loadInterval = reportInterval
	// grantHold is how long a grant is valid. It covers a change of the placer:
	// the expiry of the lease, a claim, and the time since the last grant. The
	// keys of a failed server stay with it for as long.
	grantHold = 3500 * time.Millisecond
	// grantRenewInterval is the time between two grants of the same keys.
	grantRenewInterval = 700 * time.Millisecond
	// holdMargin covers the time that a grant takes to reach the server.
	holdMargin = 250 * time.Millisecond
	// minStartupWait and maxStartupWait bound the wait before the first assignment,
	// in which servers register. The first assignment needs no moves.
	minStartupWait = time.Second
	maxStartupWait = 4 * time.Second
	// balanceInterval is the time between two checks whether the load calls for
	// moves.
	balanceInterval = time.Second
	// minWriteInterval is the minimum time between two writes. The releases that
	// follow a write complete one after the other; this lets one write record
	// several of them. Requests for the released keys wait for up to 0.7 s.
	minWriteInterval = 60 * time.Millisecond
	// slownessHalfLifeResponses is the number of responses after which earlier ones
	// have half their weight in a server's slowness. Response times vary by about
	// a third.
	slownessHalfLifeResponses = 20
)

// termRunner does the work of the placer for one term. It continues after the
// lease has expired, until orderGracePeriod has passed or another placer is known:
// the recorded owners remain valid as long as no other host can change them, so
// their grants are renewed.
type termRunner struct {
	election *election
	term     *term
	// cancel stops the runner; done is closed when none of its orders is in
	// flight.
	cancel context.CancelFunc
	done   chan struct{}
	// wake receives a signal after a change of the cluster state.
	wake    chan struct{}
	events  chan assignerEvent
	actions *actionQueue
	workers sync.WaitGroup
	// predecessorsEnded receives the instant at which the terms of all earlier
	// placers were confirmed to have ended. predecessorUntil is the latest instant
	// at which an order of theirs may arrive.
	predecessorsEnded chan mooring.Instant
	predecessorUntil  mooring.Instant
	// writesAllowed is the last result of term.mayWrite that the assigners have
	// received.
	writesAllowed bool
	assigners     map[fairway.ServiceName]*mooring.Assigner
	// recalled receives what other hosts know of earlier eras, and recalledEvents has what was
	// received so far.
	recalled       chan assignerEvent
	recalledEvents []assignerEvent
	// slowness is the smoothed response time of each server, relative to the mean
	// on the same routes.
	slowness map[fairway.ServerID]float64
	// observedAt is when the load was last read.
	observedAt time.Time
	// path has what the orders show about the path to the servers, and pathLost the
	// last result that the assigners have received.
	path     *pathEvidence
	pathLost bool
}

// assignerEvent is an event for the assigner of a service.
type assignerEvent struct {
	service fairway.ServiceName
	event   mooring.Event
}

// assignerAction is an action that the assigner of a service has returned.
type assignerAction struct {
	service fairway.ServiceName
	action  mooring.Action
}

func newTermRunner(e *election, t *term, cancel context.CancelFunc) *termRunner {
	return &termRunner{
		election:          e,
		term:              t,
		cancel:            cancel,
		done:              make(chan struct{}),
		wake:              make(chan struct{}, 1),
		events:            make(chan assignerEvent, 4*actionWorkers),
		actions:           newActionQueue(),
		predecessorsEnded: make(chan mooring.Instant, 1),
		predecessorUntil:  t.predecessorUntil(),
		recalled:          make(chan assignerEvent, maxTellingHosts),
		writesAllowed:     true,
		assigners:         make(map[fairway.ServiceName]*mooring.Assigner),
		slowness:          make(map[fairway.ServerID]float64),
		observedAt:        time.Now(),
		path:              newPathEvidence(t.began),
	}
}

// run passes events to the assigners until the term ends or another placer is
// known.
func (r *termRunner) run(ctx context.Context) {
	r.election.logs.placerTermBegan(r.term)
	defer func() {
		r.cancel()
		r.workers.Wait()
		for service := range r.assigners {
			r.election.loadCollector.setGranted(service, nil)
		}
		r.election.ended(r)
		close(r.done)
		r.election.logs.placerTerm("ended", r.term.revision)
	}()
	state := r.election.clusterState
	if r.election.carriers != nil {
		r.election.loadCollector.continueCarriers(r.election.carriers.current().services)
	}
	if r.election.coordinators != nil {
		r.election.loadCollector.continueCoordinators(len(r.election.coordinators.current().coordinators))
	}
	r.election.loadCollector.beginTerm(time.Now(), state.knownHostCount(), state.reachingCount())
	r.goRecovered(ctx, r.term.run)
	takeover := &takeover{term: r.term, ended: r.predecessorsEnded, logs: r.election.logs}
	r.goRecovered(ctx, takeover.run)
	if restored, knownAt := r.restored(); restored && r.term.continued == nil {
		recall := &termRecall{
			loadCollector: r.election.loadCollector, logs: r.election.logs, address: r.election.address,
			era: r.term.revision.Era(), until: knownAt, events: r.recalled,
		}
		r.goRecovered(ctx, recall.run)
	}
	if r.election.crashes != nil {
		store := &crashStore{crashes: r.election.crashes, term: r.term, logs: r.election.logs}
		r.goRecovered(ctx, store.run)
	}
	for range actionWorkers {
		w := &actionWorker{termRunner: r}
		r.goRecovered(ctx, w.run)
	}
	ticker := time.NewTicker(placerTickInterval)
	defer ticker.Stop()
	r.updateServers()
	for !r.mustStop() {
		select {
		case <-ctx.Done():
			return
		case event := <-r.events:
			r.handle(event)
		case <-r.wake:
			r.updateServers()
		case e := <-r.recalled:
			r.recalledEvents = append(r.recalledEvents, e)
			r.step(e.service, e.event)
		case at := <-r.predecessorsEnded:
			r.predecessorUntil = at
			r.stepAll(mooring.PredecessorEnded{At: at})
		case <-ticker.C:
			r.updateWritesAllowed()
			r.updateLoad()
			r.updatePathLost()
			if r.resigned(ctx) {
				return
			}
			r.stepAll(mooring.Tick{})
		}
	}
	if r.eraEnded() {
		r.term.recordRestore()
	}
}

// maxEvents is the number of events that are planned for at once.
const maxEvents = 4 * actionWorkers

// handle passes an event on to its assigner, together with those of the same service that
// have arrived after it. They stay in order, also with a change of the path to the servers.
func (r *termRunner) handle(next assignerEvent) {
	service := next.service
	var events []mooring.Event
	for {
		pathChanged := r.recordOrder(next.event)
		if len(events) > 0 && (pathChanged || next.service != service) {
			r.step(service, events...)
			events = events[:0]
		}
		if pathChanged {
			r.updatePathLost()
		}
		service, events = next.service, append(events, next.event)
		if len(events) == maxEvents {
			break
		}
		select {
		case next = <-r.events:
			continue
		default:
		}
		break
	}
	r.step(service, events...)
}

// goRecovered starts a part of the term, which ends with the term, and ends it if it panics.
func (r *termRunner) goRecovered(ctx context.Context, run func(context.Context)) {
	r.workers.Go(func() {
		defer r.election.recoverer.at(placeTerm, r.cancel)
		run(ctx)
	})
}

// mustStop reports whether this host must no longer act as the placer.
func (r *termRunner) mustStop() bool {
	if !r.term.mayOrder() {
		return true
	}
	placer := r.election.clusterState.currentPlacer()
	return r.eraEnded() || placer.address != "" && placer.revision > r.term.revision
}

// eraEnded reports whether this host has read a record of the placer of a later era.
func (r *termRunner) eraEnded() bool {
	return r.election.clusterState.currentPlacer().revision.Era() > r.term.revision.Era()
}

// former returns the term and its tables, for the next term of this host. The runner must
// have ended.
func (r *termRunner) former() *formerTerm {
	f := &formerTerm{term: r.term, tables: make(map[fairway.ServiceName]*mooring.Table)}
	for service, assigner := range r.assigners {
		if table := assigner.Table(); table != nil {
			f.tables[service] = table
		}
	}
	return f
}

// updateWritesAllowed notifies the assigners when the term loses or regains the
// right to write to the store.
func (r *termRunner) updateWritesAllowed() {
	writesAllowed := r.term.mayWrite()
	if writesAllowed == r.writesAllowed {
		return
	}
	r.writesAllowed = writesAllowed
	event := "lost_store"
	if writesAllowed {
		event = "regained_store"
	}
	r.election.logs.placerTerm(event, r.term.revision)
	r.stepAll(mooring.WritesAllowed{Allowed: writesAllowed})
}

// recordOrder takes a completed order as evidence of the path to the servers.
func (r *termRunner) recordOrder(e mooring.Event) (pathChanged bool) {
	completed, ok := e.(mooring.OrderCompleted)
	if !ok {
		return false
	}
	r.path.record(completed)
	return r.path.lost(bootTimeNow(), r.election.clusterState.catalog()) != r.pathLost
}

// updatePathLost notifies the assigners when the path to the servers is lost or there
// again.
func (r *termRunner) updatePathLost() {
	lost := r.path.lost(bootTimeNow(), r.election.clusterState.catalog())
	if lost == r.pathLost {
		return
	}
	r.pathLost = lost
	event := "regained_servers"
	if lost {
		event = "lost_servers"
	}
	r.election.logs.placerTerm(event, r.term.revision)
	r.stepAll(mooring.PathLost{Lost: lost})
}

// resigned ends the term if this host has lost the path to the servers, or to most of
// them, and another one has not. It reports whether it has.
func (r *termRunner) resigned(ctx context.Context) bool {
	ordersFail, answersOthers := r.lostPathAlone()
	if !r.election.mustResign(r.term.began, ordersFail, answersOthers) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, leaseRenewInterval)
	defer cancel()
	if r.term.resign(ctx) != nil {
		return false
	}
	r.election.recordResignation()
	r.election.logs.placerTerm("resigned", r.term.revision)
	return true
}

// lostPathAlone reports whether orders to most servers fail, and whether these servers
// answer other hosts. Where hosts have no requests, the connections that servers accept
// have to tell; a suspended server accepts them too, but then this host is not cut.
func (r *termRunner) lostPathAlone() (ordersFail, answersOthers bool) {
	collector, address := r.election.loadCollector, r.election.address
	if failing := r.path.mostFailing(r.election.clusterState.catalog()); failing != nil {
		ordersFail = true
		answersOthers = 2*collector.respondingSince(failing, address) >= len(failing)
	}
	if !answersOthers && r.pathLost && r.election.reach.cut() {
		ordersFail = true
		answersOthers = collector.answeringSince(r.path.failedSince(), address) >= minFailedServers
	}
	return ordersFail, answersOthers
}

func (r *termRunner) stepAll(e mooring.Event) {
	for service := range r.assigners {
		r.step(service, e)
	}
}

// updateServers passes the catalog to the assigners. It creates the assigners of
// new services.
func (r *termRunner) updateServers() {
	config := r.election.clusterState.activeConfig.Current()
	if config == nil {
		return
	}
	hold := min(grantHold, r.election.maxHold)
	// Another server at the address of an owner proves that the owner has ended.
	// This must not follow from a registration for a service that the
	// configuration does not define, since no backend server wrote it.
	catalog := r.election.notices.withLeaving(r.election.clusterState.catalog().DefinedIn(config))
	for _, service := range config.DividedServices() {
		if r.assigners[service] == nil {
			r.assigners[service] = mooring.NewAssigner(mooring.AssignerConfig{
				Service:          service,
				Now:              r.term.began,
				PredecessorUntil: r.predecessorUntil,
				Era:              mooring.Era(r.term.revision.Era()),
				Recovery:         r.recovery(service),
				Timing: mooring.Timing{
					Hold: hold, RenewInterval: grantRenewInterval, HoldMargin: holdMargin, RebalanceInterval: balanceInterval,
					InitialDelay: minStartupWait, MaxInitialDelay: maxStartupWait, MinWriteInterval: minWriteInterval,
				},
			})
			if r.pathLost {
				r.step(service, mooring.PathLost{Lost: true})
			}
			for _, e := range r.recalledEvents {
				if e.service == service {
					r.step(service, e.event)
				}
			}
		}
		r.step(service, mooring.CatalogUpdated{Catalog: catalog})
	}
}

// recovery returns what this host knows of a service's assignments that the store may
// have forgotten.
func (r *termRunner) recovery(service fairway.ServiceName) mooring.Recovery {
	var recovery mooring.Recovery
	recovery.Restored, recovery.ServersKnownAt = r.restored()
	if known := r.election.admissions.ownersOf(service).current.Load(); known != nil {
		recovery.KnownTable = known.table
	}
	if r.election.memory != nil {
		recovery.KnownServers = r.election.memory.serversBefore(r.term.revision.Era(), service)
	}
	if r.term.continued != nil {
		recovery.EarlierTable = r.term.continued.tables[service]
	}
	return recovery
}

// restored reports whether the store may have come back from an older copy before the term,
// and when all running servers have registered again.
func (r *termRunner) restored() (restored bool, serversKnownAt mooring.Instant) {
	if at, seen := r.election.clusterState.restored(); seen {
		return true, at.Add(reregisterTimeout)
	}
	// A host that has started since the restore does not know when it was.
	return r.term.fence.restored, r.term.began.Add(reregisterTimeout)
}

// updateLoad passes the reported load to the assigners once each loadInterval.
func (r *termRunner) updateLoad() {
	interval := time.Since(r.observedAt)
	if interval < loadInterval {
		return
	}
	r.observedAt = time.Now()
	requests, stats := r.election.loadCollector.takeReported()
	for id, st := range stats {
		r.slowness[id] = smoothSlowness(r.slowness[id], st)
	}
	catalog := r.election.clusterState.catalog()
	r.decideCarriers(requests, catalog, interval)
	r.decideCoordinators(stats, catalog, interval)
	r.actions.forget(catalog)
	maps.DeleteFunc(r.slowness, func(id fairway.ServerID, _ float64) bool {
		_, listed := catalog.Get(id)
		return !listed
	})
	for service := range r.assigners {
		speeds := make(map[fairway.ServerID]float64)
		responsive := make(map[fairway.ServerID]bool)
		for _, endpoint := range catalog.ByService(service) {
			responsive[endpoint.ID] = stats[endpoint.ID].responses > 0
			if slowness := r.slowness[endpoint.ID]; slowness > 0 {
				speeds[endpoint.ID] = 1 / slowness
			}
		}
		limits := r.election.limits.limited(service)
		r.election.notices.lowerCapacity(service, speeds, limits)
		r.step(service, mooring.LoadReported{
			Requests: requests[service], Interval: interval, Responsive: responsive, Speeds: speeds, Limits: limits,
		})
	}
}

// decideCarriers decides by the reported load which services have carriers.
func (r *termRunner) decideCarriers(requests map[fairway.ServiceName]map[mooring.Key]int, catalog *fairway.Catalog, interval time.Duration) {
	loads := make(map[fairway.ServiceName]serviceLoad)
	for service := range r.assigners {
		load := serviceLoad{servers: len(catalog.ByService(service)), keepTime: defaultIdleTimeout}
		if r.election.keepTime != nil {
			load.keepTime = r.election.keepTime(service)
		}
		for _, n := range requests[service] {
			load.requests += n
		}
		loads[service] = load
	}
	r.election.loadCollector.decideCarriers(loads, interval)
}

// smoothSlowness returns a server's slowness after new responses.
func smoothSlowness(old float64, st serverStats) float64 {
	if st.responses == 0 {
		return old
	}
	fresh := st.slowness / float64(st.responses)
	if old == 0 {
		return fresh
	}
	weight := float64(st.responses) / float64(st.responses+slownessHalfLifeResponses)
	return old + weight*(fresh-old)
}

// step passes events to an assigner and its actions to the workers.
func (r *termRunner) step(service fairway.ServiceName, events ...mooring.Event) {
	assigner := r.assigners[service]
	if assigner == nil {
		return
	}
	actions := assigner.Step(bootTimeNow(), events...)
	r.election.loadCollector.setGranted(service, assigner.UnrecordedGrants())
	for _, action := range actions {
		r.actions.add(assignerAction{service: service, action: action})
	}
}

// actionWorker executes the actions of the assigners.
type actionWorker struct {
	termRunner *termRunner
}

func (w *actionWorker) run(ctx context.Context) {
	for {
		task, ok := w.termRunner.actions.take(ctx)
		if !ok {
			return
		}
		e := w.execute(ctx, task.assignerAction)
		w.termRunner.actions.done(task, e)
		select {
		case w.termRunner.events <- assignerEvent{service: task.service, event: e}:
		case <-ctx.Done():
			return
		}
	}
}

func (w *actionWorker) execute(ctx context.Context, task assignerAction) mooring.Event {
	switch a := task.action.(type) {
	case mooring.LoadTable:
		return w.load(ctx, task.service)
	case mooring.WriteTable:
		return w.write(ctx, task.service, a)
	case mooring.SendOrder:
		return w.termRunner.election.sender.send(ctx, w.termRunner.term, a.Order)
	default:
		return mooring.Tick{}
	}
}

// load reads the recorded table. It retries until that succeeds. A table of a later era of
// the store is for the next term.
func (w *actionWorker) load(ctx context.Context, service fairway.ServiceName) mooring.Event {
	for retry := storeRetryDelay; ; retry = min(2*retry, maxStoreRetryDelay) {
		loaded, err := w.tryLoad(ctx, service)
		if err == nil {
			return loaded
		}
		w.termRunner.election.logs.operationFailed("load table", err)
		pause(ctx, retry)
		if ctx.Err() != nil {
			return mooring.Tick{}
		}
	}
}

func (w *actionWorker) tryLoad(ctx context.Context, service fairway.ServiceName) (mooring.TableLoaded, error) {
	entries, revision, err := w.termRunner.election.store.Scan(ctx, tableKey(service))
	switch {
	case err != nil:
		return mooring.TableLoaded{}, err
	case revision.Era() != w.termRunner.term.revision.Era():
		return mooring.TableLoaded{}, errTermEnded
	}
	for _, e := range entries {
		if e.Key != tableKey(service) {
			continue
		}
		table, err := mooring.Decode(e.Value)
		return mooring.TableLoaded{Table: table, Revision: mooring.StoreRevision(e.Revision)}, err
	}
	return mooring.TableLoaded{}, nil
}

// write records a table in the store, on condition that this host is still the
// placer and that the table has not changed.
func (w *actionWorker) write(ctx context.Context, service fairway.ServiceName, a mooring.WriteTable) mooring.Event {
	e := w.termRunner.election
	if !w.termRunner.term.mayWrite() {
		return mooring.WriteFailed{}
	}
	data, err := a.Table.Encode()
	if err != nil {
		e.logs.operationFailed("write table", err)
		return mooring.WriteFailed{}
	}
	revision, err := e.store.Commit(ctx, w.termRunner.term.fence.guard(ledger.Txn{
		Expect: []ledger.Expectation{
			{Key: placerKey, Revision: w.termRunner.term.revision},
			{Key: tableKey(service), Revision: ledger.Revision(a.Revision)},
		},
		Put: []ledger.Write{{Key: tableKey(service), Value: data}},
	}))
	if err != nil {
		e.logs.operationFailed("write table", err)
		return mooring.WriteFailed{}
	}
	e.logs.keysMoved(service, a.Moves, revision)
	e.metrics.keysMoved(service, a.Moves)
	if e.admissions.ownersOf(service).update(monotonicNow(), a.Table, mooring.StoreRevision(revision)) {
		for _, adm := range e.admissions.all() {
			adm.reevaluate()
		}
	}
	return mooring.WriteSucceeded{Revision: mooring.StoreRevision(revision)}
}
