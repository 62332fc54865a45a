package sluice

import (
	"math"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
)

const (
	// speedWeight is the weight of a response in the speed factor of its server.
	speedWeight = 0.1
	// speedDecay is the time in which the weight of an old factor decays to 1/e, so that a
	// server that was slow is tried again.
	speedDecay = 15 * time.Second
	// meanSpeedWeight is the weight of a response in the mean factor of the servers.
	meanSpeedWeight = 0.02
	// maxRatio bounds the effect of one response on a factor. Servers differ by 0.5 to 1.7
	// and are up to three times as slow for a while; a larger ratio is a stall.
	maxRatio = 8.0
	// paceHalfLife is the age at which half of a told pace counts. Servers that share a
	// machine change their pace in turns of 0.4 s.
	paceHalfLife = 200 * time.Millisecond
	// maxPerSlot bounds the requests for each slot that a server tells. Servers queue up to
	// four; one that tells many more would distort the means over all servers.
	maxPerSlot = 16.0
)

// speedFactor is the moving average of the response times of a server, each divided by the
// estimate of its route. The zero value stands for a server without responses.
type speedFactor struct {
	ratio float64
	at    mooring.Instant
}

// record adds a response with a ratio of its time to the estimate of its route.
func (f *speedFactor) record(now mooring.Instant, ratio float64) {
	ratio = min(max(ratio, 1/maxRatio), maxRatio)
	if f.ratio == 0 {
		f.ratio = 1
	}
	f.ratio += speedWeight * (ratio - f.ratio)
	f.at = now
}

// relativeTo returns the factor relative to the mean of the servers. It converges to 1 as
// the last response ages.
func (f *speedFactor) relativeTo(mean float64, now mooring.Instant) float64 {
	if f.ratio == 0 {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(f.at)) / float64(speedDecay))
	return 1 + weight*(f.ratio/mean-1)
}

// pace returns the factor by which work takes longer than usual at the server, as told. It
// converges to 1 as the told load ages.
func (t toldLoad) pace(now mooring.Instant) float64 {
	if !t.known() {
		return 1
	}
	weight := math.Exp2(-float64(t.age(now)) / float64(paceHalfLife))
	return 1 + weight*(float64(t.Pace)/float64(UsualPace)-1)
}

// occupied returns the number of requests at the server for each slot, given the mean time
// of a response and the mean number of all servers, to which the told one converges.
func (t toldLoad) occupied(now mooring.Instant, response time.Duration, mean float64) float64 {
	weight := math.Exp(-float64(t.age(now)) / float64(max(response, time.Millisecond)))
	return mean + weight*(t.perSlot()-mean)
}

// perSlot returns the number of requests for each slot as of when it was told.
func (t toldLoad) perSlot() float64 {
	return min(float64(t.Running+t.Waiting)/float64(t.Slots), maxPerSlot)
}

// WithoutWait returns the part of a response time that the server worked, given the load that
// it told in the response. The queue that a response leaves behind is on average as long as
// the one that its request found, and each request that waits lengthens the response by one
// slot's part of the work.
func (l ServerLoad) WithoutWait(response time.Duration) time.Duration {
	return time.Duration(float64(response) / (1 + min(float64(l.Waiting)/float64(l.Slots), maxPerSlot)))
}

// WithoutWait returns the part of a response time that the server worked, if it told its load
// in the response, and else the response time. The response has just been received.
func (c *Controller) WithoutWait(now mooring.Instant, id fairway.ServerID, response time.Duration) time.Duration {
	if server := c.servers[id]; server != nil && server.told.known() && server.told.age(now) <= response {
		return server.told.WithoutWait(response)
	}
	return response
}
