package berth

import "time"

// Policy holds the placement parameters of one service. They trade availability
// and balance against the number of moves.
type Policy struct {
	// ReturnGrace is how long the shards of a stopped or unresponsive server
	// wait for its return before they are moved. It avoids moves during a
	// rolling restart, but lengthens the time without an owner.
	ReturnGrace time.Duration
	// ImbalanceTolerance is the fraction by which the load of the busiest
	// server may exceed the mean before shards are moved away from it. Zero or
	// less disables balancing.
	ImbalanceTolerance float64
	// MovesPerRound is the maximum number of shards moved in one round of
	// balancing.
	MovesPerRound int
	// RoundInterval is the minimum time between two rounds of balancing.
	RoundInterval time.Duration
	// MaxHotKeys is the maximum number of keys with a shard of their own.
	MaxHotKeys int
	// HotShare is the fraction of a server's mean load at and above which a key
	// is hot.
	HotShare float64
}

// ServiceSpec describes a service that is divided by key.
type ServiceSpec struct {
	ID         ServiceID
	HashShards uint32
	Policy     Policy
}

// Timing holds the durations on which proofs are based.
type Timing struct {
	// RouteLease is how long an entry host may dispatch after its table was
	// confirmed.
	RouteLease time.Duration
	// GrantTTL is how long a grant is valid after its renewal was sent.
	GrantTTL time.Duration
	// DriftMargin is added to RouteLease and GrantTTL to allow for clocks that
	// run at different rates.
	DriftMargin time.Duration
	// HostTimeout is how long an entry host may go without a report before it
	// is removed.
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
	// Nonce returns a number that no other writer uses, to identify a write.
	Nonce func() uint64
}

// Placer computes the assignment table of one failure domain. It is not safe
// for concurrent use.
type Placer struct {
	cfg      PlacerConfig
	elected  bool
	claimed  bool
	reading  bool
	table    *Table
	revision StoreRevision
	pending  *Table

	history      versionHistory
	hosts        map[HostID]*hostView
	servers      map[ServerID]*serverView
	listed       map[ServerID]ListedServer
	listReceived bool
	// hostStoppedAt is when an entry host's process was last found to have ended.
	// A placer does not know which ones ended before its term; it starts from the
	// beginning of the term.
	hostStoppedAt time.Time

	// shardSince holds the version since which a shard is moving, and
	// hostTransitions the one at which a host entered its current state.
	shardSince      map[shardRef]Version
	hostTransitions map[HostID]hostTransition

	// firstVersion is the version with which this placer claimed the epoch, and
	// closingSince the one that started to close the newest rules.
	firstVersion Version
	closingSince Version

	// idleVersion is the version for which planning last found no change to the
	// shards, or zero if the shards have to be planned again.
	idleVersion Version

	rules      rulesView
	loads      map[ServiceID]map[ShardID]float64
	hotKeys    map[ServiceID][]HotKeyLoad
	lastRounds map[ServiceID]time.Time
	actions    []Action
}

// shardRef identifies a shard within a table.
type shardRef struct {
	service ServiceID
	shard   ShardID
}

// NewPlacer returns a placer that is not elected.
func NewPlacer(cfg PlacerConfig) *Placer {
	return &Placer{
		cfg:             cfg,
		hosts:           make(map[HostID]*hostView),
		servers:         make(map[ServerID]*serverView),
		listed:          make(map[ServerID]ListedServer),
		shardSince:      make(map[shardRef]Version),
		hostTransitions: make(map[HostID]hostTransition),
		rules:           rulesView{closed: make(map[DomainID]RulesRevision)},
		loads:           make(map[ServiceID]map[ShardID]float64),
		hotKeys:         make(map[ServiceID][]HotKeyLoad),
		lastRounds:      make(map[ServiceID]time.Time),
	}
}

// Active reports whether the placer holds the placer's lease and has claimed
// the epoch of the recorded table.
func (p *Placer) Active() bool {
	return p.elected && p.claimed
}

// Table returns the last table known to be recorded, or nil.
func (p *Placer) Table() *Table {
	return p.table
}

// Step applies event at time now and returns the actions to execute. Most
// events only update the placer's state, which is cheap. The next table is
// planned on a [Tick] and when a read or write of the table has ended.
func (p *Placer) Step(now time.Time, event Event) []Action {
	p.actions = nil
	switch e := event.(type) {
	case Tick:
	case Elected:
		p.becomeLeader()
	case LeadershipLost:
		p.stepDown()
	case TableRead:
		p.tableRead(now, e)
	case TableWritten:
		p.tableWritten(now, e)
	case WriteConflicted:
		p.writeFailed(e.Nonce)
	case WriteUnknown:
		p.writeFailed(e.Nonce)
	case VersionObserved:
		p.observeVersion(e)
	case HostReported:
		p.hostReported(now, e)
	case HostConnectionRefused:
		p.hostConnectionRefused(now, e)
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
		p.idleVersion = 0
	case HotKeysObserved:
		p.hotKeys[e.Service] = e.Keys
		p.idleVersion = 0
	}
	switch event.(type) {
	case Tick, TableRead, TableWritten:
		p.advance(now)
	}
	return p.actions
}

