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
	// placerTickInterval is the time between two looks of the placer at what is due.
	placerTickInterval = 40 * time.Millisecond
	// loadInterval is the time over which load is counted, that of a report.
	loadInterval = reportInterval
	// actionWorkers bounds the orders under way. Servers that do not answer take
	// one each until their order times out.
	actionWorkers = 24
	// grantHold rides out a change of the placer: the lease, a claim, and the
	// time since the last grant. A server that is lost keeps its keys for as
	// long.
	grantHold = 3500 * time.Millisecond
	// grantRenewInterval is the time between two grants of the same keys.
	grantRenewInterval = 700 * time.Millisecond
	// holdMargin covers the time that a grant takes to arrive.
	holdMargin = 250 * time.Millisecond
	// minStartupWait and firstSettleMost let the servers appear before the first
	// assignment, which is free of moves.
	minStartupWait = time.Second
	maxStartupWait = 4 * time.Second
	// balanceInterval is the time between two looks at the load.
	balanceInterval = time.Second
	// minWriteInterval lets the releases of one write, which end one after the other,
	// be followed by few writes. Requests for the keys wait for up to 0.7 s.
	minWriteInterval = 60 * time.Millisecond
	// slownessHalfLifeAnswers is the number of answers after which old ones count for half
	// in a server's speed. Times of answers spread by about a third.
	slownessHalfLifeAnswers = 20
)

// termRunner is the work of one term. It goes on for a while after the lease has
// ended: the record of the owners holds as long as nobody can change it, so
// their grants are renewed.
type termRunner struct {
	election *election
	term     *term
	// cancel stops the shift; done is closed when none of its orders is under way.
	cancel context.CancelFunc
	done   chan struct{}
	// wake is signalled after a change of the views.
	wake    chan struct{}
	events  chan assignerEvent
	actions chan assignerAction
	workers sync.WaitGroup
	// predecessorsEnded brings the moment at which all earlier placers were known
	// to have ended, and predecessorUntil is the latest at which an order of
	// theirs may arrive.
	predecessorsEnded chan mooring.Instant
	predecessorUntil  mooring.Instant
	writesAllowed     bool
	assigners         map[fairway.ServiceName]*mooring.Assigner
	// slowness has the smoothed times of the servers' answers, as a part of the
	// usual time of their service.
	slowness   map[fairway.ServerID]float64
	observedAt time.Time
}

type assignerEvent struct {
	service fairway.ServiceName
	event   mooring.Event
}

type assignerAction struct {
	service fairway.ServiceName
	action  mooring.Action
}

func newTermRunner(p *election, t *term, end context.CancelFunc) *termRunner {
	return &termRunner{
		election:          p,
		term:              t,
		cancel:            end,
		done:              make(chan struct{}),
		wake:              make(chan struct{}, 1),
		events:            make(chan assignerEvent, 4*actionWorkers),
		actions:           make(chan assignerAction, 1024),
		predecessorsEnded: make(chan mooring.Instant, 1),
		predecessorUntil:  t.predecessorUntil(),
		writesAllowed:     true,
		assigners:         make(map[fairway.ServiceName]*mooring.Assigner),
		slowness:          make(map[fairway.ServerID]float64),
		observedAt:        time.Now(),
	}
}

// run steps the keepers until the term ends or another placer is known.
func (s *termRunner) run(ctx context.Context) {
	s.election.logs.placerTerm("began", s.term.revision)
	defer func() {
		s.cancel()
		s.workers.Wait()
		s.election.ended(s)
		close(s.done)
		s.election.logs.placerTerm("ended", s.term.revision)
	}()
	s.election.loadCollector.takeReported()
	s.workers.Go(func() { s.term.run(ctx) })
	succession := &takeover{term: s.term, ended: s.predecessorsEnded, logs: s.election.logs}
	s.workers.Go(func() { succession.run(ctx) })
	for range actionWorkers {
		w := &actionWorker{termRunner: s}
		s.workers.Go(func() { w.run(ctx) })
	}
	ticker := time.NewTicker(placerTickInterval)
	defer ticker.Stop()
	s.updateServers(ctx)
	for !s.mustStop() {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			s.step(ctx, e.service, e.event)
		case <-s.wake:
			s.updateServers(ctx)
		case at := <-s.predecessorsEnded:
			s.predecessorUntil = at
			s.stepAll(ctx, mooring.PredecessorEnded{At: at})
		case <-ticker.C:
			s.updateWritesAllowed(ctx)
			s.updateLoad(ctx)
			s.stepAll(ctx, mooring.Tick{})
		}
	}
}

// mustStop reports whether this host must not act as the placer any more.
func (s *termRunner) mustStop() bool {
	if !s.term.mayOrder() {
		return true
	}
	placer := s.election.clusterState.currentPlacer()
	return placer.address != "" && placer.revision > s.term.revision
}

// updateWritesAllowed tells the keepers when the term loses or regains the store.
func (s *termRunner) updateWritesAllowed(ctx context.Context) {
	writing := s.term.mayWrite()
	if writing == s.writesAllowed {
		return
	}
	s.writesAllowed = writing
	event := "lost_store"
	if writing {
		event = "regained_store"
	}
	s.election.logs.placerTerm(event, s.term.revision)
	s.stepAll(ctx, mooring.WritesAllowed{Allowed: writing})
}

func (s *termRunner) stepAll(ctx context.Context, e mooring.Event) {
	for service := range s.assigners {
		s.step(ctx, service, e)
	}
}

