package roster

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/manifest"
)

// GateConfig holds the parameters of a [Gate].
type GateConfig struct {
	Domain       berth.DomainID
	LeaseTracker LeaseTrackerConfig
	// DriftMargin is added to the deadline of an abandoned request, because the
	// server counts the request's timeout on its own clock, from when it read the
	// request.
	DriftMargin time.Duration
	// Now returns the monotonic time; time.Now in production.
	Now func() time.Time
}

// Gate admits requests under the table that the host follows, and cancels those
// that a newer table forbids. It is safe for concurrent use. Its only mutex is
// held for short computations, and no other lock is taken while it is held.
type Gate struct {
	cfg GateConfig

	mu      sync.Mutex
	tracker *LeaseTracker
	rules   Rules
	// permits holds the requests in flight, including those that were abandoned
	// but that their servers may still run.
	permits map[*Permit]struct{}
	// changed is closed and replaced at each change.
	changed chan struct{}
	leaving bool
}

// Rules are the rules files that a host routes by.
type Rules struct {
	// Newest is the newest accepted file that the host has received, at
	// NewestRevision.
	Newest         *manifest.File
	NewestRevision berth.RulesRevision
	// Opened is the newest file whose newly assigned keys the host's failure
	// domain may dispatch, at OpenedRevision.
	Opened         *manifest.File
	OpenedRevision berth.RulesRevision
}

// NewGate returns a gate that refuses every request until it receives a table
// by [Gate.Step].
func NewGate(cfg GateConfig) *Gate {
	return &Gate{
		cfg:     cfg,
		tracker: NewLeaseTracker(cfg.LeaseTracker),
		rules:   Rules{Newest: manifest.Empty(), Opened: manifest.Empty()},
		permits: make(map[*Permit]struct{}),
		changed: make(chan struct{}),
	}
}

// View is a consistent snapshot of a gate's state.
type View struct {
	Table     *berth.Table
	Revision  berth.StoreRevision
	Confirmed bool
	// ConfirmationAge is the time since the table was last confirmed. It is
	// meaningful only if Confirmed is set.
	ConfirmationAge time.Duration
	// LeaseEnd is when the route lease ends.
	LeaseEnd time.Time
	// Drained is the table's version if it forbids no running request of a
	// service that is divided by key, and zero otherwise.
	Drained berth.Version
	Rules   Rules
	// MissingRules is the rules revision that a newer table requires, or zero.
	MissingRules berth.RulesRevision
	MayDispatch  bool
	// InFlight is the number of requests in flight, including those that were
	// abandoned but that their servers may still run.
	InFlight int
}

// View returns a snapshot of the current state.
func (g *Gate) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.removeOverdue(now)
	return View{
		Table:           g.tracker.Table(),
		Revision:        g.tracker.Revision(),
		Confirmed:       g.tracker.Confirmed(now),
		ConfirmationAge: now.Sub(g.tracker.ConfirmedAt()),
		LeaseEnd:        g.tracker.LeaseEnd(),
		Drained:         g.drainedVersion(),
		Rules:           g.rules,
		MissingRules:    g.tracker.MissingRules(),
		MayDispatch:     g.tracker.CheckDispatch(now) == nil && !g.leaving,
		InFlight:        len(g.permits),
	}
}

// Changed returns a channel that is closed at the next change of the table or
// of the rules, when a lease begins after the host had none, or when the gate starts
// to shut down.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Step applies event to the lease tracker. A running request that a newly
// adopted table forbids is canceled if it has not been sent yet or its server
// no longer responds. Otherwise it may finish.
func (g *Gate) Step(event Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	before, hadLease := g.tracker.Table(), g.tracker.Confirmed(now)
	g.tracker.Step(now, event)
	if !hadLease && g.tracker.Confirmed(now) {
		g.notifyChange()
	}
	if g.tracker.Table() == before {
		return
	}
	g.notifyChange()
	for permit := range g.permits {
		mayFinish := permit.sent && g.serverResponds(permit.Server.ID)
		if !g.allows(permit) && !mayFinish {
			permit.cancel()
		}
	}
}

