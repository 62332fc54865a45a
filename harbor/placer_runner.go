package harbor

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/roster"
	"hornbeamwinch.example/signal"
)

const (
	// placerTickInterval is the time between two ticks of the placer.
	placerTickInterval = 50 * time.Millisecond
	// hostProbeThreshold is the time without a report from an entry host after
	// which the placer checks whether its address refuses connections.
	hostProbeThreshold = 400 * time.Millisecond
	// eventQueueSize is the maximum number of queued events.
	eventQueueSize = 4096
)

// placerRunner runs the placer and executes its actions. All calls to the
// placer are made from the goroutine of run.
type placerRunner struct {
	d      *Daemon
	events chan berth.Event

	// placer and lastReport are accessed only from the goroutine of run.
	placer *berth.Placer
	// lastReport is when each host last reported. After a probe of the host it
	// is set such that the next probe follows one tick later.
	lastReport map[berth.HostID]time.Time

	hotKeys *hotKeyTable

	mu     sync.Mutex
	active bool
}

func newPlacerRunner(d *Daemon) *placerRunner {
	s := d.settings
	specs := make([]berth.ServiceSpec, 0, len(s.Services))
	for _, service := range s.Services {
		if !service.DividedByKey {
			continue
		}
		specs = append(specs, berth.ServiceSpec{
			ID:         service.ID,
			HashShards: service.Shards,
			Policy:     service.Placement.Policy(),
		})
	}
	return &placerRunner{
		d:          d,
		events:     make(chan berth.Event, eventQueueSize),
		lastReport: make(map[berth.HostID]time.Time),
		hotKeys:    newHotKeyTable(),
		placer: berth.NewPlacer(berth.PlacerConfig{
			Domain:      s.Host.Domain,
			Host:        s.Host.ID,
			Address:     s.Host.PeerAddress,
			Incarnation: d.incarnation,
			Services:    specs,
			Timing: berth.Timing{
				RouteLease:  s.Timing.RouteLeaseMS.Duration(),
				GrantTTL:    s.Timing.GrantTTLMS.Duration(),
				DriftMargin: s.Timing.DriftMarginMS.Duration(),
				HostTimeout: s.Timing.HostTimeoutMS.Duration(),
			},
			Nonce: randomNonce,
		}),
	}
}

// post queues an event. If the queue is full, it drops the event and logs this.
// It is meant for observations, which are repeated.
func (p *placerRunner) post(event berth.Event) {
	select {
	case p.events <- event:
	default:
		p.d.logs.operationFailed("queue placement event", errQueueFull)
	}
}

// postBlocking queues an event and waits while the queue is full, until ctx
// is done. The events at the beginning and the end of a term need this, because
// they are not repeated if they are lost.
func (p *placerRunner) postBlocking(ctx context.Context, event berth.Event) {
	select {
	case p.events <- event:
	case <-ctx.Done():
	}
}

// isActive reports whether this host is the placer of its domain.
func (p *placerRunner) isActive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// run passes queued events and ticks to the placer until ctx is done.
func (p *placerRunner) run(ctx context.Context) {
	ticker := time.NewTicker(placerTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-p.events:
			p.step(ctx, event)
			if len(p.events) == 0 {
				p.step(ctx, berth.Tick{})
			}
		case <-ticker.C:
			p.observe(ctx)
			p.processQueued(ctx)
			p.step(ctx, berth.Tick{})
		}
	}
}

// processQueued processes the events that are queued before a tick. During a
// slow store call reports accumulate in the queue, and a tick must not consider
// hosts unresponsive whose reports are still queued.
func (p *placerRunner) processQueued(ctx context.Context) {
	for range len(p.events) {
		p.step(ctx, <-p.events)
	}
}

// step passes an event to the placer and executes the resulting actions. Events
// that result from the actions are processed too.
func (p *placerRunner) step(ctx context.Context, event berth.Event) {
	if report, ok := event.(berth.HostReported); ok {
		p.lastReport[report.Host] = time.Now()
	}
	queue := []berth.Event{event}
	for len(queue) > 0 {
		actions := p.placer.Step(time.Now(), queue[0])
		queue = queue[1:]
		for _, action := range actions {
			if result := p.execute(ctx, action); result != nil {
				queue = append(queue, result)
			}
		}
	}
	p.mu.Lock()
	p.active = p.placer.Active()
	p.mu.Unlock()
}