// updateServers brings the views to the keepers.
func (s *termRunner) updateServers(ctx context.Context) {
	config := s.election.clusterState.activeConfig.Current()
	if config == nil {
		return
	}
	hold := min(grantHold, s.election.maxHold)
	// A server at the address of an owner proves that the owner has ended. An
	// entry that names no service of ours was not written by a server.
	sightings := s.election.clusterState.catalog().DefinedIn(config)
	for _, service := range config.DividedServices() {
		if s.assigners[service] == nil {
			s.assigners[service] = mooring.NewAssigner(mooring.AssignerConfig{
				Service:          service,
				Now:              s.term.began,
				PredecessorUntil: s.predecessorUntil,
				Timing: mooring.Timing{
					Hold: hold, RenewInterval: grantRenewInterval, HoldMargin: holdMargin, RebalanceInterval: balanceInterval,
					InitialDelay: minStartupWait, MaxInitialDelay: maxStartupWait, MinWriteInterval: minWriteInterval,
				},
			})
		}
		s.step(ctx, service, mooring.CatalogUpdated{Catalog: sightings})
	}
}

// updateLoad brings the measured load to the keepers.
func (s *termRunner) updateLoad(ctx context.Context) {
	over := time.Since(s.observedAt)
	if over < loadInterval {
		return
	}
	s.observedAt = time.Now()
	requests, paces := s.election.loadCollector.takeReported()
	for id, p := range paces {
		s.slowness[id] = smoothSlowness(s.slowness[id], p)
	}
	catalog := s.election.clusterState.catalog()
	maps.DeleteFunc(s.slowness, func(id fairway.ServerID, _ float64) bool {
		_, listed := catalog.Get(id)
		return !listed
	})
	for service := range s.assigners {
		speeds := make(map[fairway.ServerID]float64)
		answered := make(map[fairway.ServerID]bool)
		for _, sighting := range catalog.ByService(service) {
			answered[sighting.ID] = paces[sighting.ID].answers > 0
			if slowness := s.slowness[sighting.ID]; slowness > 0 {
				speeds[sighting.ID] = 1 / slowness
			}
		}
		s.step(ctx, service, mooring.LoadReported{Requests: requests[service], Interval: over, Answered: answered, Speeds: speeds})
	}
}

// smoothSlowness takes new answers into a server's slowness.
func smoothSlowness(old float64, p serverStats) float64 {
	if p.answers == 0 {
		return old
	}
	fresh := p.slowness / float64(p.answers)
	if old == 0 {
		return fresh
	}
	weight := float64(p.answers) / float64(p.answers+slownessHalfLifeAnswers)
	return old + weight*(fresh-old)
}

// step steps a keeper and hands its actions to the workers.
func (s *termRunner) step(ctx context.Context, service fairway.ServiceName, e mooring.Event) {
	keeper := s.assigners[service]
	if keeper == nil {
		return
	}
	for _, action := range keeper.Step(bootTimeNow(), e) {
		select {
		case s.actions <- assignerAction{service: service, action: action}:
		case <-ctx.Done():
			return
		}
	}
}

// actionWorker carries out the actions of the keepers.
type actionWorker struct {
	termRunner *termRunner
}

func (w *actionWorker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-w.termRunner.actions:
			e := w.execute(ctx, o)
			select {
			case w.termRunner.events <- assignerEvent{service: o.service, event: e}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (w *actionWorker) execute(ctx context.Context, o assignerAction) mooring.Event {
	switch a := o.action.(type) {
	case mooring.LoadTable:
		return w.load(ctx, o.service)
	case mooring.WriteTable:
		return w.write(ctx, o.service, a)
	case mooring.SendOrder:
		return w.termRunner.election.sender.send(ctx, w.termRunner.term, a.Order)
	default:
		return mooring.Tick{}
	}
}

// load reads the recorded table, again and again until the store answers.
func (w *actionWorker) load(ctx context.Context, service fairway.ServiceName) mooring.Event {
	p := w.termRunner.election
	for retry := watchRetryDelay; ; retry = min(2*retry, maxWatchRetryDelay) {
		entry, err := p.store.Get(ctx, tableKey(service))
		switch {
		case err == nil:
			table, derr := mooring.Decode(entry.Value)
			if derr == nil {
				return mooring.TableLoaded{Table: table, Revision: mooring.StoreRevision(entry.Revision)}
			}
			p.logs.operationFailed("load table", derr)
		case ledger.IsKind(err, ledger.KindNotFound):
			return mooring.TableLoaded{}
		default:
			p.logs.operationFailed("load table", err)
		}
		pause(ctx, retry)
		if ctx.Err() != nil {
			return mooring.Tick{}
		}
	}
}

// write records a table, on condition that this host is still the placer.
func (w *actionWorker) write(ctx context.Context, service fairway.ServiceName, a mooring.WriteTable) mooring.Event {
	p := w.termRunner.election
	if !w.termRunner.term.mayWrite() {
		return mooring.WriteFailed{}
	}
	data, err := a.Table.Encode()
	if err != nil {
		p.logs.operationFailed("write table", err)
		return mooring.WriteFailed{}
	}
	revision, err := p.store.Commit(ctx, ledger.Txn{
		Expect: []ledger.Expectation{
			{Key: placerKey, Revision: w.termRunner.term.revision},
			{Key: tableKey(service), Revision: ledger.Revision(a.Revision)},
		},
		Put: []ledger.Write{{Key: tableKey(service), Value: data}},
	})
	if err != nil {
		p.logs.operationFailed("write table", err)
		return mooring.WriteFailed{}
	}
	p.logs.keysMoved(service, a.Moves, revision)
	p.metrics.keysMoved(service, a.Moves)
	if p.admissions.ownersOf(service).update(monotonicNow(), a.Table, mooring.StoreRevision(revision)) {
		for _, d := range p.admissions.all() {
			d.reevaluate()
		}
	}
	return mooring.WriteSucceeded{Revision: mooring.StoreRevision(revision)}
}
