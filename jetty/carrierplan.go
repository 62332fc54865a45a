package jetty

import (
	"math"
	"slices"
	"time"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/signal"
	"hornbeamwinch.example/sluice"
)

const (
	// rateDecay is the weight that the average rate of a service keeps of its old value per
	// second, and minRateTime how long requests are counted before it tells anything.
	rateDecay   = 0.8
	minRateTime = 3 * time.Second
)

// serviceRate is a moving average of the requests of a service a second.
type serviceRate struct {
	sum    float64
	weight float64
	// counted is the time since the first request.
	counted time.Duration
}

// add adds the requests of an interval.
func (r *serviceRate) add(requests int, interval time.Duration) {
	if requests == 0 && r.counted == 0 {
		return
	}
	kept := math.Pow(rateDecay, interval.Seconds())
	r.sum = kept*r.sum + float64(requests)
	r.weight = kept*r.weight + interval.Seconds()
	r.counted += interval
}

// rate returns the average, or 0 if it does not tell anything yet.
func (r *serviceRate) rate() float64 {
	if r.counted < minRateTime || r.weight == 0 {
		return 0
	}
	return r.sum / r.weight
}

// carrierPlan is the placer's decision which services have carriers. The mutex of the
// loadCollector protects it.
type carrierPlan struct {
	rates   map[fairway.ServiceName]*serviceRate
	carried map[fairway.ServiceName]bool
}

func newCarrierPlan() carrierPlan {
	return carrierPlan{rates: make(map[fairway.ServiceName]*serviceRate), carried: make(map[fairway.ServiceName]bool)}
}

// serviceLoad is the load of a service in an interval.
type serviceLoad struct {
	requests int
	servers  int
	keepTime time.Duration
}

// continueCarriers takes over which services have carriers from an earlier placer.
func (l *loadCollector) continueCarriers(services map[fairway.ServiceName]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plan = newCarrierPlan()
	for service := range services {
		l.plan.carried[service] = true
	}
}

// decideCarriers decides again which of the services have carriers.
func (l *loadCollector) decideCarriers(loads map[fairway.ServiceName]serviceLoad, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	domains := l.domains()
	for service, load := range loads {
		rate := l.plan.rates[service]
		if rate == nil {
			rate = &serviceRate{}
			l.plan.rates[service] = rate
		}
		rate.add(load.requests, interval)
		l.plan.carried[service] = sluice.CarriersPay(sluice.CarrierLoad{
			Domains: domains, Fleet: len(l.reportingHosts), Servers: load.servers, Rate: rate.rate(), KeepTime: load.keepTime,
		}, l.plan.carried[service])
	}
	for service := range l.plan.carried {
		if _, divided := loads[service]; !divided {
			delete(l.plan.carried, service)
		}
	}
}

// domains returns the number of failure domains with hosts that report.
func (l *loadCollector) domains() int {
	hosts := make(map[fairway.Domain]bool)
	for _, h := range l.reportingHosts {
		hosts[h.domain] = true
	}
	return len(hosts)
}

// carriersOf returns the carriers of a failure domain, or nil if there are none. Hosts that
// are cut, or have not reported for a while, are left out.
func (l *loadCollector) carriersOf(domain fairway.Domain, now time.Time) *signal.Carriers {
	m := &signal.Carriers{}
	for service, carried := range l.plan.carried {
		if carried {
			m.Services = append(m.Services, string(service))
		}
	}
	if len(m.Services) == 0 {
		return nil
	}
	slices.Sort(m.Services)
	carrying := make(map[fairway.Domain]bool)
	for id, h := range l.reportingHosts {
		switch {
		case h.capacity == 0:
			m.Senders++
		case h.reporting(now) && !h.cut && h.address != "":
			carrying[h.domain] = true
			if h.domain == domain {
				m.Carriers = append(m.Carriers, &signal.Carrier{Host: string(id), Address: h.address, Capacity: h.capacity})
			}
		}
	}
	m.Senders += uint32(len(carrying))
	sortCarriers(m.Carriers)
	return m
}
