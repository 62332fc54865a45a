package jetty

import (
	"maps"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
)

// reportingHost is an entry host that reports to the placer.
type reportingHost struct {
	domain      fairway.Domain
	address     string
	firstReport time.Time
	lastReport  time.Time
	// linkMbps is the bandwidth of the host's link.
	linkMbps uint32
	// storeAnsweredAt is when the store last answered the host itself, or zero if
	// the host receives changes from a feeder.
	storeAnsweredAt time.Time
	// relaysFeed reports whether the host can feed others with changes that a feeder tells
	// it, and knowsAsOf is when the store answered the host that its changes come from.
	relaysFeed bool
	knowsAsOf  time.Time
	// capacity is how many requests the host can send for others, relative to other hosts;
	// 0 means none.
	capacity uint32
	// coordinates is set if the host can admit the requests of others.
	coordinates bool
	// cut is set if the host reaches no server.
	cut bool
	// answeredAt is when the host last reported signs of life of a server, and answers
	// the beginning of the latest interval in which it had some of each. responses is
	// the same for whole responses.
	answeredAt time.Time
	answers    map[fairway.ServerID]time.Time
	responses  map[fairway.ServerID]time.Time
}

// reporting reports whether the host has sent a report recently.
func (h reportingHost) reporting(now time.Time) bool {
	return now.Sub(h.lastReport) <= feederTimeout
}

// reachesServers reports whether the host has had responses of servers recently.
func (h reportingHost) reachesServers(now time.Time) bool {
	return h.reporting(now) && !h.cut && now.Sub(h.answeredAt) <= feederTimeout
}

// recordAnswers records the servers of which a report has responses.
func (h *reportingHost) recordAnswers(r *signal.LoadReport, now time.Time) {
	since := now.Add(-time.Duration(r.IntervalMillis) * time.Millisecond)
	for _, s := range r.Servers {
		if s.Answers > 0 || s.SignsOfLife > 0 {
			h.answeredAt = now
			h.answers[fairway.ServerID(s.Server)] = since
		}
		if s.Answers > 0 {
			h.responses[fairway.ServerID(s.Server)] = since
		}
	}
	old := func(_ fairway.ServerID, at time.Time) bool { return now.Sub(at) > hostTimeout }
	maps.DeleteFunc(h.answers, old)
	maps.DeleteFunc(h.responses, old)
}

// reachesStore reports whether the store has answered the host recently.
func (h reportingHost) reachesStore(now time.Time) bool {
	return h.reporting(now) && now.Sub(h.storeAnsweredAt) <= feedMaxAge
}

// mayFeed reports whether the host has fresh changes to tell others.
func (h reportingHost) mayFeed(now time.Time) bool {
	return h.reachesStore(now) || h.relaysFeed && h.reporting(now) && now.Sub(h.knowsAsOf) <= feedMaxAge
}

// betterFeeder reports whether h is preferred to other as a feeder.
func (h reportingHost) betterFeeder(other reportingHost) bool {
	if h.linkMbps != other.linkMbps {
		return h.linkMbps > other.linkMbps
	}
	return h.firstReport.Before(other.firstReport)
}
