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

// peerTimeout bounds a control call to another entry host.
const peerTimeout = 250 * time.Millisecond

// tableSync keeps the host's table and rules current and the table confirmed.
// In each round it queries the placer. If the placer does not confirm the
// table, it queries the store, and if the store does not respond, every peer.
type tableSync struct {
	d *Daemon
	// trigger starts the next round early.
	trigger chan struct{}

	mu sync.Mutex
	// lastConfirmed is when the placer last confirmed the table, at first the
	// start of the daemon.
	lastConfirmed time.Time
	leaving       bool
}

func newTableSync(d *Daemon) *tableSync {
	return &tableSync{d: d, trigger: make(chan struct{}, 1), lastConfirmed: time.Now()}
}

// syncNow starts the next round without waiting for the interval to pass.
func (s *tableSync) syncNow() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// sincePlacerConfirmed returns the time since the placer last confirmed the
// table.
func (s *tableSync) sincePlacerConfirmed() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastConfirmed)
}

func (s *tableSync) recordPlacerConfirmation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConfirmed = time.Now()
}

// run repeats rounds until ctx is done.
func (s *tableSync) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.round(ctx)
		s.wait(ctx)
	}
}

func (s *tableSync) wait(ctx context.Context) {
	timer := time.NewTimer(s.d.settings.Timing.ConfirmIntervalMS.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.trigger:
	case <-ctx.Done():
	}
}

// round tries to confirm the table with each source in turn until one succeeds,
// and then reads missing rules.
func (s *tableSync) round(ctx context.Context) {
	defer s.refreshRules(ctx)
	if s.confirmWithPlacer(ctx) {
		return
	}
	if s.confirmWithStore(ctx) {
		return
	}
	s.confirmWithPeers(ctx)
}

// confirmWithPlacer queries the placer and reports whether it confirmed the
// table. On the placer itself it returns false, so that the store is queried.
func (s *tableSync) confirmWithPlacer(ctx context.Context) bool {
	table := s.d.gate.View().Table
	if table == nil || table.PlacerHost == s.d.settings.Host.ID {
		return false
	}
	address := table.PlacerAt()
	if address == "" {
		return false
	}
	reply, err := s.follow(ctx, address)
	if err != nil || !reply.GetConfirmed() {
		return false
	}
	s.recordPlacerConfirmation()
	return true
}

// follow calls Follow on the host at address and applies the reply.
func (s *tableSync) follow(ctx context.Context, address string) (*signal.FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	requestedAt := time.Now()
	reply, err := s.d.controlClients.follow(ctx, address, s.report())
	if err != nil {
		return nil, err
	}
	s.applyReply(reply, requestedAt)
	return reply, nil
}

// report returns the state of this host, as sent to peers.
func (s *tableSync) report() *signal.FollowRequest {
	view := s.d.gate.View()
	r := &signal.FollowRequest{
		Host:          string(s.d.settings.Host.ID),
		Address:       s.d.settings.Host.PeerAddress,
		Domain:        string(s.d.settings.Host.Domain),
		Incarnation:   uint64(s.d.incarnation),
		Settled:       uint64(view.Drained),
		RulesRevision: uint64(s.d.rulesCache.Newest().Revision),
		Servers:       s.d.prober.reports(),
		Leaving:       s.isLeaving(),
	}
	if view.Table != nil {
		r.Epoch = uint64(view.Table.Epoch)
		r.Version = uint64(view.Table.Version)
		if s.d.router.WithinShares() {
			r.WithinShares = uint64(view.Table.Version)
		}
	}
	r.HotKeys = s.d.prober.hotKeyReports()
	r.Rosters = encodeRosters(s.d.directory.Versions())
	return r
}

// applyReply merges the rules, rosters and table of a peer's reply, and passes
// the peer's confirmation to the gate.
func (s *tableSync) applyReply(reply *signal.FollowReply, requestedAt time.Time) {
	if len(reply.GetRules()) > 0 {
		if err := s.d.rulesCache.Merge(reply.GetRules()); err == nil {
			s.d.updateRules()
		}
	}
	for _, r := range reply.GetRosters() {
		s.d.directory.Update(decodeRoster(r))
	}
	if len(reply.GetTable()) > 0 {
		s.receiveTable(reply.GetTable(), berth.StoreRevision(reply.GetTableRevision()))
	}
	s.d.gate.Step(roster.PeerResponded{
		Host:            berth.HostID(reply.GetHost()),
		Incarnation:     berth.Incarnation(reply.GetIncarnation()),
		Epoch:           berth.Epoch(reply.GetEpoch()),
		Version:         berth.Version(reply.GetVersion()),
		Confirmed:       reply.GetConfirmed(),
		ConfirmationAge: time.Duration(reply.GetAgeMicros()) * time.Microsecond,
		RequestedAt:     requestedAt,
	})
	s.d.applyTable()
}

