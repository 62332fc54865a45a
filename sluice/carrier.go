package sluice

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamwinch.example/fairway"
)

const (
	// carriedHosts is the number of hosts of a failure domain, on average, from which carriers
	// begin to pay, and directHosts the one below which they no longer do. With fewer, the
	// connections that are saved cost less than the processor time of the hops.
	carriedHosts = 32
	directHosts  = 16
	// carriedMeetings and directMeetings are how often a host has a request for a server in
	// the time for which the server keeps an unused connection: below the first carriers
	// begin to pay, above the second they no longer do.
	carriedMeetings = 1.0
	directMeetings  = 2.0
	// minMeasuredRate is the rate for each server, in requests a second, below which a
	// service has too few requests to tell. It is then assumed that a server gets
	// assumedRate and keeps connections for assumedKeepTime, as most do.
	minMeasuredRate = 0.5
	assumedRate     = 10.0
	assumedKeepTime = 8 * time.Second
)

// CarrierLoad is the load by which carriers pay or not: requests of a service that is
// divided by key, which each can go to one server only.
//
// Many hosts with few requests each for many servers seldom have two for the same server
// while a connection is kept, and know each server by few responses. If a host of each
// failure domain, the carrier of the server, sends the requests of all, connections are
// reused and windows follow the load.
type CarrierLoad struct {
	// Domains is the number of failure domains with hosts, and Fleet that of the hosts.
	Domains int
	Fleet   int
	// Servers is the number of servers of the service.
	Servers int
	// Rate is the number of requests of all hosts a second.
	Rate float64
	// KeepTime is how long a server keeps an unused connection, or 0 if it is not known.
	KeepTime time.Duration
}

// CarriersPay reports whether carriers are to send the requests of a service, and if they
// already do whether that is to remain so.
func CarriersPay(l CarrierLoad, carried bool) bool {
	least := carriedHosts
	if carried {
		least = directHosts
	}
	if l.Servers == 0 || l.Fleet == 0 || l.Fleet < least*l.Domains {
		return false
	}
	rate, keepTime := l.Rate/float64(l.Servers), l.KeepTime
	if rate < minMeasuredRate {
		rate = assumedRate
	}
	if keepTime == 0 {
		keepTime = assumedKeepTime
	}
	meetings := rate * keepTime.Seconds() / float64(l.Fleet)
	if carried {
		return meetings < directMeetings
	}
	return meetings < carriedMeetings
}

// Carrier is a host that sends requests for others.
type Carrier struct {
	Host string
	// Capacity is how much it can send, relative to other carriers.
	Capacity uint32
}

// RankCarriers returns the first n carriers of a server, the preferred one first. Each host
// gets a part of the servers that is proportional to its capacity, and one that joins or
// leaves changes only its own part.
func RankCarriers(server fairway.ServerID, carriers []Carrier, n int) []Carrier {
	type ranked struct {
		carrier Carrier
		score   float64
	}
	best := make([]ranked, 0, n+1)
	for _, c := range carriers {
		if c.Capacity == 0 {
			continue
		}
		// Weighted rendezvous hashing: the logarithm of a uniform number, divided by the
		// weight, is highest with a probability proportional to the weight.
		uniform := (float64(xxhash.Sum64String(c.Host+"\x00"+string(server))>>11) + 0.5) / (1 << 53)
		r := ranked{carrier: c, score: math.Log(uniform) / float64(c.Capacity)}
		i, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
			if a.score > b.score {
				return -1
			}
			return 1
		})
		if best = slices.Insert(best, i, r); len(best) > n {
			best = best[:n]
		}
	}
	first := make([]Carrier, 0, len(best))
	for _, r := range best {
		first = append(first, r.carrier)
	}
	return first
}
