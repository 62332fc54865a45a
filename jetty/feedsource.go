package jetty

import (
	"errors"
	"slices"
	"time"

	"hornbeamwinch.example/mooring"
)

const (
	// staleFeedRetry is how long a host is not asked for changes after it has said that it
	// has none that are fresh, and feederBackoff how long after it has not answered.
	staleFeedRetry = 300 * time.Millisecond
	feederBackoff  = 3 * time.Second
	// feedAnswerMaxAge is how long after its last answer a host is asked again with a
	// long poll. Before that it has to show that it answers at once.
	feedAnswerMaxAge = time.Second
	// storeRetryDelay is the pause after a failed call to the store. It doubles up to
	// maxStoreRetryDelay, since calls to an unavailable store are charged too.
	storeRetryDelay    = 50 * time.Millisecond
	maxStoreRetryDelay = 600 * time.Millisecond
	// fleetCallsPerSecond is how often all hosts together, except the feeders, call the
	// store when their feeders fail, and then if it does not answer either. maxStoreInterval
	// bounds the time for which a host of a large fleet waits: a change has to be in force
	// seconds after the store is back, also where the feeders are lost.
	fleetCallsPerSecond = 200
	maxStoreInterval    = time.Second
)

// feedPlan is where a host gets the store's changes, as the placer has decided.
type feedPlan struct {
	// feeder is asked before the store. It is empty if there is none, and the host's own
	// address if the host is to call the store.
	feeder string
	// fallbacks are asked in turn if that fails.
	fallbacks []string
	// feeds reports whether other hosts get their changes from this one. It then asks the
	// store before the fallbacks, whose changes may come from itself.
	feeds bool
}

// changeSource is where the next changes come from. The set is closed: [storeSource],
// [peerSource] and [noSource].
type changeSource interface{ changeSource() }

// storeSource is the store.
type storeSource struct{}

// peerSource is another host. It is asked to wait for a change if it has answered a moment
// ago, and to answer at once otherwise.
type peerSource struct {
	address string
	wait    bool
}

// noSource means that nobody is to be asked before an instant.
type noSource struct {
	until mooring.Instant
}

func (storeSource) changeSource() {}
func (peerSource) changeSource()  {}
func (noSource) changeSource()    {}

// feedSources decides whom a host asks for the store's changes. It answers the load on the
// store when feeders fail: then hosts ask another feeder before the store, and the calls
// of all hosts together are bounded. It is not safe for concurrent use.
type feedSources struct {
	// self is the address of this host.
	self string
	// random returns a number in [0, 1).
	random func() float64

	plan  feedPlan
	hosts int
	// failed has until when hosts are not asked.
	failed map[string]mooring.Instant
	// answered is when hosts last answered.
	answered map[string]mooring.Instant
	// storeUntil is until when the store is not called, and storeRetry the next pause after
	// a failure, or zero if the last call succeeded.
	storeUntil mooring.Instant
	storeRetry time.Duration
	// alone is set while no other host has fresh changes, and storeInterval is the mean time
	// between two calls of this host to the store then, or zero if the calls of all hosts
	// together need no bound.
	alone         bool
	storeInterval time.Duration
}

func newFeedSources(self string, random func() float64) *feedSources {
	return &feedSources{
		self: self, random: random, hosts: defaultHostCount,
		failed: make(map[string]mooring.Instant), answered: make(map[string]mooring.Instant),
	}
}

// setPlan sets the placer's decision and the number of hosts in the fleet.
func (s *feedSources) setPlan(plan feedPlan, hosts int) {
	s.plan, s.hosts = plan, max(hosts, 1)
}

// peers returns the hosts to ask before and after the store.
func (s *feedSources) peers() (before, after []string) {
	other := func(addresses ...string) []string {
		return slices.DeleteFunc(addresses, func(a string) bool { return a == "" || a == s.self })
	}
	feeder, fallbacks := other(s.plan.feeder), other(slices.Clone(s.plan.fallbacks)...)
	if s.plan.feeds || len(feeder) == 0 {
		return feeder, fallbacks
	}
	return append(feeder, fallbacks...), nil
}

// next returns whom to ask now.
func (s *feedSources) next(now mooring.Instant) changeSource {
	before, after := s.peers()
	if peer, ok := s.askable(now, before); ok {
		return peer
	}
	if len(before) > 0 && !s.alone {
		s.alone = true
		s.delayStore(now)
	}
	if now >= s.storeUntil {
		return storeSource{}
	}
	if peer, ok := s.askable(now, after); ok && s.storeRetry > 0 {
		return peer
	}
	until := s.storeUntil
	for _, address := range append(before, after...) {
		until = min(until, max(s.failed[address], now))
	}
	return noSource{until: max(until, now.Add(time.Millisecond))}
}

func (s *feedSources) askable(now mooring.Instant, addresses []string) (peerSource, bool) {
	for _, address := range addresses {
		if now >= s.failed[address] {
			at, ok := s.answered[address]
			return peerSource{address: address, wait: ok && now.Sub(at) <= feedAnswerMaxAge}, true
		}
	}
	return peerSource{}, false
}

// delayStore sets when this host may call the store now that its feeders have failed.
// Hosts that feed others do not wait.
func (s *feedSources) delayStore(now mooring.Instant) {
	if s.plan.feeds {
		return
	}
	s.storeInterval = min(time.Duration(float64(s.hosts)/fleetCallsPerSecond*float64(time.Second)), maxStoreInterval)
	s.storeUntil = max(s.storeUntil, now.Add(time.Duration(s.random()*float64(s.storeInterval))))
}

// peerAnswered records changes of another host.
func (s *feedSources) peerAnswered(now mooring.Instant, address string) {
	delete(s.failed, address)
	s.answered[address] = now
	s.alone, s.storeInterval = false, 0
}

// peerFailed records that another host has not answered, or has no fresh changes.
func (s *feedSources) peerFailed(now mooring.Instant, address string, err error) {
	delete(s.answered, address)
	pause := feederBackoff
	if errors.Is(err, errNotDirect) || errors.Is(err, errStaleFeed) || errors.Is(err, errOlderFeed) {
		pause = staleFeedRetry
	}
	s.failed[address] = now.Add(pause)
}

// storeAnswered records that the store has answered.
func (s *feedSources) storeAnswered() {
	s.storeRetry = 0
}

// storeFailed records a failed call to the store.
func (s *feedSources) storeFailed(now mooring.Instant) {
	delay := max(min(max(2*s.storeRetry, storeRetryDelay), maxStoreRetryDelay), s.storeInterval)
	s.storeRetry = delay
	s.storeUntil = now.Add(delay + time.Duration(s.random()*float64(delay)))
}
