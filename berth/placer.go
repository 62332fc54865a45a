package berth

import "time"

// Policy weighs availability against churn for one service.
type Policy struct {
	// ReturnGrace is how long the shards of a lost server wait for its
	// return before they are moved. It lowers churn in a rolling restart and
	// lengthens the time without an owner.
	ReturnGrace time.Duration
	// ImbalanceTolerance is the share by which the busiest server may exceed the mean
	// load before shards are moved away from it. Zero or less disables it.
	ImbalanceTolerance float64
	// MovesPerRound limits the shards moved for balance in one round.
	MovesPerRound int
	// RoundInterval is the least time between two rounds.
	RoundInterval time.Duration
	// MaxHotKeys limits the keys with a shard of their own.
	MaxHotKeys int
	// HotShare is the part of a server's mean load above which a key is hot.
	HotShare float64
}

// ServiceSpec describes a service that is divided by key.
type ServiceSpec struct {
	ID         ServiceID
	HashShards uint32
	Policy     Policy
}

// Timing holds the durations on which proofs rest.
type Timing struct {
	// RouteLease is how long an entry host dispatches after a confirmation.
	RouteLease time.Duration
	// GrantTTL is how long a grant lasts after the renewal was sent.
	GrantTTL time.Duration
	// DriftMargin is added to both for differences between clocks.
	DriftMargin time.Duration
	// HostTimeout is the silence after which an entry host is removed.
	HostTimeout time.Duration
}

// PlacerConfig holds the parameters of a [Placer].
type PlacerConfig struct {
	Domain DomainID
	// Host, Address and Incarnation identify this entry host.
	Host        HostID
	Address     string
	Incarnation Incarnation
	Services    []ServiceSpec
	Timing      Timing
	// Nonce returns a number that no other writer uses.
	Nonce func() uint64
}

// Placer decides the assignment table of one failure domain. It is not safe
// for concurrent use.
type Placer struct {
	cfg      PlacerConfig
	elected  bool
	claimed  bool
	reading  bool
	table    *Table
	revision StoreRevision
	pending  *Table

	ledger  versionLedger
	hosts   map[HostID]*hostView
	servers map[ServerID]*serverView
	listed  map[ServerID]ListedServer
	haveSet bool

	// shardSince, hostSince hold the version since which a shard or host is
	// in its present transition.
	shardSince map[shardRef]Version
	hostSince  map[HostID]hostTransition

	// firstVersion is the version that claimed the epoch, and closingSince the
	// one that started to close the newest rules.
	firstVersion Version
	closingSince Version

	// quiet is the version under which the shards were found to need nothing,
	// or zero.
	quiet Version

	rules  rulesView
	loads  map[ServiceID]map[ShardID]float64
	hot    map[ServiceID][]HotKeyLoad
	rounds map[ServiceID]time.Time
	out    []Action
}

// shardRef names a shard within a table.
type shardRef struct {
	service ServiceID
	shard   ShardID
}

// NewPlacer returns an idle placer.
func NewPlacer(cfg PlacerConfig) *Placer {
	return &Placer{
		cfg:        cfg,
		hosts:      make(map[HostID]*hostView),
		servers:    make(map[ServerID]*serverView),
		listed:     make(map[ServerID]ListedServer),
		shardSince: make(map[shardRef]Version),
		hostSince:  make(map[HostID]hostTransition),
		rules:      rulesView{closed: make(map[DomainID]RulesRevision)},
		loads:      make(map[ServiceID]map[ShardID]float64),
		hot:        make(map[ServiceID][]HotKeyLoad),
		rounds:     make(map[ServiceID]time.Time),
	}
}

// Active reports whether the placer holds its lease and has claimed the epoch
// of the recorded table.
func (p *Placer) Active() bool {
	return p.elected && p.claimed
}

// Table returns the last table known to be recorded, or nil.
func (p *Placer) Table() *Table {
	return p.table
}

