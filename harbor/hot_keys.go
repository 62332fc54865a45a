package harbor

import (
	"slices"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/signal"
)

const (
	// hotKeyReportInterval is how often a host reports its hot keys.
	hotKeyReportInterval = 2 * time.Second
	// maxReportedKeys is the maximum number of keys reported for each service.
	maxReportedKeys = 32
	// hotKeyReportMaxAge is the age from which a host's report is ignored.
	hotKeyReportMaxAge = 3 * hotKeyReportInterval
)

// hotKeyReports returns this host's keys with the highest request rates, for
// the placer. It returns nil if it last returned them less than
// hotKeyReportInterval ago.
func (p *prober) hotKeyReports() []*signal.HotKeyReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.hotKeysReportedAt) < hotKeyReportInterval {
		return nil
	}
	p.hotKeysReportedAt = time.Now()
	var reports []*signal.HotKeyReport
	for _, service := range p.d.settings.Services {
		if !service.DividedByKey {
			continue
		}
		keys := p.d.router.HotKeys(service.ID)
		for _, key := range keys[:min(len(keys), maxReportedKeys)] {
			reports = append(reports, &signal.HotKeyReport{
				Service:           string(service.ID),
				Key:               key.Key,
				RequestsPerSecond: key.Rate,
			})
		}
	}
	return reports
}

// hotKeyTable holds the hot keys that the entry hosts of the domain have
// reported. It is safe for concurrent use.
type hotKeyTable struct {
	mu    sync.Mutex
	hosts map[berth.HostID]hostHotKeys
}

// hostHotKeys is the latest report of one entry host.
type hostHotKeys struct {
	reportedAt time.Time
	keys       []*signal.HotKeyReport
}

func newHotKeyTable() *hotKeyTable {
	return &hotKeyTable{hosts: make(map[berth.HostID]hostHotKeys)}
}

func (t *hotKeyTable) set(host berth.HostID, keys []*signal.HotKeyReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts[host] = hostHotKeys{reportedAt: time.Now(), keys: keys}
}

// sum returns the hot keys of a service with their rates summed over the hosts,
// the highest rate first, and the resulting loads of the service's shards.
func (t *hotKeyTable) sum(service berth.ServiceID, shards *berth.ServiceShards) ([]berth.HotKeyLoad, map[berth.ShardID]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rates := make(map[string]float64)
	for host, report := range t.hosts {
		if time.Since(report.reportedAt) > hotKeyReportMaxAge {
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
