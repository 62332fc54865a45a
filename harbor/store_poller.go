package harbor

import (
	"context"
	"encoding/json"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/manifest"
)

// storePoller reads the inputs of this domain's placer, other than its own
// table, from the store: the list of backend servers, drains, the rules, and
// the revision of the rules that each other domain has closed. It also passes
// on the loads that the entry hosts have reported. It runs in a loop of its
// own, so that a slow store does not block the placer. Its fields are accessed
// only from that loop.
type storePoller struct {
	d               *Daemon
	tableRevisions  map[berth.DomainID]ledger.Revision
	closedRevisions map[berth.DomainID]berth.RulesRevision
	draining        map[berth.ServerID]bool
}

func newStorePoller(d *Daemon) *storePoller {
	return &storePoller{
		d:               d,
		tableRevisions:  make(map[berth.DomainID]ledger.Revision),
		closedRevisions: make(map[berth.DomainID]berth.RulesRevision),
		draining:        make(map[berth.ServerID]bool),
	}
}

// idlePollInterval is how often a host that is not the placer checks whether it
// has become the placer.
const idlePollInterval = 20 * time.Millisecond

// run polls the store while this host is the placer, until ctx is done.
func (p *storePoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.d.placerRunner.isActive() {
			sleep(ctx, idlePollInterval)
			continue
		}
		p.poll(ctx)
		sleep(ctx, p.d.settings.Timing.ListIntervalMS.Duration())
	}
}

func (p *storePoller) poll(ctx context.Context) {
	p.readDrains(ctx)
	p.readBackends(ctx)
	p.readRules(ctx)
	p.readDomains(ctx)
	p.postLoads(ctx)
}

func (p *storePoller) readDrains(ctx context.Context) {
	entry, err := p.d.store.Get(ctx, drainsKey(p.d.settings.Host.Domain))
	if err != nil {
		return
	}
	var drains []Drain
	if err := json.Unmarshal(entry.Value, &drains); err != nil {
		p.d.logs.operationFailed("read drains", err)
		return
	}
	clear(p.draining)
	for _, drain := range drains {
		p.draining[drain.Server] = true
	}
}

func (p *storePoller) readBackends(ctx context.Context) {
	backends, err := p.d.store.Backends(ctx)
	if err != nil {
		return
	}
	var listed []berth.ListedServer
	for _, b := range backends {
		if b.Domain != string(p.d.settings.Host.Domain) {
			continue
		}
		id := berth.ServerID(b.ID)
		listed = append(listed, berth.ListedServer{
			ID:           id,
			Address:      b.Address,
			Service:      berth.ServiceID(b.Service),
			Leaving:      b.State == ledger.BackendLeaving || p.draining[id],
			ChecksGrants: b.ChecksGrants,
			Slots:        b.Slots,
			Connections:  b.Connections,
		})
	}
	p.d.placerRunner.postBlocking(ctx, berth.ServersListed{Servers: listed})
}

// readDomains reads the tables of the other domains that have changed, and the
// abandonments of these domains.
func (p *storePoller) readDomains(ctx context.Context) {
	for _, domain := range p.d.settings.Domains {
		if domain.ID == p.d.settings.Host.Domain {
			continue
		}
		p.readDomain(ctx, domain.ID)
		p.readAbandonment(ctx, domain.ID)
	}
}

// readAbandonment reads an operator's statement that a lost domain counts as
// having closed the rules up to a revision. It is read only while that domain
// has not closed the newest rules itself.
func (p *storePoller) readAbandonment(ctx context.Context, domain berth.DomainID) {
	if p.closedRevisions[domain] >= p.d.rulesCache.Newest().Revision {
		return
	}
	entry, err := p.d.store.Get(ctx, abandonmentKey(domain))
	if err != nil {
		return
	}
	var abandonment Abandonment
	if err := json.Unmarshal(entry.Value, &abandonment); err != nil {
		p.d.logs.operationFailed("read abandonment of "+string(domain), err)
		return
	}
	p.d.placerRunner.postBlocking(ctx, berth.RulesClosed{Domain: domain, Closed: abandonment.Revision})
}

func (p *storePoller) readDomain(ctx context.Context, domain berth.DomainID) {
	key := tableKey(domain)
	unchanged, err := p.d.store.Unchanged(ctx, key, p.tableRevisions[domain])
	if err != nil || unchanged {
		return
	}
	entry, err := p.d.store.Get(ctx, key)
	if err != nil {
		return
	}
	table, err := berth.DecodeTable(entry.Value)
	if err != nil {
		p.d.logs.operationFailed("decode table of "+string(domain), err)
		return
	}
	p.tableRevisions[domain] = entry.Revision
	p.d.directory.Update(rosterOf(table))
	p.closedRevisions[domain] = table.Rules.Closed
	p.d.placerRunner.postBlocking(ctx, berth.RulesClosed{Domain: domain, Closed: table.Rules.Closed})
}

// readRules reads the accepted rules and reports to the placer which domains
// lose keys under them.
func (p *storePoller) readRules(ctx context.Context) {
	record, _, err := p.d.storedRules().current(ctx)
	if err != nil || record.Revision == 0 {
		return
	}
	if err := p.d.rulesCache.Add(record); err != nil {
		p.d.logs.operationFailed("read rules", err)
		return
	}
	p.d.updateRules()
	table := p.d.gate.View().Table
	if table == nil {
		return
	}
	opened, known := p.d.rulesCache.File(table.Rules.Opened)
	newest, _ := p.d.rulesCache.File(record.Revision)
	if !known {
		return
	}
	p.d.placerRunner.postBlocking(ctx, berth.RulesRecorded{
		Revision: record.Revision,
		Sources:  manifest.DomainsLosingKeys(opened, newest),
	})
}

// postLoads passes the loads and hot keys that the hosts have reported to the
// placer.
func (p *storePoller) postLoads(ctx context.Context) {
	table := p.d.gate.View().Table
	if table == nil {
		return
	}
	for _, spec := range p.d.settings.Services {
		if !spec.DividedByKey {
			continue
		}
		shards := table.Shards(spec.ID)
		if shards == nil {
			continue
		}
		keys, loads := p.d.placerRunner.hotKeys.sum(spec.ID, shards)
		if len(keys) == 0 {
			continue
		}
		p.d.placerRunner.postBlocking(ctx, berth.LoadsObserved{Service: spec.ID, Loads: loads})
		p.d.placerRunner.postBlocking(ctx, berth.HotKeysObserved{Service: spec.ID, Keys: keys})
	}
}