// Step applies event at time now and returns the actions to carry out. Events
// that only inform the placer are taken cheaply; the next table is planned on
// a [Tick] and when a read or write of the table has ended.
func (p *Placer) Step(now time.Time, event Event) []Action {
	p.out = nil
	switch e := event.(type) {
	case Tick:
	case Elected:
		p.elect()
	case LeadershipLost:
		p.depose()
	case TableRead:
		p.tableRead(now, e)
	case TableWritten:
		p.tableWritten(now, e)
	case WriteConflicted:
		p.writeFailed(e.Nonce)
	case WriteUnknown:
		p.writeFailed(e.Nonce)
	case VersionObserved:
		p.superseded(e)
	case HostReported:
		p.hostFollowed(now, e)
	case HostConnectionRefused:
		p.hostRefused(e)
	case ServerObserved:
		p.serverObserved(now, e)
	case ServerReleased:
		p.serverReleased(e)
	case ServersListed:
		p.serversListed(e)
	case RulesRecorded:
		p.rules.recorded(e)
	case RulesClosed:
		p.rules.closed[e.Domain] = max(p.rules.closed[e.Domain], e.Closed)
	case LoadsObserved:
		p.loads[e.Service] = e.Loads
		p.quiet = 0
	case HotKeysObserved:
		p.hot[e.Service] = e.Keys
		p.quiet = 0
	}
	switch event.(type) {
	case Tick, TableRead, TableWritten:
		p.advance(now)
	}
	return p.out
}

func (p *Placer) emit(a Action) {
	p.out = append(p.out, a)
}

// elect starts a term with a read of the recorded table.
func (p *Placer) elect() {
	if p.elected {
		return
	}
	p.elected = true
	p.claimed = false
	p.read()
}

// depose ends the term. A table that is being written may still take effect;
// its writer no longer acts on it.
func (p *Placer) depose() {
	p.elected = false
	p.claimed = false
	p.pending = nil
	p.reading = false
}

func (p *Placer) read() {
	p.reading = true
	p.emit(ReadTable{})
}

// tableRead takes the recorded table. Within a term it settles a write with an
// unknown outcome: the record carries the nonce of its writer.
func (p *Placer) tableRead(now time.Time, e TableRead) {
	if !p.elected || !p.reading {
		return
	}
	p.reading = false
	if p.pending != nil && e.Table != nil && e.Table.Nonce == p.pending.Nonce {
		p.tableWritten(now, TableWritten{Nonce: e.Table.Nonce, Revision: e.Revision})
		return
	}
	p.pending = nil
	if p.claimed && e.Revision == p.revision {
		return
	}
	p.claimed = false
	p.claim(now, e)
}

// superseded claims the table again after another placer has written it. The
// lease of this term is still held, so nobody else would.
func (p *Placer) superseded(e VersionObserved) {
	if !p.Active() || p.pending != nil || p.reading || e.Version <= p.table.Version {
		return
	}
	p.claimed = false
	p.read()
}

// claim writes the recorded table with the next epoch. Until the write is
// confirmed this host changes nothing; after it no former placer can.
func (p *Placer) claim(now time.Time, e TableRead) {
	next := p.firstTable()
	if e.Table != nil {
		next = e.Table.Clone()
	}
	p.revision = e.Revision
	next.Epoch++
	next.Sequence = 0
	next.PlacerHost = p.cfg.Host
	p.write(next)
	p.emit(Decision{At: now, Version: next.Version, Reason: ReasonEpochClaimed})
}

// firstTable returns the table of a domain that never had one. Its only member
// is this host; the others join it.
func (p *Placer) firstTable() *Table {
	return &Table{
		Domain: p.cfg.Domain,
		Hosts: []Host{{
			ID:          p.cfg.Host,
			Address:     p.cfg.Address,
			Incarnation: p.cfg.Incarnation,
			State:       HostActive,
		}},
	}
}

