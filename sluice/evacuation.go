package sluice

import (
	"maps"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

// Evacuations has the failure domains that are evacuated. The value is the instant until
// which their servers still get requests for the keys that they own, or 0 for none.
type Evacuations map[fairway.Domain]mooring.Instant

// Excludes reports whether a server of a domain must not get a request now. The request
// has a key that the server owns, or any other server can answer it.
func (e Evacuations) Excludes(now mooring.Instant, domain fairway.Domain, owner bool) bool {
	until, evacuated := e[domain]
	return evacuated && (!owner || now >= until)
}

// SetEvacuations sets the evacuated failure domains. It is called before
// [Controller.SetServers], whose endpoints tell which servers are in them.
func (c *Controller) SetEvacuations(e Evacuations) {
	c.evacuations = maps.Clone(e)
}

// Evacuates reports whether a server of a domain must not get a request now; see
// [Evacuations.Excludes].
func (c *Controller) Evacuates(now mooring.Instant, domain fairway.Domain, owner bool) bool {
	return c.evacuations.Excludes(now, domain, owner)
}

// updateAllEvacuated decides whether all servers that could get requests are evacuated.
// Requests are then refused at once: no other server gets their keys.
func (c *Controller) updateAllEvacuated() {
	evacuated, others := 0, 0
	for _, server := range c.ranked {
		switch {
		case server.leaving:
		case server.endpoint.Evacuated:
			evacuated++
		case c.isListed(server):
			others++
		}
	}
	c.allEvacuated = evacuated > 0 && others == 0
}
