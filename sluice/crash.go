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
	// is taken to be the cause. One of them must have ended in a trial, and under no other
	// request that has ended several.
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
	// Content is the fingerprint of the content. AnyCaller is set if it is that of the
	// record, which is then about the requests of all callers.
	Content   Fingerprint
	AnyCaller bool
	Target    uint64
	Service   fairway.ServiceName
	// Generation counts the responses and orders that have cleared the request. Crashes
	// of an earlier generation do not count.
	Generation uint32
	Crashes    []Crash
}

// ended returns the number of server instances that have ended.
func (r *CrashRecord) ended() int {
	instances := make(map[ServerInstance]bool)
	for _, c := range r.Crashes {
		instances[c.Instance] = true
	}
	return len(instances)
}

// includes reports whether a server instance has ended under the request.
func (r *CrashRecord) includes(instance ServerInstance) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Instance == instance })
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