// write starts the compare-and-swap of next over the recorded table.
func (p *Placer) write(next *Table) {
	next.Version++
	next.Nonce = p.cfg.Nonce()
	p.pending = next
	p.emit(WriteTable{Table: next, Revision: p.revision})
}

// tableWritten makes the pending table the recorded one.
func (p *Placer) tableWritten(now time.Time, e TableWritten) {
	if !p.elected || p.pending == nil || p.pending.Nonce != e.Nonce {
		return
	}
	firstOfTerm := !p.claimed
	p.claimed = true
	p.table = p.pending
	p.pending = nil
	p.revision = e.Revision
	if firstOfTerm {
		p.startTerm(now)
	}
	p.ledger.record(p.table, now)
	p.noteTransitions()
	p.emit(PublishTable{Table: p.table, Revision: p.revision})
}

// startTerm forgets what was known under an earlier epoch. Proofs for
// transitions that the table already holds start again at this version.
func (p *Placer) startTerm(now time.Time) {
	p.ledger = versionLedger{lease: p.cfg.Timing.RouteLease + p.cfg.Timing.DriftMargin}
	p.firstVersion = p.table.Version
	p.quiet = 0
	p.shardSince = make(map[shardRef]Version)
	p.hostSince = make(map[HostID]hostTransition)
	for _, view := range p.hosts {
		view.startTerm(now)
	}
	for _, view := range p.servers {
		view.released = 0
		view.clearedAt = time.Time{}
	}
	for _, h := range p.table.Hosts {
		p.host(now, h.ID)
	}
}

// writeFailed resolves a write that was refused, or whose outcome is unknown,
// by reading the record.
func (p *Placer) writeFailed(nonce uint64) {
	if !p.elected || p.pending == nil || p.pending.Nonce != nonce {
		return
	}
	p.read()
}

// noteTransitions keeps the version at which each shard and host entered its
// present transition.
func (p *Placer) noteTransitions() {
	for i := range p.table.Services {
		service := &p.table.Services[i]
		for n, shard := range service.Shards {
			ref := shardRef{service: service.Service, shard: ShardID(n)}
			p.noteShard(ref, shard)
		}
	}
	p.noteHosts()
}

func (p *Placer) noteHosts() {
	for id := range p.hostSince {
		if p.table.Host(id) == nil {
			delete(p.hostSince, id)
		}
	}
	for _, h := range p.table.Hosts {
		noted, exists := p.hostSince[h.ID]
		if exists && noted.state == h.State && noted.incarnation == h.Incarnation {
			continue
		}
		p.hostSince[h.ID] = hostTransition{
			state:       h.State,
			incarnation: h.Incarnation,
			version:     p.table.Version,
		}
	}
}

func (p *Placer) noteShard(ref shardRef, shard Shard) {
	if shard.NextOwner == "" {
		delete(p.shardSince, ref)
		return
	}
	if _, noted := p.shardSince[ref]; !noted {
		p.shardSince[ref] = p.table.Version
	}
}

// advance plans the next table and writes it if it differs.
func (p *Placer) advance(now time.Time) {
	if !p.Active() || p.pending != nil || p.reading {
		return
	}
	p.ledger.advance(now, p.hosts)
	draft := &draft{placer: p, now: now, next: p.table.cloneRoster()}
	draft.planHosts()
	draft.planServers()
	draft.planRules()
	draft.planShards()
	if !draft.changed {
		return
	}
	p.write(draft.next)
	for _, decision := range draft.decisions {
		decision.Version = draft.next.Version
		p.emit(decision)
	}
}

// draft is a table under construction.
type draft struct {
	placer  *Placer
	now     time.Time
	next    *Table
	changed bool
	// waiting says that a shard needs something that is not possible yet.
	waiting   bool
	decisions []Decision
}

func (d *draft) decide(decision Decision) {
	decision.At = d.now
	d.changed = true
	d.decisions = append(d.decisions, decision)
}
