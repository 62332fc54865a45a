package harbor

import (
	"context"
	"encoding/json"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/manifest"
)

// observer reads from the store what the placer of this domain needs beyond its
// own table: the list of backend servers, drains, the rules, and how far the
// other domains have closed them. It has a loop of its own, so that a slow store
// does not hold up the placer. Only its loop uses its fields.
type observer struct {
	d        *Daemon
	tables   map[berth.DomainID]ledger.Revision
	closed   map[berth.DomainID]berth.RulesRevision
	draining map[berth.ServerID]bool
}

func newObserver(d *Daemon) *observer {
	return &observer{
		d:        d,
		tables:   make(map[berth.DomainID]ledger.Revision),
		closed:   make(map[berth.DomainID]berth.RulesRevision),
		draining: make(map[berth.ServerID]bool),
	}
}

// observerPoll is how often an idle observer looks whether its host has become
// the placer.
const observerPoll = 20 * time.Millisecond

// run observes while this host is the placer.
func (o *observer) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !o.d.placement.isActive() {
			sleep(ctx, observerPoll)
			continue
		}
		o.round(ctx)
		sleep(ctx, o.d.settings.Timing.ListIntervalMS.Duration())
	}
}

func (o *observer) round(ctx context.Context) {
	o.readDrains(ctx)
	o.readBackends(ctx)
	o.readRules(ctx)
	o.readDomains(ctx)
	o.feedRates(ctx)
}

func (o *observer) readDrains(ctx context.Context) {
	entry, err := o.d.store.Get(ctx, drainsKey(o.d.settings.Host.Domain))
	if err != nil {
		return
	}
	var drains []Drain
	if err := json.Unmarshal(entry.Value, &drains); err != nil {
		o.d.logs.failure("read drains", err)
		return
	}
	clear(o.draining)
	for _, drain := range drains {
		o.draining[drain.Server] = true
	}
}

func (o *observer) readBackends(ctx context.Context) {
	backends, err := o.d.store.Backends(ctx)
	if err != nil {
		return
	}
	var listed []berth.ListedServer
	for _, b := range backends {
		if b.Domain != string(o.d.settings.Host.Domain) {
			continue
		}
		id := berth.ServerID(b.ID)
		listed = append(listed, berth.ListedServer{
			ID:           id,
			Address:      b.Address,
			Service:      berth.ServiceID(b.Service),
			Leaving:      b.State == ledger.BackendLeaving || o.draining[id],
			ChecksGrants: b.ChecksGrants,
			Slots:        b.Slots,
			Connections:  b.Connections,
		})
	}
	o.d.placement.postTerm(ctx, berth.ServersListed{Servers: listed})
}

// readDomains reads the tables of the other domains that have changed.
func (o *observer) readDomains(ctx context.Context) {
	for _, domain := range o.d.settings.Domains {
		if domain.ID == o.d.settings.Host.Domain {
			continue
		}
		o.readDomain(ctx, domain.ID)
		o.readAbandonment(ctx, domain.ID)
	}
}

// readAbandonment takes an operator's word for the closing of a lost domain. It
// is read only while that domain has not closed the newest rules itself.
func (o *observer) readAbandonment(ctx context.Context, domain berth.DomainID) {
	if o.closed[domain] >= o.d.book.Newest().Revision {
		return
	}
	entry, err := o.d.store.Get(ctx, abandonKey(domain))
	if err != nil {
		return
	}
	var abandonment Abandonment
	if err := json.Unmarshal(entry.Value, &abandonment); err != nil {
		o.d.logs.failure("read abandonment of "+string(domain), err)
		return
	}
	o.d.placement.postTerm(ctx, berth.RulesClosed{Domain: domain, Closed: abandonment.Revision})
}

func (o *observer) readDomain(ctx context.Context, domain berth.DomainID) {
	key := tableKey(domain)
	unchanged, err := o.d.store.Unchanged(ctx, key, o.tables[domain])
	if err != nil || unchanged {
		return
	}
	entry, err := o.d.store.Get(ctx, key)
	if err != nil {
		return
	}
	table, err := berth.DecodeTable(entry.Value)
	if err != nil {
		o.d.logs.failure("decode table of "+string(domain), err)
		return
	}
	o.tables[domain] = entry.Revision
	o.d.directory.Update(rosterOf(table))
	o.closed[domain] = table.Rules.Closed
	o.d.placement.postTerm(ctx, berth.RulesClosed{Domain: domain, Closed: table.Rules.Closed})
}

// readRules reads the accepted rules and tells the placer who loses keys.
func (o *observer) readRules(ctx context.Context) {
	record, _, err := o.d.rules().current(ctx)
	if err != nil || record.Revision == 0 {
		return
	}
	if err := o.d.book.Add(record); err != nil {
		o.d.logs.failure("read rules", err)
		return
	}
	o.d.updateRules()
	table := o.d.gate.View().Table
	if table == nil {
		return
	}
	opened, known := o.d.book.File(table.Rules.Opened)
	newest, _ := o.d.book.File(record.Revision)
	if !known {
		return
	}
	o.d.placement.postTerm(ctx, berth.RulesRecorded{
		Revision: record.Revision,
		Sources:  manifest.DomainsLosingKeys(opened, newest),
	})
}

// feedRates gives the placer the load that the hosts have reported.
func (o *observer) feedRates(ctx context.Context) {
	table := o.d.gate.View().Table
	if table == nil {
		return
	}
	for _, spec := range o.d.settings.Services {
		if !spec.DividedByKey {
			continue
		}
		shards := table.Shards(spec.ID)
		if shards == nil {
			continue
		}
		keys, loads := o.d.placement.rates.sum(spec.ID, shards)
		if len(keys) == 0 {
			continue
		}
		o.d.placement.postTerm(ctx, berth.LoadsObserved{Service: spec.ID, Loads: loads})
		o.d.placement.postTerm(ctx, berth.HotKeysObserved{Service: spec.ID, Keys: keys})
	}
}
