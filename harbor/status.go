package harbor

import (
	"encoding/json"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/signal"
)

// Status is the state of one entry host, as served by the admin API.
type Status struct {
	Host         berth.HostID    `json:"host"`
	Domain       berth.DomainID  `json:"domain"`
	Ready        bool            `json:"ready"`
	Placer       bool            `json:"placer"`
	Confirmed    bool            `json:"confirmed"`
	Epoch        berth.Epoch     `json:"epoch"`
	Version      berth.Version   `json:"version"`
	PlacerHost   berth.HostID    `json:"holder"`
	Rules        RulesStatus     `json:"rules"`
	InFlight     int             `json:"in_flight"`
	Hosts        []HostStatus    `json:"hosts"`
	Servers      []ServerSummary `json:"servers"`
	OtherDomains []DomainSummary `json:"other_domains"`
	// UnknownDomains are the failure domains for which the directory of this
	// host contains no active entry host, so that it refuses requests for their
	// keys.
	UnknownDomains []berth.DomainID `json:"unknown_domains"`
}

// RulesStatus contains the revisions of the rules that a host and its failure
// domain use.
type RulesStatus struct {
	// Host is the newest revision that the host has received.
	Host berth.RulesRevision `json:"host"`
	// Closing, Closed and Opened are those of the table; see berth.RulesState.
	Closing berth.RulesRevision `json:"closing"`
	Closed  berth.RulesRevision `json:"closed"`
	Opened  berth.RulesRevision `json:"opened"`
}

// HostStatus is one entry host of the table.
type HostStatus struct {
	ID      berth.HostID `json:"id"`
	Address string       `json:"address"`
	State   string       `json:"state"`
}

// ServerSummary is one backend server of the table.
type ServerSummary struct {
	ID           berth.ServerID  `json:"id"`
	Service      berth.ServiceID `json:"service"`
	Address      string          `json:"address"`
	State        string          `json:"state"`
	ChecksGrants bool            `json:"checks_grants"`
	Shards       int             `json:"shards"`
	Moving       int             `json:"moving"`
	Probers      []berth.HostID  `json:"wardens"`
}

// DomainSummary is the state of another failure domain as last received by a
// host.
type DomainSummary struct {
	Domain  berth.DomainID `json:"domain"`
	Epoch   berth.Epoch    `json:"epoch"`
	Version berth.Version  `json:"version"`
	Hosts   []HostStatus   `json:"hosts"`
}

// Explanation describes where requests for one key are routed, and why.
type Explanation struct {
	Service  berth.ServiceID `json:"service"`
	Key      string          `json:"key"`
	Rule     string          `json:"rule"`
	RuleLine int             `json:"rule_line"`
	Home     berth.DomainID  `json:"home"`
	// Here reports whether the responding host belongs to the home domain. If
	// it does not, the fields from Shard to InPlace are empty.
	Here      bool           `json:"here"`
	Divided   bool           `json:"divided_by_key"`
	Shard     berth.ShardID  `json:"shard"`
	Owner     berth.ServerID `json:"owner"`
	NextOwner berth.ServerID `json:"next_owner,omitempty"`
	Token     string         `json:"token"`
	// InPlace reports whether the assignment is recorded and requests may be
	// dispatched to the owner.
	InPlace bool   `json:"in_place"`
	Reason  string `json:"reason"`
}

// Drain is an operator's request to drain a backend server.
type Drain struct {
	Server berth.ServerID `json:"server"`
	By     string         `json:"by"`
	Reason string         `json:"reason,omitempty"`
}

// Abandonment is an operator's statement that a failure domain no longer serves
// the keys that the rules up to a revision moved away from it. It replaces the
// proof by the domain itself, which a lost domain cannot provide. If the domain
// is only partitioned and still serves requests, its keys have two owners.
type Abandonment struct {
	Domain   berth.DomainID      `json:"domain"`
	Revision berth.RulesRevision `json:"revision"`
	By       string              `json:"by"`
	Reason   string              `json:"reason"`
}

// Problem is the response body of a failed call to the admin API.
type Problem struct {
	Error string `json:"error"`
	// Current contains the accepted rules if the call failed because they have
	// changed since the operator read them.
	Current *RulesRecord `json:"current,omitempty"`
}

// ApplyRulesRequest is a request to replace the rules.
type ApplyRulesRequest struct {
	// Base is the revision on which the operator's edit is based.
	Base   berth.RulesRevision `json:"base"`
	Text   string              `json:"text"`
	By     string              `json:"by"`
	Reason string              `json:"reason"`
}

