package sluice

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hornbeamwinch.example/fairway"
)

const (
	// permitsPerCapacity is the number of permits a second that a coordinator gives out for
	// each unit of its capacity, of which a core has 100: 300 for 0.8 cores.
	permitsPerCapacity = 300 / 80.0
	// minCoordinators is the least number of coordinators, so that the loss of one leaves most
	// of the servers with theirs.
	minCoordinators = 3
	// spareRate is the part of the rate that coordinators must have to spare before there
	// are fewer of them. Each change moves servers to other coordinators.
	spareRate = 0.5
	// groupSlots is the number of slots whose servers share a coordinator if any of them can
	// answer a request: enough that a request seldom waits while a server of another group is
	// idle, and few enough for one coordinator.
	groupSlots = 16
)

// ChooseCoordinators returns the hosts that are to coordinate, for a number of requests a
// second of all hosts, in an order that depends on the hosts alone. The present number of
// coordinators is kept while it is enough and not far too many, and while the rate is 0, not
// known yet.
func ChooseCoordinators(hosts []Carrier, rate float64, present int) []Carrier {
	ranked := slices.DeleteFunc(slices.Clone(hosts), func(h Carrier) bool { return h.Capacity == 0 })
	slices.SortFunc(ranked, func(a, b Carrier) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.Host), xxhash.Sum64String(b.Host)), cmp.Compare(a.Host, b.Host))
	})
	n := coordinatorsFor(ranked, rate)
	switch {
	case present > n && rate == 0:
		n = present
	case present > n:
		n = min(present, coordinatorsFor(ranked, rate*(1+spareRate)))
	}
	return ranked[:min(n, len(ranked))]
}

// coordinatorsFor returns how many of the hosts a rate needs.
func coordinatorsFor(ranked []Carrier, rate float64) int {
	carried := 0.0
	for i, h := range ranked {
		carried += permitsPerCapacity * float64(h.Capacity)
		if i+1 >= minCoordinators && carried >= rate {
			return i + 1
		}
	}
	return len(ranked)
}

// ServerGroups returns into how many groups the servers of a service are divided, by the sum
// of their slots. The servers of a group have the same coordinator.
func ServerGroups(slots int) int {
	return max(int(math.Ceil(float64(slots)/groupSlots)), 1)
}

// CoordinatorOf returns the coordinator of a server. If groups is 0, each server of the
// service has one of its own, as keys require; otherwise each of so many groups of servers.
func CoordinatorOf(service fairway.ServiceName, server fairway.ServerID, groups int, coordinators []Carrier) (Carrier, bool) {
	unit := server
	if groups > 0 {
		unit = fairway.ServerID(string(service) + "/" + strconv.Itoa(groupOf(server, groups)))
	}
	best := RankCarriers(unit, coordinators, 1)
	if len(best) == 0 {
		return Carrier{}, false
	}
	return best[0], true
}

// groupOf returns the group of a server by rendezvous hashing: one more group takes a part of
// the servers of each of the others.
func groupOf(server fairway.ServerID, groups int) int {
	best, highest := 0, uint64(0)
	for g := range groups {
		if score := xxhash.Sum64String(strconv.Itoa(g) + "/" + string(server)); score > highest {
			best, highest = g, score
		}
	}
	return best
}