// execute executes one action and returns the event with its result, if any.
func (p *placerRunner) execute(ctx context.Context, action berth.Action) berth.Event {
	switch a := action.(type) {
	case berth.ReadTable:
		return p.readTable(ctx)
	case berth.WriteTable:
		return p.writeTable(ctx, a)
	case berth.PublishTable:
		p.publish(a)
	case berth.Decision:
		p.d.logs.placementDecided(a)
		p.d.metrics.placementDecided(a)
	}
	return nil
}

// tableReadRetryDelay is the delay before a failed read of the table is
// retried.
const tableReadRetryDelay = 100 * time.Millisecond

// readTable reads the table's record. It retries until it succeeds or the term
// ends.
func (p *placerRunner) readTable(ctx context.Context) berth.Event {
	for ctx.Err() == nil && p.d.election.holdsLease() {
		entry, err := p.d.store.Get(ctx, tableKey(p.d.settings.Host.Domain))
		if ledger.IsKind(err, ledger.KindNotFound) {
			return berth.TableRead{}
		}
		if err == nil {
			table, decodeErr := berth.DecodeTable(entry.Value)
			if decodeErr == nil {
				return berth.TableRead{Table: table, Revision: berth.StoreRevision(entry.Revision)}
			}
			err = decodeErr
		}
		p.d.logs.operationFailed("read table", err)
		sleep(ctx, tableReadRetryDelay)
	}
	return berth.LeadershipLost{}
}

func (p *placerRunner) writeTable(ctx context.Context, a berth.WriteTable) berth.Event {
	value, err := berth.EncodeTable(a.Table)
	if err != nil {
		p.d.logs.operationFailed("encode table", err)
		return berth.WriteConflicted{Nonce: a.Table.Nonce}
	}
	revision, err := p.d.store.Swap(ctx, ledger.Swap{
		Key:      tableKey(p.d.settings.Host.Domain),
		Revision: ledger.Revision(a.Revision),
		Value:    value,
	})
	switch {
	case err == nil:
		return berth.TableWritten{Nonce: a.Table.Nonce, Revision: berth.StoreRevision(revision)}
	case ledger.IsKind(err, ledger.KindConflict):
		return berth.WriteConflicted{Nonce: a.Table.Nonce}
	default:
		p.d.logs.operationFailed("write table", err)
		return berth.WriteUnknown{Nonce: a.Table.Nonce}
	}
}

// publish applies a recorded table on this host and notifies the other hosts of
// the domain.
func (p *placerRunner) publish(a berth.PublishTable) {
	p.d.gate.Step(roster.TableReceived{Table: a.Table, Revision: a.Revision})
	p.d.applyTable()
	p.d.tableSync.syncNow()
	for _, h := range a.Table.Hosts {
		if h.ID != p.d.settings.Host.ID {
			p.d.launch(func() { p.notifyHost(h.Address, a.Table) })
		}
	}
}

func (p *placerRunner) notifyHost(address string, table *berth.Table) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	client, err := p.d.controlClients.client(address)
	if err != nil {
		return
	}
	_, _ = client.Nudge(ctx, &signal.NudgeRequest{
		Epoch:   uint64(table.Epoch),
		Version: uint64(table.Version),
	})
}

// observe collects the observations that the active placer needs from this host
// and its peers.
func (p *placerRunner) observe(ctx context.Context) {
	if !p.isActive() {
		return
	}
	p.reportSelf()
	if table := p.d.gate.View().Table; table != nil {
		p.step(ctx, berth.VersionObserved{Version: table.Version})
	}
	if p.isActive() {
		p.probeHosts(ctx)
	}
}

// reportSelf passes the report of this host to the placer, which runs on it.
func (p *placerRunner) reportSelf() {
	p.d.report(p.d.tableSync.report())
}

// probeHosts detects entry hosts whose process has stopped: those that have not
// reported recently and refuse connections.
func (p *placerRunner) probeHosts(ctx context.Context) {
	table := p.placer.Table()
	for _, h := range table.Hosts {
		if h.ID == p.d.settings.Host.ID || time.Since(p.lastReport[h.ID]) < hostProbeThreshold {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, placerTickInterval)
		if refusesConnections(probeCtx, h.Address) {
			p.step(ctx, berth.HostConnectionRefused{Host: h.ID, Incarnation: h.Incarnation})
		}
		cancel()
		p.lastReport[h.ID] = time.Now().Add(placerTickInterval - hostProbeThreshold)
	}
}
