package sluice

import (
	"time"

	"hornbeamwinch.example/mooring"
)

// room is what the servers that may get a request allow.
type room struct {
	// rate is that of the servers that take requests, and closedRate that of the closed ones.
	rate       float64
	closedRate float64
	// opens is the time until the first closed server opens, or 0.
	opens time.Duration
	// suspected is set if servers are suspected, the first of them for resumes.
	suspected bool
	resumes   time.Duration
}

// restricted reports whether some servers must not get the request.
func (r *Request) restricted() bool {
	return len(r.Tried) > 0 || len(r.Excluded) > 0
}

// roomFor returns what the servers allow that may get a request which any server can answer.
// While waiting requests are decided on, it is the same for all that are not restricted.
func (c *Controller) roomFor(now mooring.Instant, r *Request) room {
	if r.restricted() || !c.keepRoom {
		return c.measureRoom(now, r)
	}
	if c.keptRoom == nil {
		kept := c.measureRoom(now, r)
		c.keptRoom = &kept
	}
	return *c.keptRoom
}

func (c *Controller) measureRoom(now mooring.Instant, r *Request) room {
	var m room
	usable := c.usableAt(now)
	for _, server := range c.ranked {
		if !usable(server) || r.excludes(server.endpoint.ID) {
			continue
		}
		closed := server.notice.ClosedFor(now)
		switch {
		case server.window.suspected(now):
			if pause := max(server.window.suspectedUntil.Sub(now), closed); !m.suspected || pause < m.resumes {
				m.suspected, m.resumes = true, pause
			}
		case closed > 0:
			if m.opens == 0 || closed < m.opens {
				m.opens = closed
			}
			m.closedRate += c.rate(now, server)
		default:
			m.rate += c.rate(now, server)
		}
	}
	return m
}
