package sluice

import (
	"hornbeamwinch.example/mooring"
)

// Rate is a number of requests a second.
type Rate float64

// LimitEvidence is what responses of a server instance tell of the limit that it names.
// A response counts only if its request was sent after the last one that tells otherwise,
// since responses over several connections may arrive in another order. The zero value
// stands for a server that has named none.
type LimitEvidence struct {
	// Limit is the one that was last named, at NamedAt.
	Limit   Rate
	NamedAt mooring.Instant
	// FreeAt is when a response named none.
	FreeAt mooring.Instant
}

// Limited reports whether the server names a limit.
func (e LimitEvidence) Limited() bool {
	return e.NamedAt > e.FreeAt
}

// Named returns the evidence after a response that names a limit.
func (e LimitEvidence) Named(sentAt, receivedAt mooring.Instant, limit Rate) LimitEvidence {
	if sentAt < e.FreeAt || e.Limited() && limit > e.Limit && sentAt < e.NamedAt {
		return e
	}
	e.Limit, e.NamedAt = limit, max(e.NamedAt, receivedAt)
	return e
}

// Free returns the evidence after a response that names no limit.
func (e LimitEvidence) Free(sentAt, receivedAt mooring.Instant) LimitEvidence {
	if e.Limited() && sentAt >= e.NamedAt {
		e.FreeAt = receivedAt
	}
	return e
}

// Merge returns the evidence of two hosts together.
func (e LimitEvidence) Merge(other LimitEvidence) LimitEvidence {
	if other.NamedAt > e.NamedAt {
		e.Limit, e.NamedAt = other.Limit, other.NamedAt
	}
	e.FreeAt = max(e.FreeAt, other.FreeAt)
	return e
}