// SetRules replaces the rules. A file with a lower revision than the current
// one is ignored.
func (g *Gate) SetRules(rules Rules) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rules.NewestRevision == g.rules.NewestRevision && rules.OpenedRevision == g.rules.OpenedRevision {
		return
	}
	if rules.NewestRevision < g.rules.NewestRevision {
		rules.Newest, rules.NewestRevision = g.rules.Newest, g.rules.NewestRevision
	}
	if rules.OpenedRevision < g.rules.OpenedRevision {
		rules.Opened, rules.OpenedRevision = g.rules.Opened, g.rules.OpenedRevision
	}
	g.rules = rules
	g.tracker.Step(g.cfg.Now(), RulesReceived{Revision: rules.NewestRevision})
	g.notifyChange()
}

// Leave makes the gate refuse all further requests, for a graceful shutdown.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.notifyChange()
}

// notifyChange wakes the receivers of [Gate.Changed].
func (g *Gate) notifyChange() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Permit is the permission to run one request on one backend server.
type Permit struct {
	gate   *Gate
	cancel context.CancelFunc
	// deadline is the deadline that is sent to the server.
	deadline time.Time
	// sent is set once the request may have been written to the server,
	// completed once the server is known not to run it any more, and abandoned
	// once it has ended without that.
	sent      bool
	completed bool
	abandoned bool

	Service berth.ServiceID
	Key     string
	// Divided is set if the service is divided by key. Only then are Key, Shard
	// and Token set.
	Divided bool
	Shard   berth.ShardID
	Token   berth.Token
	Server  berth.Server
	Version berth.Version
}

// Admit admits a request for a key of a service that is divided by key. The
// returned context is canceled when the request must be abandoned. Its deadline
// is the end of the route lease, so that no request outlives the lease under
// which it was sent.
func (g *Gate) Admit(ctx context.Context, service berth.ServiceID, key string) (context.Context, *Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkDispatch(); err != nil {
		return nil, nil, err
	}
	if err := g.checkHome(service, key); err != nil {
		return nil, nil, err
	}
	permit, err := g.newOwnerPermit(service, key)
	if err != nil {
		return nil, nil, err
	}
	ctx, permit.cancel = context.WithDeadline(ctx, g.tracker.LeaseEnd())
	permit.deadline, _ = ctx.Deadline()
	g.permits[permit] = struct{}{}
	return ctx, permit, nil
}

// AdmitTo admits a request of a service that is not divided by key, to the
// given server.
func (g *Gate) AdmitTo(ctx context.Context, service berth.ServiceID, server berth.ServerID) (context.Context, *Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.checkDispatch(); err != nil {
		return nil, nil, err
	}
	s := g.tracker.Table().Server(server)
	if s == nil || s.State != berth.ServerLive {
		return nil, nil, newRefusal(KindNoOwner)
	}
	permit := &Permit{gate: g, Service: service, Server: *s, Version: g.tracker.Table().Version}
	ctx, permit.cancel = context.WithCancel(ctx)
	g.permits[permit] = struct{}{}
	return ctx, permit, nil
}

// newRefusal returns the error for a request that is not admitted.
func newRefusal(kind Kind) *Error {
	return &Error{Op: "admit", Kind: kind}
}

func (g *Gate) checkDispatch() error {
	if g.leaving {
		return newRefusal(KindNotMember)
	}
	return g.tracker.CheckDispatch(g.cfg.Now())
}

// checkHome returns nil if both the newest and the opened rules assign the key
// to this failure domain.
func (g *Gate) checkHome(service berth.ServiceID, key string) error {
	home, ok := g.rules.Newest.Home(service, key)
	if !ok {
		return newRefusal(KindNoRule)
	}
	if home != g.cfg.Domain {
		return newRefusal(KindMisdirected)
	}
	if g.rules.OpenedRevision < g.tracker.Table().Rules.Opened {
		return newRefusal(KindMoving)
	}
	opened, ok := g.rules.Opened.Home(service, key)
	if !ok || opened != g.cfg.Domain {
		return newRefusal(KindMoving)
	}
	return nil
}