// receiveTable passes a table of the host's own domain to the gate.
func (s *tableSync) receiveTable(value []byte, revision berth.StoreRevision) {
	table, err := berth.DecodeTable(value)
	if err != nil {
		s.d.logs.operationFailed("decode table", err)
		return
	}
	if table.Domain != s.d.settings.Host.Domain {
		return
	}
	s.d.gate.Step(roster.TableReceived{Table: table, Revision: revision})
}

// confirmWithStore compares the table with its record in the store and reads
// the record if it has changed. It reports whether the store calls succeeded.
func (s *tableSync) confirmWithStore(ctx context.Context) bool {
	view := s.d.gate.View()
	key := tableKey(s.d.settings.Host.Domain)
	requestedAt := time.Now()
	unchanged, err := s.d.store.Unchanged(ctx, key, ledger.Revision(view.Revision))
	if err != nil {
		return false
	}
	if unchanged {
		s.d.gate.Step(roster.StoreChecked{Revision: view.Revision, Unchanged: true, RequestedAt: requestedAt})
		return true
	}
	return s.readTable(ctx, key)
}

func (s *tableSync) readTable(ctx context.Context, key string) bool {
	requestedAt := time.Now()
	entry, err := s.d.store.Get(ctx, key)
	if err != nil {
		return false
	}
	revision := berth.StoreRevision(entry.Revision)
	s.receiveTable(entry.Value, revision)
	s.d.gate.Step(roster.StoreChecked{Revision: revision, Unchanged: true, RequestedAt: requestedAt})
	s.d.applyTable()
	return true
}

// confirmWithPeers calls Follow on all known entry hosts of the domain
// concurrently.
func (s *tableSync) confirmWithPeers(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range s.peerAddresses() {
		group.Go(func() { _, _ = s.follow(ctx, address) })
	}
	group.Wait()
}

// peerAddresses returns the addresses of the other entry hosts of the domain:
// from the table, or from the settings until a table is received.
func (s *tableSync) peerAddresses() []string {
	var addresses []string
	if table := s.d.gate.View().Table; table != nil {
		for _, h := range table.Hosts {
			if h.ID != s.d.settings.Host.ID {
				addresses = append(addresses, h.Address)
			}
		}
		return addresses
	}
	for _, domain := range s.d.settings.Domains {
		if domain.ID != s.d.settings.Host.Domain {
			continue
		}
		for _, address := range domain.Peers {
			if address != s.d.settings.Host.PeerAddress {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// refreshRules reads the revisions of the rules that the table needs from the
// store, except those already cached.
func (s *tableSync) refreshRules(ctx context.Context) {
	view := s.d.gate.View()
	needed := []berth.RulesRevision{view.MissingRules}
	if view.Table != nil {
		needed = append(needed, view.Table.Rules.Opened)
	}
	for _, revision := range needed {
		if _, known := s.d.rulesCache.File(revision); known {
			continue
		}
		record, err := s.d.storedRules().revision(ctx, revision)
		if err != nil {
			continue
		}
		if err := s.d.rulesCache.Add(record); err != nil {
			s.d.logs.operationFailed("read rules", err)
		}
	}
	s.d.updateRules()
}

func (s *tableSync) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// leave reports this host as leaving to the placer until the table lists it as
// such, for at most one second.
func (s *tableSync) leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	const poll = 20 * time.Millisecond
	const limit = time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for ctx.Err() == nil {
		table := s.d.gate.View().Table
		if table == nil || table.PlacerHost == s.d.settings.Host.ID {
			return
		}
		self := table.Host(s.d.settings.Host.ID)
		if self == nil || self.State == berth.HostLeaving {
			return
		}
		s.syncNow()
		sleep(ctx, poll)
	}
}
