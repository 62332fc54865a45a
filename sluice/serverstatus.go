package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

// ServerStatus describes a server as a controller sees it, for operators.
type ServerStatus struct {
	Server   ServerInstance
	InFlight int
	// Speed is that of the server relative to the others, for requests of the same route. It
	// is 0 if decisions are not made by route.
	Speed float64
	// Load is the load that the server last told, LoadAge ago. It is nil if the server has
	// told none.
	Load    *ServerLoad
	LoadAge time.Duration
}

// ServerStatuses returns the state of the servers in the order of preference of this host.
func (c *Controller) ServerStatuses(now mooring.Instant) []ServerStatus {
	statuses := make([]ServerStatus, 0, len(c.ranked))
	for _, s := range c.ranked {
		status := ServerStatus{Server: ServerInstanceOf(s.endpoint), InFlight: s.window.inFlight}
		if c.expected.byRoute() {
			status.Speed = 1 / s.speed.relativeTo(c.expected.meanRatio, now)
		}
		if s.told.known() {
			load := s.told.ServerLoad
			status.Load, status.LoadAge = &load, s.told.age(now)
		}
		statuses = append(statuses, status)
	}
	return statuses
}