// status returns the state of this host.
func (d *Daemon) status() Status {
	view := d.gate.View()
	s := Status{
		Host:      d.settings.Host.ID,
		Domain:    d.settings.Host.Domain,
		Ready:     d.admin.ready(),
		Placer:    d.placerRunner.isActive(),
		Confirmed: view.Confirmed,
		InFlight:  view.InFlight,
		Rules:     RulesStatus{Host: d.rulesCache.Newest().Revision},
	}
	for _, domain := range d.settings.Domains {
		if len(d.directory.Hosts(domain.ID)) == 0 {
			s.UnknownDomains = append(s.UnknownDomains, domain.ID)
		}
	}
	for _, r := range d.directory.Rosters() {
		s.OtherDomains = append(s.OtherDomains, DomainSummary{
			Domain: r.Domain, Epoch: r.Epoch, Version: r.Version,
			Hosts: hostStatuses(r.Hosts),
		})
	}
	if view.Table == nil {
		return s
	}
	s.Epoch = view.Table.Epoch
	s.Version = view.Table.Version
	s.PlacerHost = view.Table.PlacerHost
	s.Rules.Closing = view.Table.Rules.Closing
	s.Rules.Closed = view.Table.Rules.Closed
	s.Rules.Opened = view.Table.Rules.Opened
	s.Hosts = hostStatuses(view.Table.Hosts)
	s.Servers = serverSummaries(view.Table)
	return s
}

func hostStatuses(hosts []berth.Host) []HostStatus {
	statuses := make([]HostStatus, 0, len(hosts))
	for _, h := range hosts {
		statuses = append(statuses, HostStatus{ID: h.ID, Address: h.Address, State: h.State.String()})
	}
	return statuses
}

func serverSummaries(table *berth.Table) []ServerSummary {
	placed := make(map[berth.ServerID]int)
	moving := make(map[berth.ServerID]int)
	for i := range table.Services {
		for _, shard := range table.Services[i].Shards {
			if shard.Placed() {
				placed[shard.Owner]++
			} else if shard.NextOwner != "" {
				moving[shard.NextOwner]++
			}
		}
	}
	summaries := make([]ServerSummary, 0, len(table.Servers))
	for _, server := range table.Servers {
		summaries = append(summaries, ServerSummary{
			ID: server.ID, Service: server.Service, Address: server.Address,
			State: server.State.String(), ChecksGrants: server.ChecksGrants,
			Shards: placed[server.ID], Moving: moving[server.ID],
			Probers: table.Probers(server.ID),
		})
	}
	return summaries
}

// explain returns where requests for a key are routed, and why.
func (d *Daemon) explain(service berth.ServiceID, key string) Explanation {
	e := Explanation{Service: service, Key: key}
	file, _ := d.rulesCache.File(d.rulesCache.Newest().Revision)
	rule, ok := file.Match(service, key)
	if !ok {
		e.Reason = "no rule matches the key"
		return e
	}
	e.Rule = rule.String()
	e.RuleLine = rule.Position.Line
	e.Home = rule.Domain
	e.Here = rule.Domain == d.settings.Host.Domain
	config, _ := d.router.Service(service)
	e.Divided = config.Divided
	if !e.Divided {
		e.Reason = "the service is not divided by key; any live server may serve the key"
		return e
	}
	if !e.Here {
		e.Reason = "the key is served in its home domain; ask an entry host there"
		return e
	}
	d.explainOwner(&e)
	return e
}

func (d *Daemon) explainOwner(e *Explanation) {
	table := d.gate.View().Table
	if table == nil || table.Shards(e.Service) == nil {
		e.Reason = "the host has not received a table yet"
		return
	}
	shards := table.Shards(e.Service)
	e.Shard = shards.ShardOf(e.Key)
	assignment := shards.Shards[e.Shard]
	e.Owner = assignment.Owner
	e.NextOwner = assignment.NextOwner
	e.Token = assignment.Token.String()
	e.InPlace = assignment.Placed()
	switch {
	case assignment.Placed():
		e.Reason = "the hash of the key selects the shard, and the table places it"
	case assignment.NextOwner != "":
		e.Reason = "the shard is moving; it waits for proof that its former owner has released it"
	default:
		e.Reason = "the shard has no owner yet"
	}
}

// decodePeerStatus decodes the status that another entry host has sent.
func (d *Daemon) decodePeerStatus(reply *signal.StatusReply) (Status, error) {
	var s Status
	if err := json.Unmarshal(reply.GetJson(), &s); err != nil {
		return s, newError("read status", KindPeer, err)
	}
	return s, nil
}
