package berth

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Share is the part of a backend server's limits that one entry host may use.
type Share struct {
	Slots       uint32
	Connections uint32
}

// FrontSet returns the entry hosts that hold a part of the limits of server,
// at most size of them, in order of preference. Every host computes the same
// set from the same table. A size of zero means no limit.
//
// Joining and leaving hosts are in the set: a joining host must have its part
// free before it may dispatch, and a leaving one may still use its part.
func (t *Table) FrontSet(server ServerID, size int) []HostID {
	ids := make([]HostID, 0, len(t.Hosts))
	for _, h := range t.Hosts {
		ids = append(ids, h.ID)
	}
	hosts := rankHosts(ids, server)
	if size > 0 && len(hosts) > size {
		hosts = hosts[:size]
	}
	return hosts
}

// ShareOf divides the limits of server between its front set, so that the
// parts add up to the whole. The share of a host outside the front set is
// zero.
func (t *Table) ShareOf(host HostID, server Server, size int) Share {
	front := t.FrontSet(server.ID, size)
	rank := slices.Index(front, host)
	if rank < 0 {
		return Share{}
	}
	return Share{
		Slots:       part(server.Slots, len(front), rank),
		Connections: part(server.Connections, len(front), rank),
	}
}

// wardensPerServer is the number of entry hosts that probe and grant each
// backend server, so that the loss of one interrupts neither.
const wardensPerServer = 2

// Probers returns the entry hosts that probe server and grant it its shards.
func (t *Table) Probers(server ServerID) []HostID {
	hosts := rankHosts(t.activeHosts(), server)
	return hosts[:min(len(hosts), wardensPerServer)]
}

// part returns the rank-th of n parts of whole; the first ones get the rest.
func part(whole uint32, n, rank int) uint32 {
	p := whole / uint32(n)
	if uint32(rank) < whole%uint32(n) {
		p++
	}
	return p
}

// rankHosts orders hosts by rendezvous hash for server.
func rankHosts(hosts []HostID, server ServerID) []HostID {
	type ranked struct {
		id    HostID
		score uint64
	}
	scores := make([]ranked, 0, len(hosts))
	for _, id := range hosts {
		scores = append(scores, ranked{id: id, score: rendezvous(string(id), string(server))})
	}
	slices.SortFunc(scores, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	ids := make([]HostID, 0, len(scores))
	for _, s := range scores {
		ids = append(ids, s.id)
	}
	return ids
}

// rendezvous returns the weight of node for item.
func rendezvous(node, item string) uint64 {
	return xxhash.Sum64String(node + "\x00" + item)
}
