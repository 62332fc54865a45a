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
	// Now returns the monotonic time; time.Now in production.
	Now func() time.Time
}

// Gate admits requests under the table that the host follows. It is safe for
// concurrent use. Its one mutex is held only for short computations and never
// while another lock is taken.
type Gate struct {
	cfg GateConfig

	mu       sync.Mutex
	follower *LeaseTracker
	rules    Rules
	permits  map[*Permit]struct{}
	changed  chan struct{}
	leaving  bool
}

// Rules are the rules files that a host routes by.
type Rules struct {
	// Newest is the newest accepted file the host knows, of NewestRevision.
	Newest         *manifest.File
	NewestRevision berth.RulesRevision
	// Opened is the file up to which the host's domain may dispatch keys that
	// it was given, of OpenedRevision.
	Opened         *manifest.File
	OpenedRevision berth.RulesRevision
}

// NewGate returns a gate that refuses every request until it is fed a table.
func NewGate(cfg GateConfig) *Gate {
	return &Gate{
		cfg:      cfg,
		follower: NewLeaseTracker(cfg.LeaseTracker),
		rules:    Rules{Newest: manifest.Empty(), Opened: manifest.Empty()},
		permits:  make(map[*Permit]struct{}),
		changed:  make(chan struct{}),
	}
}

// View is what a host knows at one moment.
type View struct {
	Table     *berth.Table
	Revision  berth.StoreRevision
	Confirmed bool
	// ConfirmationAge is the age of the confirmation; it has no meaning without one.
	ConfirmationAge time.Duration
	// LeaseEnd is when the route lease ends.
	LeaseEnd     time.Time
	Drained      berth.Version
	Rules        Rules
	MissingRules berth.RulesRevision
	MayDispatch  bool
	InFlight     int
}

// View returns the present state.
func (g *Gate) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	return View{
		Table:           g.follower.Table(),
		Revision:        g.follower.Revision(),
		Confirmed:       g.follower.Confirmed(now),
		ConfirmationAge: now.Sub(g.follower.ConfirmedAt()),
		LeaseEnd:        g.follower.LeaseEnd(),
		Drained:         g.settled(),
		Rules:           g.rules,
		MissingRules:    g.follower.MissingRules(),
		MayDispatch:     g.follower.CheckDispatch(now) == nil && !g.leaving,
		InFlight:        len(g.permits),
	}
}

// Changed returns a channel that is closed at the next change of the table or
// of the rules.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Step feeds the follower. Requests that a newly adopted table forbids are
// canceled if they have not been sent yet or their server is lost, and may
// finish otherwise.
func (g *Gate) Step(event Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.follower.Table()
	g.follower.Step(g.cfg.Now(), event)
	if g.follower.Table() == before {
		return
	}
	g.announce()
	for permit := range g.permits {
		mayFinish := permit.sent && g.serverAnswers(permit.Server.ID)
		if !g.allows(permit) && !mayFinish {
			permit.cancel()
		}
	}
}

// SetRules replaces the rules. Revisions never go down.
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
	g.follower.Step(g.cfg.Now(), RulesReceived{Revision: rules.NewestRevision})
	g.announce()
}

// Leave refuses all further requests, for a graceful shutdown.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.announce()
}

// announce wakes those who wait for a change.
func (g *Gate) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Permit is the right to run one request on one backend server.
type Permit struct {
	gate   *Gate
	cancel context.CancelFunc
	sent   bool

	Service berth.ServiceID
	Key     string
	// Divided says that the service is divided by key, so that Shard and
	// Token have a meaning.
	Divided bool
	Shard   berth.ShardID
	Token   berth.Token
	Server  berth.Server
	Version berth.Version
}

// Admit admits a request for a key of a service that is divided by key. The
// returned context is canceled when the request must be given up. It ends with
// the route lease, so that no request outlives the lease it was sent under.
func (g *Gate) Admit(ctx context.Context, service berth.ServiceID, key string) (context.Context, *Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.mayDispatch(); err != nil {
		return nil, nil, err
	}
	if err := g.homeHere(service, key); err != nil {
		return nil, nil, err
	}
	permit, err := g.ownerOf(service, key)
	if err != nil {
		return nil, nil, err
	}
	ctx, permit.cancel = context.WithDeadline(ctx, g.follower.LeaseEnd())
	g.permits[permit] = struct{}{}
	return ctx, permit, nil
}

