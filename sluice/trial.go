package sluice

import (
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// MaxTrialTime bounds a trial whose end is not reported.
	MaxTrialTime = 2 * time.Second
	// trialPause is the time after a trial that has ended with its server until the next
	// one of the same request.
	trialPause = 10 * time.Second
	// TrialPoll is the time after which a trial is asked for again while the server has
	// another one.
	TrialPoll = 15 * time.Millisecond
)

// Trial is a send of a suspected request, alone among such requests at its server, and the
// only send of that request in the fleet.
type Trial struct {
	Content Fingerprint
	Server  fairway.ServerID
}

// TrialDecision is the result of a request for a trial. The set of decisions is closed:
// [TrialGranted], [TrialServerBusy] and [TrialRefused].
type TrialDecision interface{ trialDecision() }

// TrialGranted allows the trial. Its end is to be reported.
type TrialGranted struct{}

// TrialServerBusy means that another suspected request is at the server.
type TrialServerBusy struct{}

// TrialRefused means that the same request is being tried, or has been a moment ago.
type TrialRefused struct {
	RetryAfter time.Duration
}

func (TrialGranted) trialDecision()    {}
func (TrialServerBusy) trialDecision() {}
func (TrialRefused) trialDecision()    {}

// TrialPool gives out the trials of a fleet. It is not safe for concurrent use.
type TrialPool struct {
	// openAt is when the trials of an earlier pool have ended.
	openAt   mooring.Instant
	requests map[Fingerprint]trialState
	servers  map[fairway.ServerID]trialState
}

// trialState is a trial that is under way until it ends or until an instant, or the pause
// after one.
type trialState struct {
	trial Trial
	until mooring.Instant
}

// NewTrialPool returns a pool that gives out nothing before openAt. Another pool may have
// given out trials before.
func NewTrialPool(openAt mooring.Instant) *TrialPool {
	return &TrialPool{openAt: openAt, requests: make(map[Fingerprint]trialState), servers: make(map[fairway.ServerID]trialState)}
}

// Begin decides on a trial that lasts for a time at most.
func (p *TrialPool) Begin(now mooring.Instant, t Trial, left time.Duration) TrialDecision {
	if now < p.openAt {
		return TrialRefused{RetryAfter: p.openAt.Sub(now)}
	}
	if running, ok := p.requests[t.Content]; ok && now < running.until {
		return TrialRefused{RetryAfter: running.until.Sub(now)}
	}
	if running, ok := p.servers[t.Server]; ok && now < running.until {
		return TrialServerBusy{}
	}
	p.prune(now)
	state := trialState{trial: t, until: now.Add(min(left, MaxTrialTime))}
	p.requests[t.Content], p.servers[t.Server] = state, state
	return TrialGranted{}
}

// End ends a trial, after which the server had ended or not.
func (p *TrialPool) End(now mooring.Instant, t Trial, serverEnded bool) {
	if running, ok := p.servers[t.Server]; ok && running.trial == t {
		delete(p.servers, t.Server)
	}
	running, ok := p.requests[t.Content]
	switch {
	case serverEnded:
		p.requests[t.Content] = trialState{trial: t, until: now.Add(trialPause)}
	case ok && running.trial == t:
		delete(p.requests, t.Content)
	}
}

// prune drops what has ended.
func (p *TrialPool) prune(now mooring.Instant) {
	for f, s := range p.requests {
		if now >= s.until {
			delete(p.requests, f)
		}
	}
	for id, s := range p.servers {
		if now >= s.until {
			delete(p.servers, id)
		}
	}
}
