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
	placementTick = 50 * time.Millisecond
	// hostProbeAfter is the silence after which the placer checks whether an
	// entry host's machine refuses connections.
	hostProbeAfter = 400 * time.Millisecond
	eventQueue     = 4096
)

// placement runs the placer and carries out its actions. All calls to the
// placer come from its one loop.
type placement struct {
	d      *Daemon
	events chan berth.Event

	// loop state
	placer *berth.Placer
	seen   map[berth.HostID]time.Time

	rates *rateTable

	mu     sync.Mutex
	active bool
}

func newPlacement(d *Daemon) *placement {
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
	return &placement{
		d:      d,
		events: make(chan berth.Event, eventQueue),
		seen:   make(map[berth.HostID]time.Time),
		rates:  newRateTable(),
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

// post hands an event to the loop. An observation is dropped when the queue is
// full; it will be made again.
func (p *placement) post(event berth.Event) {
	select {
	case p.events <- event:
	default:
		p.d.logs.failure("queue placement event", errQueueFull)
	}
}

// postTerm hands the begin or the end of a term to the loop. It waits for room,
// because a lost one would not be made again.
func (p *placement) postTerm(ctx context.Context, event berth.Event) {
	select {
	case p.events <- event:
	case <-ctx.Done():
	}
}

// isActive reports whether this host is the placer of its domain.
func (p *placement) isActive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// run steps the placer until ctx ends.
func (p *placement) run(ctx context.Context) {
	ticker := time.NewTicker(placementTick)
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
			p.drain(ctx)
			p.step(ctx, berth.Tick{})
		}
	}
}

// drain takes the queued events before a tick. A slow call of the store lets
// reports pile up, and a tick must not judge hosts by what it has not read yet.
func (p *placement) drain(ctx context.Context) {
	for range len(p.events) {
		p.step(ctx, <-p.events)
	}
}

// step feeds one event and carries out the actions, which may give rise to
// further events.
func (p *placement) step(ctx context.Context, event berth.Event) {
	if followed, ok := event.(berth.HostReported); ok {
		p.seen[followed.Host] = time.Now()
	}
	queue := []berth.Event{event}
	for len(queue) > 0 {
		actions := p.placer.Step(time.Now(), queue[0])
		queue = queue[1:]
		for _, action := range actions {
			if result := p.carryOut(ctx, action); result != nil {
				queue = append(queue, result)
			}
		}
	}
	p.mu.Lock()
	p.active = p.placer.Active()
	p.mu.Unlock()
}

// carryOut performs one action and returns the event that answers it, if any.
func (p *placement) carryOut(ctx context.Context, action berth.Action) berth.Event {
	switch a := action.(type) {
	case berth.ReadTable:
		return p.readTable(ctx)
	case berth.WriteTable:
		return p.writeTable(ctx, a)
	case berth.PublishTable:
		p.publish(a)
	case berth.Decision:
		p.d.logs.placed(a)
		p.d.metrics.placed(a)
	}
	return nil
}

// retryDelay is the pause before a failed read of the table is repeated.
const retryDelay = 100 * time.Millisecond

// readTable reads the record until it succeeds or the term ends.
func (p *placement) readTable(ctx context.Context) berth.Event {
	for ctx.Err() == nil && p.d.elector.holds() {
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
		p.d.logs.failure("read table", err)
		sleep(ctx, retryDelay)
	}
	return berth.LeadershipLost{}
}

func (p *placement) writeTable(ctx context.Context, a berth.WriteTable) berth.Event {
	value, err := berth.EncodeTable(a.Table)
	if err != nil {
		p.d.logs.failure("encode table", err)
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
		p.d.logs.failure("write table", err)
		return berth.WriteUnknown{Nonce: a.Table.Nonce}
	}
}

// publish makes the recorded table known here and nudges the other hosts.
func (p *placement) publish(a berth.PublishTable) {
	p.d.gate.Step(roster.TableReceived{Table: a.Table, Revision: a.Revision})
	p.d.tableChanged()
	p.d.follower.poke()
	for _, h := range a.Table.Hosts {
		if h.ID != p.d.settings.Host.ID {
			p.d.launch(func() { p.nudge(h.Address, a.Table) })
		}
	}
}

func (p *placement) nudge(address string, table *berth.Table) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	client, err := p.d.control.client(address)
	if err != nil {
		return
	}
	_, _ = client.Nudge(ctx, &signal.NudgeRequest{
		Epoch:   uint64(table.Epoch),
		Version: uint64(table.Version),
	})
}

// observe gathers what the active placer needs from this host and its peers.
func (p *placement) observe(ctx context.Context) {
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

// reportSelf reports this host to its own placer.
func (p *placement) reportSelf() {
	p.d.report(p.d.follower.report())
}

// probeHosts finds entry hosts whose process is gone.
func (p *placement) probeHosts(ctx context.Context) {
	table := p.placer.Table()
	for _, h := range table.Hosts {
		if h.ID == p.d.settings.Host.ID || time.Since(p.seen[h.ID]) < hostProbeAfter {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, placementTick)
		if refusesConnections(probeCtx, h.Address) {
			p.step(ctx, berth.HostConnectionRefused{Host: h.ID, Incarnation: h.Incarnation})
		}
		cancel()
		p.seen[h.ID] = time.Now().Add(placementTick - hostProbeAfter)
	}
}
