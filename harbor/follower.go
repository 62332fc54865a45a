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

// follower keeps the host's table and rules current and confirmed. Each round
// it asks the placer; without a confirmation from there it asks the store; and
// without an answer from the store it asks every peer.
type follower struct {
	d     *Daemon
	nudge chan struct{}

	mu sync.Mutex
	// unconfirmedSince is when the placer was last known to confirm.
	lastConfirmed time.Time
	leaving       bool
}

func newFollower(d *Daemon) *follower {
	return &follower{d: d, nudge: make(chan struct{}, 1), lastConfirmed: time.Now()}
}

// poke starts a round at once.
func (f *follower) poke() {
	select {
	case f.nudge <- struct{}{}:
	default:
	}
}

// placerSilence returns for how long the placer has not confirmed the table.
func (f *follower) placerSilence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastConfirmed)
}

func (f *follower) placerConfirmed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastConfirmed = time.Now()
}

// run makes rounds until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.round(ctx)
		f.wait(ctx)
	}
}

func (f *follower) wait(ctx context.Context) {
	timer := time.NewTimer(f.d.settings.Timing.ConfirmIntervalMS.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.nudge:
	case <-ctx.Done():
	}
}

// round confirms the table once, by the first source that can.
func (f *follower) round(ctx context.Context) {
	defer f.refreshRules(ctx)
	if f.askPlacer(ctx) {
		return
	}
	if f.askStore(ctx) {
		return
	}
	f.askPeers(ctx)
}

// askPlacer reports whether the placer confirmed the table. On the placer
// itself the store does so.
func (f *follower) askPlacer(ctx context.Context) bool {
	table := f.d.gate.View().Table
	if table == nil || table.PlacerHost == f.d.settings.Host.ID {
		return false
	}
	holder := table.Host(table.PlacerHost)
	if holder == nil {
		return false
	}
	reply, err := f.ask(ctx, holder.Address)
	if err != nil || !reply.GetConfirmed() {
		return false
	}
	f.placerConfirmed()
	return true
}

// ask calls Follow on the host at address and takes its answer.
func (f *follower) ask(ctx context.Context, address string) (*signal.FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	askedAt := time.Now()
	reply, err := f.d.control.follow(ctx, address, f.report())
	if err != nil {
		return nil, err
	}
	f.take(reply, askedAt)
	return reply, nil
}

// report describes this host to a peer.
func (f *follower) report() *signal.FollowRequest {
	view := f.d.gate.View()
	r := &signal.FollowRequest{
		Host:          string(f.d.settings.Host.ID),
		Address:       f.d.settings.Host.PeerAddress,
		Domain:        string(f.d.settings.Host.Domain),
		Incarnation:   uint64(f.d.incarnation),
		Settled:       uint64(view.Drained),
		RulesRevision: uint64(f.d.book.Newest().Revision),
		Servers:       f.d.warden.reports(),
		Leaving:       f.isLeaving(),
	}
	if view.Table != nil {
		r.Epoch = uint64(view.Table.Epoch)
		r.Version = uint64(view.Table.Version)
		if f.d.router.WithinShares() {
			r.WithinShares = uint64(view.Table.Version)
		}
	}
	r.HotKeys = f.d.warden.hotKeyReports()
	r.Rosters = encodeRosters(f.d.directory.Versions())
	return r
}

// take learns from a peer's answer.
func (f *follower) take(reply *signal.FollowReply, askedAt time.Time) {
	if len(reply.GetRules()) > 0 {
		if err := f.d.book.Merge(reply.GetRules()); err == nil {
			f.d.updateRules()
		}
	}
	for _, r := range reply.GetRosters() {
		f.d.directory.Update(decodeRoster(r))
	}
	if len(reply.GetTable()) > 0 {
		f.learnTable(reply.GetTable(), berth.StoreRevision(reply.GetTableRevision()))
	}
	f.d.gate.Step(roster.PeerAnswered{
		Host:        berth.HostID(reply.GetHost()),
		Incarnation: berth.Incarnation(reply.GetIncarnation()),
		Epoch:       berth.Epoch(reply.GetEpoch()),
		Version:     berth.Version(reply.GetVersion()),
		Confirmed:   reply.GetConfirmed(),
		Age:         time.Duration(reply.GetAgeMicros()) * time.Microsecond,
		RequestedAt: askedAt,
	})
	f.d.tableChanged()
}

