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

// FrontSet returns the entry hosts that have a share of the limits of server,
// at most size of them, in order of preference. Every host computes the same
// set from the same table. A size of zero means no limit.
//
// The set includes joining and leaving hosts: the share of a joining host must
// be unused by other hosts before the host may dispatch, and a leaving host
// may still be using its share.
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

// ShareOf returns the share of host in the limits of server. The limits are
// divided among the front set of the given size, and the shares add up to the
// limits exactly. The share of a host outside the front set is zero.
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

// probersPerServer is the number of entry hosts that probe each backend server
// and send it grants. It is more than one, so that the loss of a host
// interrupts neither.
const probersPerServer = 2

// Probers returns the entry hosts that probe server and send it the grants for
// its shards.
func (t *Table) Probers(server ServerID) []HostID {
	hosts := rankHosts(t.activeHosts(), server)
	return hosts[:min(len(hosts), probersPerServer)]
}

// part returns the rank-th of n parts of whole. The remainder of the division
// goes to the first parts.
func part(whole uint32, n, rank int) uint32 {
	p := whole / uint32(n)
	if uint32(rank) < whole%uint32(n) {
		p++
	}
	return p
}

// rankHosts returns hosts in descending order of their rendezvous hash for
// server.
func rankHosts(hosts []HostID, server ServerID) []HostID {
	type ranked struct {
		id    HostID
		score uint64
	}
	scores := make([]ranked, 0, len(hosts))
	for _, id := range hosts {
		scores = append(scores, ranked{id: id, score: rendezvousWeight(string(id), string(server))})
	}
	slices.SortFunc(scores, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	ids := make([]HostID, 0, len(scores))
	for _, s := range scores {
		ids = append(ids, s.id)
	}
	return ids
}

// rendezvousWeight returns the weight of node for item in rendezvous hashing.
func rendezvousWeight(node, item string) uint64 {
	return xxhash.Sum64String(node + "\x00" + item)
}
