package berth

import (
	"slices"
	"time"
)

// serverView is the placer's view of one backend server.
type serverView struct {
	reports   map[HostID]serverReport
	condition Condition
	// since is when condition last changed.
	since time.Time
	// released is the highest version for which the server has confirmed that
	// it holds no grants other than those of the version.
	released Version
	// caughtUpAt is when no entry host acted on a version lower than
	// caughtUpVersion any more. After this time no grant of an earlier version
	// was renewed.
	caughtUpAt      time.Time
	caughtUpVersion Version
}

// server returns the view of server id. It creates the view on first use.
func (p *Placer) server(id ServerID) *serverView {
	view, exists := p.servers[id]
	if !exists {
		view = &serverView{reports: make(map[HostID]serverReport)}
		p.servers[id] = view
	}
	return view
}

func (p *Placer) serverObserved(now time.Time, e ServerObserved) {
	p.server(e.Server).reports[e.Host] = serverReport{condition: e.Condition, at: now}
}

// serverReport is the last observation of a server by one entry host.
type serverReport struct {
	condition Condition
	at        time.Time
}

// reportMaxAge is how long an observation is used. It spans several report
// intervals, so that the loss of a single message has no effect.
const reportMaxAge = 700 * time.Millisecond

// updateCondition derives the condition of a server from the recent
// observations of all entry hosts. The observation with the highest rank wins,
// so a host that cannot reach the server does not override another host that
// can.
func (v *serverView) updateCondition(now time.Time) {
	strongest := Condition(0)
	for host, report := range v.reports {
		if now.Sub(report.at) > reportMaxAge {
			delete(v.reports, host)
			continue
		}
		if strongest == 0 || report.condition.rank() > strongest.rank() {
			strongest = report.condition
		}
	}
	if strongest == 0 || strongest == v.condition {
		return
	}
	v.condition = strongest
	v.since = now
}

// rank orders conditions by the strength of their evidence: a response is
// stronger than a refused connection, which is stronger than a missing
// response.
func (c Condition) rank() int {
	switch c {
	case ConditionDraining:
		return 4
	case ConditionAlive:
		return 3
	case ConditionConnectionRefused:
		return 2
	default:
		return 1
	}
}

func (p *Placer) serverReleased(e ServerReleased) {
	view := p.server(e.Server)
	view.released = max(view.released, e.Version)
}

func (p *Placer) serversListed(e ServersListed) {
	clear(p.listed)
	p.listReceived = true
	for _, s := range e.Servers {
		p.listed[s.ID] = s
	}
}

// planServers updates the table's servers from the platform's list and from the
// observations of the entry hosts. It does nothing before the first list.
func (d *draft) planServers() {
	if !d.placer.listReceived {
		return
	}
	for i := range d.next.Servers {
		d.placer.server(d.next.Servers[i].ID).updateCondition(d.now)
		d.updateServer(&d.next.Servers[i])
	}
	d.removeServers()
	d.addServers()
}

// updateServer updates the state and the limits of a server in the table.
func (d *draft) updateServer(s *Server) {
	listed, isListed := d.placer.listed[s.ID]
	state := d.serverState(*s, listed, isListed)
	next := *s
	next.State = state
	if isListed && state == ServerLive {
		next.Slots = listed.Slots
		next.Connections = listed.Connections
	}
	if next == *s {
		return
	}
	*s = next
	d.recordDecision(Decision{Service: s.Service, From: s.ID, Reason: ReasonServerState})
}

// serverState returns the new state of a server. The observations of the entry
// hosts take precedence over the platform's list, which may be out of date.
// However, a server that answers without reporting that it is draining is
// drained if the list says that it is leaving or no longer contains it.
func (d *draft) serverState(s Server, listed ListedServer, isListed bool) ServerState {
	switch d.placer.server(s.ID).condition {
	case ConditionConnectionRefused:
		return ServerStopped
	case ConditionUnresponsive:
		return ServerUnresponsive
	case ConditionDraining:
		return ServerDraining
	case ConditionAlive:
		if !isListed || listed.Leaving {
			return ServerDraining
		}
		return ServerLive
	default:
		return s.State
	}
}

// removeServers removes the servers that are neither in the platform's list nor
// referred to by a shard.
func (d *draft) removeServers() {
	referenced := d.next.referencedServers()
	kept := d.next.Servers[:0]
	for _, s := range d.next.Servers {
		_, isListed := d.placer.listed[s.ID]
		if isListed || referenced[s.ID] {
			kept = append(kept, s)
			continue
		}
		d.recordDecision(Decision{Service: s.Service, From: s.ID, Reason: ReasonServerState})
	}
	d.next.Servers = kept
}

// addServers adds the listed servers that are not in the table yet. They start
// in state [ServerStopped], so that a server receives no requests before an
// entry host has observed that it answers.
func (d *draft) addServers() {
	ids := make([]ServerID, 0, len(d.placer.listed))
	for id := range d.placer.listed {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if d.next.Server(id) != nil {
			continue
		}
		listed := d.placer.listed[id]
		d.next.Servers = append(d.next.Servers, Server{
			ID:           id,
			Address:      listed.Address,
			Service:      listed.Service,
			State:        ServerStopped,
			ChecksGrants: listed.ChecksGrants,
			Slots:        listed.Slots,
			Connections:  listed.Connections,
		})
		d.recordDecision(Decision{Service: listed.Service, To: id, Reason: ReasonServerState})
	}
}

// referencedServers returns the servers that are the owner or the next owner
// of a shard.
func (t *Table) referencedServers() map[ServerID]bool {
	referenced := make(map[ServerID]bool)
	for i := range t.Services {
		for _, shard := range t.Services[i].Shards {
			referenced[shard.Owner] = true
			referenced[shard.NextOwner] = true
		}
	}
	return referenced
}