func (f *follower) learnTable(value []byte, revision berth.StoreRevision) {
	table, err := berth.DecodeTable(value)
	if err != nil {
		f.d.logs.failure("decode table", err)
		return
	}
	if table.Domain != f.d.settings.Host.Domain {
		return
	}
	f.d.gate.Step(roster.TableReceived{Table: table, Revision: revision})
}

// askStore compares the table with its record. It reports whether the store
// answered.
func (f *follower) askStore(ctx context.Context) bool {
	view := f.d.gate.View()
	key := tableKey(f.d.settings.Host.Domain)
	askedAt := time.Now()
	unchanged, err := f.d.store.Unchanged(ctx, key, ledger.Revision(view.Revision))
	if err != nil {
		return false
	}
	if unchanged {
		f.d.gate.Step(roster.StoreChecked{Revision: view.Revision, Unchanged: true, RequestedAt: askedAt})
		return true
	}
	return f.readTable(ctx, key)
}

func (f *follower) readTable(ctx context.Context, key string) bool {
	askedAt := time.Now()
	entry, err := f.d.store.Get(ctx, key)
	if err != nil {
		return false
	}
	revision := berth.StoreRevision(entry.Revision)
	f.learnTable(entry.Value, revision)
	f.d.gate.Step(roster.StoreChecked{Revision: revision, Unchanged: true, RequestedAt: askedAt})
	f.d.tableChanged()
	return true
}

// askPeers asks all known entry hosts of the domain at the same time.
func (f *follower) askPeers(ctx context.Context) {
	var group sync.WaitGroup
	for _, address := range f.peerAddresses() {
		group.Go(func() { _, _ = f.ask(ctx, address) })
	}
	group.Wait()
}

// peerAddresses lists the roster, or the peers from the settings before a
// table is known.
func (f *follower) peerAddresses() []string {
	var addresses []string
	if table := f.d.gate.View().Table; table != nil {
		for _, h := range table.Hosts {
			if h.ID != f.d.settings.Host.ID {
				addresses = append(addresses, h.Address)
			}
		}
		return addresses
	}
	for _, domain := range f.d.settings.Domains {
		if domain.ID != f.d.settings.Host.Domain {
			continue
		}
		for _, address := range domain.Peers {
			if address != f.d.settings.Host.PeerAddress {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// refreshRules reads from the store the revisions that the table needs and no
// peer has sent.
func (f *follower) refreshRules(ctx context.Context) {
	view := f.d.gate.View()
	needed := []berth.RulesRevision{view.MissingRules}
	if view.Table != nil {
		needed = append(needed, view.Table.Rules.Opened)
	}
	for _, revision := range needed {
		if _, known := f.d.book.File(revision); known {
			continue
		}
		record, err := f.d.rules().revision(ctx, revision)
		if err != nil {
			continue
		}
		if err := f.d.book.Add(record); err != nil {
			f.d.logs.failure("read rules", err)
		}
	}
	f.d.updateRules()
}

func (f *follower) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// leave tells the placer that this host is leaving, until the table says so.
func (f *follower) leave(ctx context.Context) {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	const poll = 20 * time.Millisecond
	const limit = time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for ctx.Err() == nil {
		table := f.d.gate.View().Table
		if table == nil || table.PlacerHost == f.d.settings.Host.ID {
			return
		}
		self := table.Host(f.d.settings.Host.ID)
		if self == nil || self.State == berth.HostLeaving {
			return
		}
		f.poke()
		sleep(ctx, poll)
	}
}
