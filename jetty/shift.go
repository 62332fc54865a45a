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
	// placerTick is the time between two looks of the placer at what is due.
	placerTick = 40 * time.Millisecond
	// observeEvery is the time over which load is counted, that of a report.
	observeEvery = reportEvery
	// orderWorkers bounds the orders under way. Servers that do not answer take
	// one each until their order times out.
	orderWorkers = 24
	// grantHold rides out a change of the placer: the lease, a claim, and the
	// time since the last grant. A server that is lost keeps its keys for as
	// long.
	grantHold = 3500 * time.Millisecond
	// grantRenew is the time between two grants of the same keys.
	grantRenew = 700 * time.Millisecond
	// holdMargin covers the time that a grant takes to arrive.
	holdMargin = 250 * time.Millisecond
	// firstSettle and firstSettleMost let the servers appear before the first
	// assignment, which is free of moves.
	firstSettle     = time.Second
	firstSettleMost = 4 * time.Second
	// balanceEvery is the time between two looks at the load.
	balanceEvery = time.Second
	// writeGap lets the releases of one write, which end one after the other,
	// be followed by few writes. Requests for the keys wait for up to 0.7 s.
	writeGap = 60 * time.Millisecond
	// paceAnswers is the number of answers after which old ones count for half
	// in a server's speed. Times of answers spread by about a third.
	paceAnswers = 20
)

// shift is the work of one term. It goes on for a while after the lease has
// ended: the record of the owners holds as long as nobody can change it, so
// their grants are renewed.
type shift struct {
	placer *placer
	term   *term
	// end stops the shift; done is closed when none of its orders is under way.
	end  context.CancelFunc
	done chan struct{}
	// wake is signalled after a change of the views.
	wake    chan struct{}
	events  chan keeperEvent
	orders  chan keeperOrder
	workers sync.WaitGroup
	// predecessorsEnded brings the moment at which all earlier placers were known
	// to have ended, and predecessorUntil is the latest at which an order of
	// theirs may arrive.
	predecessorsEnded chan mooring.Instant
	predecessorUntil  mooring.Instant
	writing           bool
	keepers           map[fairway.ServiceName]*mooring.Keeper
	// slowness has the smoothed times of the servers' answers, as a part of the
	// usual time of their service.
	slowness   map[fairway.ServerID]float64
	observedAt time.Time
}

type keeperEvent struct {
	service fairway.ServiceName
	event   mooring.Event
}

type keeperOrder struct {
	service fairway.ServiceName
	action  mooring.Action
}

func newShift(p *placer, t *term, end context.CancelFunc) *shift {
	return &shift{
		placer:            p,
		term:              t,
		end:               end,
		done:              make(chan struct{}),
		wake:              make(chan struct{}, 1),
		events:            make(chan keeperEvent, 4*orderWorkers),
		orders:            make(chan keeperOrder, 1024),
		predecessorsEnded: make(chan mooring.Instant, 1),
		predecessorUntil:  t.predecessorUntil(),
		writing:           true,
		keepers:           make(map[fairway.ServiceName]*mooring.Keeper),
		slowness:          make(map[fairway.ServerID]float64),
		observedAt:        time.Now(),
	}
}

// run steps the keepers until the term ends or another placer is known.
func (s *shift) run(ctx context.Context) {
	s.placer.logs.term("began", s.term.revision)
	defer func() {
		s.end()
		s.workers.Wait()
		s.placer.ended(s)
		close(s.done)
		s.placer.logs.term("ended", s.term.revision)
	}()
	s.placer.loads.drain()
	s.workers.Go(func() { s.term.run(ctx) })
	succession := &succession{term: s.term, ended: s.predecessorsEnded, logs: s.placer.logs}
	s.workers.Go(func() { succession.run(ctx) })
	for range orderWorkers {
		w := &orderWorker{shift: s}
		s.workers.Go(func() { w.run(ctx) })
	}
	ticker := time.NewTicker(placerTick)
	defer ticker.Stop()
	s.look(ctx)
	for !s.over() {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			s.step(ctx, e.service, e.event)
		case <-s.wake:
			s.look(ctx)
		case at := <-s.predecessorsEnded:
			s.predecessorUntil = at
			s.stepAll(ctx, mooring.PredecessorEnded{At: at})
		case <-ticker.C:
			s.checkWriting(ctx)
			s.observe(ctx)
			s.stepAll(ctx, mooring.Tick{})
		}
	}
}

// over reports whether this host must not act as the placer any more.
func (s *shift) over() bool {
	if !s.term.mayOrder() {
		return true
	}
	placer := s.placer.views.currentPlacer()
	return placer.address != "" && placer.revision > s.term.revision
}

// checkWriting tells the keepers when the term loses or regains the store.
func (s *shift) checkWriting(ctx context.Context) {
	writing := s.term.mayWrite()
	if writing == s.writing {
		return
	}
	s.writing = writing
	event := "lost_store"
	if writing {
		event = "regained_store"
	}
	s.placer.logs.term(event, s.term.revision)
	s.stepAll(ctx, mooring.WritesAllowed{Allowed: writing})
}

func (s *shift) stepAll(ctx context.Context, e mooring.Event) {
	for service := range s.keepers {
		s.step(ctx, service, e)
	}
}

