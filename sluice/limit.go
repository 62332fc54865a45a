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
	NamedBy Observation
	// FreeAt is when a response last named none after that.
	FreeAt mooring.Instant
	FreeBy Observation
}

// Observation identifies a response that a host has observed. Its time becomes later by
// the delay of each message that tells of it, so a host takes it once only.
type Observation struct {
	Host   string
	Number uint64
}

// Limited reports whether the server names a limit.
func (e LimitEvidence) Limited() bool {
	return e.NamedAt > e.FreeAt
}

// Named returns the evidence after a response that names a limit.
func (e LimitEvidence) Named(by Observation, sentAt, receivedAt mooring.Instant, limit Rate) LimitEvidence {
	if sentAt < e.FreeAt || e.Limited() && limit > e.Limit && sentAt < e.NamedAt {
		return e
	}
	e.Limit, e.NamedAt, e.NamedBy = limit, max(e.NamedAt, receivedAt), by
	return e
}

// Free returns the evidence after a response that names no limit.
func (e LimitEvidence) Free(by Observation, sentAt, receivedAt mooring.Instant) LimitEvidence {
	if e.NamedAt != 0 && sentAt >= e.NamedAt {
		e.FreeAt, e.FreeBy = max(e.FreeAt, receivedAt), by
	}
	return e
}

// Merge returns the evidence of two hosts together.
func (e LimitEvidence) Merge(other LimitEvidence) LimitEvidence {
	if other.NamedAt > e.NamedAt && other.NamedBy != e.NamedBy {
		e.Limit, e.NamedAt, e.NamedBy = other.Limit, other.NamedAt, other.NamedBy
	}
	if other.FreeAt > e.FreeAt && other.FreeBy != e.FreeBy {
		e.FreeAt, e.FreeBy = other.FreeAt, other.FreeBy
	}
	return e
}
