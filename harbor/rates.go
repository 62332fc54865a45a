package harbor

import (
	"slices"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/signal"
)

const (
	// rateInterval is how often a host counts its hot keys anew.
	rateInterval = 2 * time.Second
	// reportedKeys is the number of keys reported for each service.
	reportedKeys = 32
	// rateMaxAge is how long a host's report counts.
	rateMaxAge = 3 * rateInterval
)

// hotKeyReports returns the busiest keys of this host for the placer, once in
// each interval and nothing in between.
func (w *warden) hotKeyReports() []*signal.HotKeyReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.hotAt) < rateInterval {
		return nil
	}
	w.hotAt = time.Now()
	var reports []*signal.HotKeyReport
	for _, service := range w.d.settings.Services {
		if !service.DividedByKey {
			continue
		}
		keys := w.d.router.HotKeys(service.ID)
		for _, key := range keys[:min(len(keys), reportedKeys)] {
			reports = append(reports, &signal.HotKeyReport{
				Service:           string(service.ID),
				Key:               key.Key,
				RequestsPerSecond: key.Rate,
			})
		}
	}
	return reports
}

// rateTable holds the hot keys that the entry hosts of the domain report. It
// is safe for concurrent use.
type rateTable struct {
	mu    sync.Mutex
	hosts map[berth.HostID]rateReport
}

type rateReport struct {
	at   time.Time
	keys []*signal.HotKeyReport
}

func newRateTable() *rateTable {
	return &rateTable{hosts: make(map[berth.HostID]rateReport)}
}

func (t *rateTable) set(host berth.HostID, keys []*signal.HotKeyReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts[host] = rateReport{at: time.Now(), keys: keys}
}

// sum adds up the rates of a service's keys over the hosts, hottest first, and
// the resulting loads of its shards.
func (t *rateTable) sum(service berth.ServiceID, shards *berth.ServiceShards) ([]berth.HotKeyLoad, map[berth.ShardID]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rates := make(map[string]float64)
	for host, report := range t.hosts {
		if time.Since(report.at) > rateMaxAge {
			delete(t.hosts, host)
			continue
		}
		for _, key := range report.keys {
			if key.GetService() == string(service) {
				rates[key.GetKey()] += key.GetRequestsPerSecond()
			}
		}
	}
	loads := make(map[berth.ShardID]float64)
	keys := make([]berth.HotKeyLoad, 0, len(rates))
	for key, rate := range rates {
		loads[shards.ShardOf(key)] += rate
		keys = append(keys, berth.HotKeyLoad{Key: key, Rate: rate})
	}
	slices.SortFunc(keys, berth.CompareHotKeys)
	return keys, loads
}