func (p *Placer) emit(a Action) {
	p.actions = append(p.actions, a)
}

// becomeLeader starts a term by reading the recorded table.
func (p *Placer) becomeLeader() {
	if p.elected {
		return
	}
	p.elected = true
	p.claimed = false
	p.read()
}

// stepDown ends the term. A write in progress may still succeed, but this
// placer no longer acts on its result.
func (p *Placer) stepDown() {
	p.elected = false
	p.claimed = false
	p.pending = nil
	p.reading = false
}

func (p *Placer) read() {
	p.reading = true
	p.emit(ReadTable{})
}

// tableRead handles the recorded table. Within a term the table's nonce shows
// whether a write of unknown outcome has succeeded.
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

// observeVersion claims the table again if another placer has written it. As
// this placer still holds the lease, no other placer would do so.
func (p *Placer) observeVersion(e VersionObserved) {
	if !p.Active() || p.pending != nil || p.reading || e.Version <= p.table.Version {
		return
	}
	p.claimed = false
	p.read()
}

// claim writes the recorded table with the next epoch. Until this write is
// confirmed the placer makes no other change. After it, no earlier placer can
// change the table.
func (p *Placer) claim(now time.Time, e TableRead) {
	next := p.firstTable()
	if e.Table != nil {
		next = e.Table.Clone()
	}
	p.revision = e.Revision
	next.Epoch++
	next.Sequence = 0
	next.PlacerHost = p.cfg.Host
	next.PlacerAddress = p.cfg.Address
	p.write(next)
	p.emit(Decision{At: now, Version: next.Version, Reason: ReasonEpochClaimed})
}

// firstTable returns the initial table of a failure domain. Its only member is
// this host; the other hosts join later.
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

// write starts a compare-and-swap that replaces the recorded table with next.
func (p *Placer) write(next *Table) {
	next.Version++
	next.Nonce = p.cfg.Nonce()
	p.pending = next
	p.emit(WriteTable{Table: next, Revision: p.revision})
}

// tableWritten makes the pending table the recorded one and publishes it.
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
	p.history.record(p.table, now)
	p.recordTransitions()
	p.emit(PublishTable{Table: p.table, Revision: p.revision})
}

// startTerm discards state that belongs to an earlier epoch. The proofs for
// transitions that are in progress in the table are started again from this
// version.
func (p *Placer) startTerm(now time.Time) {
	p.history = versionHistory{lease: p.cfg.Timing.RouteLease + p.cfg.Timing.DriftMargin}
	p.firstVersion = p.table.Version
	p.idleVersion = 0
	p.hostStoppedAt = now
	p.shardSince = make(map[shardRef]Version)
	p.hostTransitions = make(map[HostID]hostTransition)
	for _, view := range p.hosts {
		view.startTerm(now)
	}
	for _, view := range p.servers {
		view.released = 0
		view.caughtUpAt = time.Time{}
	}
	for _, h := range p.table.Hosts {
		p.host(now, h.ID)
	}
}

// writeFailed reads the record after a write that was rejected or whose
// outcome is unknown.
func (p *Placer) writeFailed(nonce uint64) {
	if !p.elected || p.pending == nil || p.pending.Nonce != nonce {
		return
	}
	p.read()
}

// recordTransitions records the version at which each shard and host entered
// its current transition.
func (p *Placer) recordTransitions() {
	for i := range p.table.Services {
		service := &p.table.Services[i]
		for n, shard := range service.Shards {
			ref := shardRef{service: service.Service, shard: ShardID(n)}
			p.recordShardTransition(ref, shard)
		}
	}
	p.recordHostTransitions()
}

func (p *Placer) recordHostTransitions() {
	for id := range p.hostTransitions {
		if p.table.Host(id) == nil {
			delete(p.hostTransitions, id)
		}
	}
	for _, h := range p.table.Hosts {
		current, exists := p.hostTransitions[h.ID]
		if exists && current.state == h.State && current.incarnation == h.Incarnation {
			continue
		}
		p.hostTransitions[h.ID] = hostTransition{
			state:       h.State,
			incarnation: h.Incarnation,
			version:     p.table.Version,
		}
	}
}

func (p *Placer) recordShardTransition(ref shardRef, shard Shard) {
	if shard.NextOwner == "" {
		delete(p.shardSince, ref)
		return
	}
	if _, exists := p.shardSince[ref]; !exists {
		p.shardSince[ref] = p.table.Version
	}
}

// advance plans the next table and writes it if it differs from the recorded
// one. It does nothing while a read or write of the table is in progress.
func (p *Placer) advance(now time.Time) {
	if !p.Active() || p.pending != nil || p.reading {
		return
	}
	p.history.advance(now, p.hosts)
	draft := &draft{placer: p, now: now, next: p.table.cloneSharingServices()}
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
	// blocked is set if a shard needs a change that is not possible yet.
	blocked   bool
	decisions []Decision
}

// recordDecision marks the draft as changed and keeps decision for the log.
func (d *draft) recordDecision(decision Decision) {
	decision.At = d.now
	d.changed = true
	d.decisions = append(d.decisions, decision)
}