// newOwnerPermit returns a permit, not yet registered, for the owner of key.
func (g *Gate) newOwnerPermit(service berth.ServiceID, key string) (*Permit, error) {
	table := g.tracker.Table()
	shards := table.Shards(service)
	if shards == nil {
		return nil, newRefusal(KindNoOwner)
	}
	shard := shards.ShardOf(key)
	assignment := shards.Shards[shard]
	if assignment.NextOwner != "" {
		return nil, newRefusal(KindMoving)
	}
	server := table.Server(assignment.Owner)
	if server == nil || server.State != berth.ServerLive {
		return nil, newRefusal(KindNoOwner)
	}
	return &Permit{
		gate:    g,
		Service: service,
		Key:     key,
		Divided: true,
		Shard:   shard,
		Token:   assignment.Token,
		Server:  *server,
		Version: table.Version,
	}, nil
}

// Check returns nil if the request may still be written to the server. It must
// be called immediately before the write, and marks the request as sent.
func (p *Permit) Check() error {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if err := p.gate.tracker.CheckDispatch(p.gate.cfg.Now()); err != nil {
		return err
	}
	if !p.gate.allows(p) {
		return newRefusal(KindMoving)
	}
	p.sent = true
	return nil
}

// Complete records that the server does not run the request any more, or never
// did: its response has arrived completely, the server certified that it did not
// run the request, or no byte of the request was written.
func (p *Permit) Complete() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.completed = true
}

// End releases the permit when the host no longer waits for the request. It may be
// called more than once. A request that has ended without [Permit.Complete] was
// abandoned: its server may run it until its deadline, so it stays in flight until
// then. The keys of services that are not divided have no exclusive owner, and
// their requests do not stay.
func (p *Permit) End() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.cancel()
	if p.Divided && p.sent && !p.completed {
		p.abandoned = true
		return
	}
	delete(p.gate.permits, p)
}

// removeOverdue removes the abandoned requests that no server runs any more.
func (g *Gate) removeOverdue(now time.Time) {
	for permit := range g.permits {
		if permit.abandoned && (!now.Before(permit.deadline.Add(g.cfg.DriftMargin)) || g.serverStopped(permit.Server)) {
			delete(g.permits, permit)
		}
	}
}

// allows reports whether the current table and rules allow a running request to
// continue.
func (g *Gate) allows(p *Permit) bool {
	table := g.tracker.Table()
	if !p.Divided {
		server := table.Server(p.Server.ID)
		return server != nil && server.State == berth.ServerLive
	}
	if !g.tracker.isActiveMember() || g.checkHome(p.Service, p.Key) != nil {
		return false
	}
	shards := table.Shards(p.Service)
	if shards == nil {
		return false
	}
	// The key may have got another shard since, with a token of its own. Its owner
	// stays the same in that version, but it may change in a later one.
	shard := shards.ShardOf(p.Key)
	assignment := shards.Shards[shard]
	sameToken := assignment.Token == p.Token || shard != p.Shard
	return assignment.Placed() && assignment.Owner == p.Server.ID && sameToken
}

// serverResponds reports whether the table lists the server as live or
// draining.
func (g *Gate) serverResponds(id berth.ServerID) bool {
	server := g.tracker.Table().Server(id)
	return server != nil && (server.State == berth.ServerLive || server.State == berth.ServerDraining)
}

// serverStopped reports whether the table lists the server's process as ended, and
// with it all of its requests.
func (g *Gate) serverStopped(s berth.Server) bool {
	table := g.tracker.Table()
	if table == nil {
		return false
	}
	listed := table.Server(s.ID)
	return listed != nil && listed.Address == s.Address && listed.State == berth.ServerStopped
}

// drainedVersion returns the table's version if it forbids no running request,
// and zero otherwise. Only requests of services that are divided by key count,
// because the keys of other services have no exclusive owner.
func (g *Gate) drainedVersion() berth.Version {
	table := g.tracker.Table()
	if table == nil {
		return 0
	}
	for permit := range g.permits {
		if permit.Divided && !g.allows(permit) && !g.grantEndsFirst(permit) {
			return 0
		}
	}
	return table.Version
}

// grantEndsFirst reports whether the server of an abandoned request loses its grant
// for the shard before the next owner of the key may run requests. It does so if it
// checks grants, unless the rules give the key to another failure domain, which
// does not wait for any server.
func (g *Gate) grantEndsFirst(p *Permit) bool {
	return p.abandoned && p.Server.ChecksGrants && g.checkHome(p.Service, p.Key) == nil
}
