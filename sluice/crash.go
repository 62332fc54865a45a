package sluice

import (
	"slices"

	"hornbeamwinch.example/fairway"
)

// Fingerprint is a cryptographic digest of what identifies a request, whatever its id.
type Fingerprint [16]byte

// RequestDigest identifies a request that may come again under other ids.
type RequestDigest struct {
	// Content covers what the request asks for. ByCaller covers who asks as well.
	Content  Fingerprint
	ByCaller Fingerprint
	// Target is a hash of a part of the content that is fast to compute.
	Target uint64
}

// Crash is the end of a server while a request was there.
type Crash struct {
	Instance ServerInstance
	Version  fairway.SoftwareVersion
	// Alone reports whether no other suspected request was at the server.
	Alone bool
	// Caller is the ByCaller fingerprint of the request.
	Caller Fingerprint
}

const (
	// rejectingCrashes is the number of servers that have to end under a request before it
	// is taken to be the cause. One of them must have ended under no other suspect.
	rejectingCrashes = 3
	// maxCrashes bounds the crashes that are kept of a request.
	maxCrashes = 16
)

// Suspicion is how certain it is that a request crashes servers.
type Suspicion int

const (
	// SuspicionNone is for requests that no server has ended under.
	SuspicionNone Suspicion = iota
	// SuspicionPossible is for requests under which a server has ended. One at a time is
	// sent to find out.
	SuspicionPossible
	// SuspicionCertain is for requests that are not sent to any server.
	SuspicionCertain
)

// CrashRecord is what the fleet knows of a request under which servers have ended. Two
// records of one request can be merged in any order.
type CrashRecord struct {
	Fingerprint Fingerprint
	// AnyCaller is set if the fingerprint is that of the content alone.
	AnyCaller bool
	Target    uint64
	Service   fairway.ServiceName
	// Generation counts the responses and orders that have cleared the request. Crashes
	// of an earlier generation do not count.
	Generation uint32
	Crashes    []Crash
}

// IsCertain reports whether the request is not sent to servers of some version any more.
func (r *CrashRecord) IsCertain() bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return r.rejectedOn(c.Version) })
}

// suspicion returns how certain it is that the request crashes servers of a version.
func (r *CrashRecord) suspicion(version fairway.SoftwareVersion) Suspicion {
	switch {
	case len(r.Crashes) == 0:
		return SuspicionNone
	case r.rejectedOn(version):
		return SuspicionCertain
	}
	// A version that mends the fault answers the request, which clears it.
	if r.IsCertain() && slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Version == version }) {
		return SuspicionCertain
	}
	return SuspicionPossible
}

// rejectedOn reports whether the crashes of servers of one version are enough.
func (r *CrashRecord) rejectedOn(version fairway.SoftwareVersion) bool {
	instances, callers, alone := make(map[ServerInstance]bool), make(map[Fingerprint]bool), false
	for _, c := range r.Crashes {
		if c.Version == version {
			instances[c.Instance] = true
			callers[c.Caller] = true
			alone = alone || c.Alone
		}
	}
	// What one caller sends must not have the requests of others rejected.
	return len(instances) >= rejectingCrashes && alone && (!r.AnyCaller || len(callers) > 1)
}

// ended returns the number of server instances that have ended.
func (r *CrashRecord) ended() int {
	instances := make(map[ServerInstance]bool)
	for _, c := range r.Crashes {
		instances[c.Instance] = true
	}
	return len(instances)
}

// add adds a crash, and reports whether that changes the record. A server instance may end
// under requests of several callers.
func (r *CrashRecord) add(crash Crash) bool {
	for i := range r.Crashes {
		known := &r.Crashes[i]
		if known.Instance != crash.Instance || known.Caller != crash.Caller {
			continue
		}
		changed := crash.Alone && !known.Alone
		known.Alone = known.Alone || crash.Alone
		return changed
	}
	if len(r.Crashes) == maxCrashes {
		return false
	}
	r.Crashes = append(r.Crashes, crash)
	return true
}

// merge adds what another host knows, and reports whether that changes the record.
func (r *CrashRecord) merge(other CrashRecord) bool {
	if other.Generation < r.Generation {
		return false
	}
	changed := other.Generation > r.Generation
	if changed {
		r.Generation, r.Crashes = other.Generation, nil
	}
	for _, c := range other.Crashes {
		changed = r.add(c) || changed
	}
	return changed
}
