package berth

import (
	"slices"
	"time"
)

// serverView is what the placer knows of one backend server.
type serverView struct {
	reports   map[HostID]serverReport
	condition Condition
	since     time.Time
	// released is the highest version whose grants the server has confirmed
	// to be all that it holds.
	released Version
	// clearedAt is when no entry host acted on a version before clearedFor
	// any more. No renewal of an older grant was sent after it.
	clearedAt  time.Time
	clearedFor Version
}

func (p *Placer) server(id ServerID) *serverView {
	view, known := p.servers[id]
	if !known {
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

// reportMaxAge is how long an observation counts. It spans several reports, so
// that one lost message does not matter.
const reportMaxAge = 700 * time.Millisecond

// judge combines the fresh observations of a server. One entry host that
// cannot reach a server does not outweigh another that can.
func (v *serverView) judge(now time.Time) {
	best := Condition(0)
	for host, report := range v.reports {
		if now.Sub(report.at) > reportMaxAge {
			delete(v.reports, host)
			continue
		}
		if best == 0 || report.condition.rank() > best.rank() {
			best = report.condition
		}
	}
	if best == 0 || best == v.condition {
		return
	}
	v.condition = best
	v.since = now
}

// rank orders conditions by how much they prove: an answer proves more than a
// refused connection, and that more than silence.
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
	p.haveSet = true
	for _, s := range e.Servers {
		p.listed[s.ID] = s
	}
}

// planServers brings the table's servers in line with the platform's list and
// with what the entry hosts have observed.
func (d *draft) planServers() {
	if !d.placer.haveSet {
		return
	}
	for i := range d.next.Servers {
		d.placer.server(d.next.Servers[i].ID).judge(d.now)
		d.updateServer(&d.next.Servers[i])
	}
	d.dropServers()
	d.addServers()
}

// updateServer sets the state of one known server.
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
	d.decide(Decision{Service: s.Service, From: s.ID, Reason: ReasonServerState})
}

// serverState decides the state of a server. The observation of an entry host
// comes before the platform's list, which lags; but only the list may drain a
// server that still answers.
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

// dropServers removes servers that are neither listed nor named by a shard.
func (d *draft) dropServers() {
	named := d.next.namedServers()
	kept := d.next.Servers[:0]
	for _, s := range d.next.Servers {
		_, isListed := d.placer.listed[s.ID]
		if isListed || named[s.ID] {
			kept = append(kept, s)
			continue
		}
		d.decide(Decision{Service: s.Service, From: s.ID, Reason: ReasonServerState})
	}
	d.next.Servers = kept
}

// addServers adds the listed servers that the table lacks. A server is not
// given work before an entry host has seen it answer.
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
		d.decide(Decision{Service: listed.Service, To: id, Reason: ReasonServerState})
	}
}

// namedServers returns the servers that own or are about to own a shard.
func (t *Table) namedServers() map[ServerID]bool {
	named := make(map[ServerID]bool)
	for i := range t.Services {
		for _, shard := range t.Services[i].Shards {
			named[shard.Owner] = true
			named[shard.NextOwner] = true
		}
	}
	return named
}