// look brings the views to the keepers.
func (s *shift) look(ctx context.Context) {
	config := s.placer.views.book.Current()
	if config == nil {
		return
	}
	hold := min(grantHold, s.placer.maxHold)
	// A server at the address of an owner proves that the owner has ended. An
	// entry that names no service of ours was not written by a server.
	sightings := s.placer.views.catalog().Within(config)
	for _, service := range config.Divided() {
		if s.keepers[service] == nil {
			s.keepers[service] = mooring.NewKeeper(mooring.KeeperConfig{
				Service:          service,
				Now:              s.term.began,
				PredecessorUntil: s.predecessorUntil,
				Timing: mooring.Timing{
					Hold: hold, Renew: grantRenew, Margin: holdMargin, Balance: balanceEvery,
					Settle: firstSettle, SettleMost: firstSettleMost, WriteGap: writeGap,
				},
			})
		}
		s.step(ctx, service, mooring.Sighted{Catalog: sightings})
	}
}

// observe brings the measured load to the keepers.
func (s *shift) observe(ctx context.Context) {
	over := time.Since(s.observedAt)
	if over < observeEvery {
		return
	}
	s.observedAt = time.Now()
	requests, paces := s.placer.loads.drain()
	for id, p := range paces {
		s.slowness[id] = smoothed(s.slowness[id], p)
	}
	catalog := s.placer.views.catalog()
	maps.DeleteFunc(s.slowness, func(id fairway.ServerID, _ float64) bool {
		_, listed := catalog.Get(id)
		return !listed
	})
	for service := range s.keepers {
		speeds := make(map[fairway.ServerID]float64)
		answered := make(map[fairway.ServerID]bool)
		for _, sighting := range catalog.Of(service) {
			answered[sighting.ID] = paces[sighting.ID].answers > 0
			if slowness := s.slowness[sighting.ID]; slowness > 0 {
				speeds[sighting.ID] = 1 / slowness
			}
		}
		s.step(ctx, service, mooring.Observed{Requests: requests[service], Over: over, Answered: answered, Speeds: speeds})
	}
}

// smoothed takes new answers into a server's slowness.
func smoothed(old float64, p pace) float64 {
	if p.answers == 0 {
		return old
	}
	fresh := p.slowness / float64(p.answers)
	if old == 0 {
		return fresh
	}
	weight := float64(p.answers) / float64(p.answers+paceAnswers)
	return old + weight*(fresh-old)
}

// step steps a keeper and hands its actions to the workers.
func (s *shift) step(ctx context.Context, service fairway.ServiceName, e mooring.Event) {
	keeper := s.keepers[service]
	if keeper == nil {
		return
	}
	for _, action := range keeper.Step(bootNow(), e) {
		select {
		case s.orders <- keeperOrder{service: service, action: action}:
		case <-ctx.Done():
			return
		}
	}
}

// orderWorker carries out the actions of the keepers.
type orderWorker struct {
	shift *shift
}

func (w *orderWorker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-w.shift.orders:
			e := w.carryOut(ctx, o)
			select {
			case w.shift.events <- keeperEvent{service: o.service, event: e}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (w *orderWorker) carryOut(ctx context.Context, o keeperOrder) mooring.Event {
	switch a := o.action.(type) {
	case mooring.Load:
		return w.load(ctx, o.service)
	case mooring.Write:
		return w.write(ctx, o.service, a)
	case mooring.Send:
		return w.shift.placer.sender.send(ctx, w.shift.term, a.Order)
	default:
		return mooring.Tick{}
	}
}

// load reads the recorded table, again and again until the store answers.
func (w *orderWorker) load(ctx context.Context, service fairway.ServiceName) mooring.Event {
	p := w.shift.placer
	for retry := watchRetry; ; retry = min(2*retry, maxWatchRetry) {
		entry, err := p.store.Get(ctx, tableKey(service))
		switch {
		case err == nil:
			table, derr := mooring.Decode(entry.Value)
			if derr == nil {
				return mooring.Loaded{Table: table, Revision: mooring.StoreRevision(entry.Revision)}
			}
			p.logs.failure("load table", derr)
		case ledger.IsKind(err, ledger.KindNotFound):
			return mooring.Loaded{}
		default:
			p.logs.failure("load table", err)
		}
		pause(ctx, retry)
		if ctx.Err() != nil {
			return mooring.Tick{}
		}
	}
}

// write records a table, on condition that this host is still the placer.
func (w *orderWorker) write(ctx context.Context, service fairway.ServiceName, a mooring.Write) mooring.Event {
	p := w.shift.placer
	if !w.shift.term.mayWrite() {
		return mooring.WriteFailed{}
	}
	data, err := a.Table.Encode()
	if err != nil {
		p.logs.failure("write table", err)
		return mooring.WriteFailed{}
	}
	revision, err := p.store.Commit(ctx, ledger.Txn{
		Expect: []ledger.Expectation{
			{Key: placerKey, Revision: w.shift.term.revision},
			{Key: tableKey(service), Revision: ledger.Revision(a.Revision)},
		},
		Put: []ledger.Write{{Key: tableKey(service), Value: data}},
	})
	if err != nil {
		p.logs.failure("write table", err)
		return mooring.WriteFailed{}
	}
	p.logs.moved(service, a.Moves, revision)
	p.metrics.moved(service, a.Moves)
	if p.desks.ownersOf(service).update(steadyNow(), a.Table, mooring.StoreRevision(revision)) {
		for _, d := range p.desks.all() {
			d.sweep()
		}
	}
	return mooring.Recorded{Revision: mooring.StoreRevision(revision)}
}
