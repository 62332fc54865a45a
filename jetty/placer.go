package jetty

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
)

const (
	// claimSpread keeps the hosts from claiming the placer's record all at
	// once. Each claim is two writes.
	claimSpread = 120 * time.Millisecond
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
	// paceAnswers is the number of answers after which old ones count for half
	// in a server's speed. Times of answers spread by about a third.
	paceAnswers = 20
)

// placer runs on every host and is active on the one that has the term.
type placer struct {
	store   ledger.TxnStore
	sender  *orderSender
	views   *views
	desks   *deskSet
	loads   *loads
	logs    *logs
	metrics *metrics
	address string
	ttl     time.Duration
	maxHold time.Duration
	scanned func() bool
	// wake is signalled after a change of the views.
	wake chan struct{}

	mu      sync.Mutex
	current *term
	leaving bool
}

// notify makes the placer look at the views.
func (p *placer) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// active reports whether this host is the placer.
func (p *placer) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current != nil && p.current.valid()
}

// run claims the record whenever there is no placer.
func (p *placer) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-time.After(renewLeaseEvery):
		}
		if !p.vacant() {
			continue
		}
		pause(ctx, time.Duration(rand.Int64N(int64(claimSpread))))
		if !p.vacant() {
			continue
		}
		t, err := claimTerm(ctx, p.store, p.ttl, p.address, p.logs)
		if err != nil {
			if !ledger.IsKind(err, ledger.KindConflict) {
				p.logs.failure("claim placer record", err)
			}
			continue
		}
		p.serve(ctx, t)
	}
}

// vacant reports whether there is no placer, as far as this host knows.
func (p *placer) vacant() bool {
	p.mu.Lock()
	leaving := p.leaving
	p.mu.Unlock()
	return !leaving && p.scanned() && p.views.currentPlacer().address == "" && p.views.book.Current() != nil
}

// leave gives the term up, for the shutdown of this host.
func (p *placer) leave(ctx context.Context) {
	p.mu.Lock()
	p.leaving = true
	t := p.current
	p.mu.Unlock()
	if t != nil {
		t.resign(ctx)
	}
}

// serve runs the keepers until the term ends.
func (p *placer) serve(ctx context.Context, t *term) {
	p.logs.term("began", t.revision)
	p.views.setPlacer(placerView{address: p.address, revision: t.revision})
	p.mu.Lock()
	p.current = t
	p.mu.Unlock()
	tctx, end := context.WithCancel(ctx)
	go t.run(tctx, end)
	s := &shift{placer: p, term: t, events: make(chan keeperEvent, 4*orderWorkers), orders: make(chan keeperOrder, 1024)}
	s.run(tctx)
	end()
	p.mu.Lock()
	p.current = nil
	p.mu.Unlock()
	p.logs.term("ended", t.revision)
}

// shift is the work of one term.
type shift struct {
	placer  *placer
	term    *term
	events  chan keeperEvent
	orders  chan keeperOrder
	keepers map[fairway.ServiceName]*mooring.Keeper
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

// run steps the keepers until the term ends.
func (s *shift) run(ctx context.Context) {
	s.keepers = make(map[fairway.ServiceName]*mooring.Keeper)
	s.slowness = make(map[fairway.ServerID]float64)
	s.observedAt = time.Now()
	s.placer.loads.drain()
	for range orderWorkers {
		w := &orderWorker{shift: s}
		go w.run(ctx)
	}
	ticker := time.NewTicker(placerTick)
	defer ticker.Stop()
	s.look(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			s.step(ctx, e.service, e.event)
		case <-s.placer.wake:
			s.look(ctx)
		case <-ticker.C:
			s.observe(ctx)
			for service := range s.keepers {
				s.step(ctx, service, mooring.Tick{})
			}
		}
		if !s.term.valid() {
			return
		}
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
				Service: service,
				Now:     s.term.began,
				Timing: mooring.Timing{
					Hold: hold, Renew: grantRenew, Margin: holdMargin, Balance: balanceEvery,
					Settle: firstSettle, SettleMost: firstSettleMost,
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
	for {
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
		pause(ctx, watchRetry)
		if ctx.Err() != nil {
			return mooring.Tick{}
		}
	}
}

// write records a table, on condition that this host is still the placer.
func (w *orderWorker) write(ctx context.Context, service fairway.ServiceName, a mooring.Write) mooring.Event {
	p := w.shift.placer
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
