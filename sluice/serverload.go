package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

// Pace is the time that work takes at a server at the moment, in percent of the time that
// it usually takes there.
type Pace int

// UsualPace is the pace of a server that is neither slowed down nor sped up.
const UsualPace Pace = 100

// ServerLoad is the load that a server tells in a response: the requests that run and
// wait there, of all hosts together, and how many it can run at once.
type ServerLoad struct {
	Running int
	Waiting int
	// Slots is at least 1.
	Slots int
	// Pace is at least 1.
	Pace Pace
}

// toldLoad is the last load that a server told, and when. The zero value stands for a
// server that has told none.
type toldLoad struct {
	ServerLoad
	at mooring.Instant
}

// known reports whether the server has told its load.
func (t toldLoad) known() bool {
	return t.Slots > 0
}

// age returns how long ago the load was told.
func (t toldLoad) age(now mooring.Instant) time.Duration {
	return max(now.Sub(t.at), 0)
}

// SetLoad records the load that a server instance told at an instant. It ignores loads of
// instances that are not listed, and those older than the one that is known.
func (c *Controller) SetLoad(now mooring.Instant, instance ServerInstance, load ServerLoad) {
	server := c.servers[instance.Server]
	if server == nil || server.endpoint.Incarnation != instance.Incarnation || load.Slots < 1 || load.Pace < 1 ||
		server.told.known() && now < server.told.at {
		return
	}
	server.told, server.sentSince = toldLoad{ServerLoad: load, at: now}, 0
	c.expected.recordLoad(server.told)
}