// AdmitTo admits a request of a service that is not divided by key to the
// chosen server.
func (g *Gate) AdmitTo(ctx context.Context, service berth.ServiceID, server berth.ServerID) (context.Context, *Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.mayDispatch(); err != nil {
		return nil, nil, err
	}
	s := g.follower.Table().Server(server)
	if s == nil || s.State != berth.ServerLive {
		return nil, nil, refuse(KindNoOwner)
	}
	permit := &Permit{gate: g, Service: service, Server: *s, Version: g.follower.Table().Version}
	ctx, permit.cancel = context.WithCancel(ctx)
	g.permits[permit] = struct{}{}
	return ctx, permit, nil
}

func refuse(kind Kind) *Error {
	return &Error{Op: "admit", Kind: kind}
}

func (g *Gate) mayDispatch() error {
	if g.leaving {
		return refuse(KindNotMember)
	}
	return g.follower.CheckDispatch(g.cfg.Now())
}

// homeHere checks that both the newest rules and the opened ones give the key
// to this domain.
func (g *Gate) homeHere(service berth.ServiceID, key string) error {
	home, ok := g.rules.Newest.Home(service, key)
	if !ok {
		return refuse(KindNoRule)
	}
	if home != g.cfg.Domain {
		return refuse(KindMisdirected)
	}
	if g.rules.OpenedRevision < g.follower.Table().Rules.Opened {
		return refuse(KindMoving)
	}
	opened, ok := g.rules.Opened.Home(service, key)
	if !ok || opened != g.cfg.Domain {
		return refuse(KindMoving)
	}
	return nil
}

// ownerOf returns an unregistered permit for the owner of key.
func (g *Gate) ownerOf(service berth.ServiceID, key string) (*Permit, error) {
	table := g.follower.Table()
	shards := table.Shards(service)
	if shards == nil {
		return nil, refuse(KindNoOwner)
	}
	shard := shards.ShardOf(key)
	row := shards.Shards[shard]
	if row.NextOwner != "" {
		return nil, refuse(KindMoving)
	}
	server := table.Server(row.Owner)
	if server == nil || server.State != berth.ServerLive {
		return nil, refuse(KindNoOwner)
	}
	return &Permit{
		gate:    g,
		Service: service,
		Key:     key,
		Divided: true,
		Shard:   shard,
		Token:   row.Token,
		Server:  *server,
		Version: table.Version,
	}, nil
}

// Check returns nil if the request may still be written to the server. Call
// it right before the write; from then on the request counts as sent.
func (p *Permit) Check() error {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if err := p.gate.follower.CheckDispatch(p.gate.cfg.Now()); err != nil {
		return err
	}
	if !p.gate.allows(p) {
		return refuse(KindMoving)
	}
	p.sent = true
	return nil
}

// End tells that the request is over. It may be called more than once.
func (p *Permit) End() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.cancel()
	delete(p.gate.permits, p)
}

// allows reports whether the table and rules in force permit a running request
// to go on.
func (g *Gate) allows(p *Permit) bool {
	table := g.follower.Table()
	if !p.Divided {
		server := table.Server(p.Server.ID)
		return server != nil && server.State == berth.ServerLive
	}
	if g.homeHere(p.Service, p.Key) != nil {
		return false
	}
	shards := table.Shards(p.Service)
	if shards == nil || int(p.Shard) >= len(shards.Shards) {
		return false
	}
	row := shards.Shards[p.Shard]
	return row.Placed() && row.Owner == p.Server.ID && row.Token == p.Token
}

func (g *Gate) serverAnswers(id berth.ServerID) bool {
	server := g.follower.Table().Server(id)
	return server != nil && (server.State == berth.ServerLive || server.State == berth.ServerDraining)
}

// settled returns the table's version if no running request is forbidden by
// it, and zero otherwise. Only requests of divided services count: the others
// have no owner to protect.
func (g *Gate) settled() berth.Version {
	table := g.follower.Table()
	if table == nil {
		return 0
	}
	for permit := range g.permits {
		if permit.Divided && !g.allows(permit) {
			return 0
		}
	}
	return table.Version
}
