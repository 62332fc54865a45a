package harbor

import (
	"cmp"
	"slices"
	"sync"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/manifest"
	"hornbeamwinch.example/roster"
	"hornbeamwinch.example/signal"
)

// DomainRoster lists the entry hosts of one failure domain.
type DomainRoster struct {
	Domain  berth.DomainID
	Epoch   berth.Epoch
	Version berth.Version
	Hosts   []berth.Host
}

// Directory holds the entry hosts of every failure domain. Its entries for
// other domains may be stale; a request that is sent to the wrong host because
// of this is refused or forwarded by that host. Directory is safe for
// concurrent use.
type Directory struct {
	domain berth.DomainID
	gate   *roster.Gate

	mu      sync.Mutex
	rosters map[berth.DomainID]DomainRoster
}

// NewDirectory returns a directory that contains only the host's own domain,
// whose entry hosts it takes from the gate's table.
func NewDirectory(domain berth.DomainID, gate *roster.Gate) *Directory {
	return &Directory{domain: domain, gate: gate, rosters: make(map[berth.DomainID]DomainRoster)}
}

// Hosts implements quay.Directory: it returns the active entry hosts of domain.
// For the domain "any" it returns those of all other domains.
func (d *Directory) Hosts(domain berth.DomainID) []berth.Host {
	if domain == d.domain {
		return d.ownHosts()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if domain != manifest.AnyDomain {
		return activeHosts(d.rosters[domain].Hosts)
	}
	var hosts []berth.Host
	for _, r := range d.rosters {
		hosts = append(hosts, activeHosts(r.Hosts)...)
	}
	return hosts
}

func (d *Directory) ownHosts() []berth.Host {
	table := d.gate.View().Table
	if table == nil {
		return nil
	}
	return activeHosts(table.Hosts)
}

func activeHosts(hosts []berth.Host) []berth.Host {
	var active []berth.Host
	for _, h := range hosts {
		if h.State == berth.HostActive {
			active = append(active, h)
		}
	}
	return active
}

// Update stores a roster if it is newer than the stored one and its hosts
// differ. Most changes to a table do not change its hosts. Rosters of the
// directory's own domain are ignored.
func (d *Directory) Update(r DomainRoster) {
	if r.Domain == d.domain {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.rosters[r.Domain]
	if ok && (known.Version >= r.Version || slices.Equal(known.Hosts, r.Hosts)) {
		return
	}
	d.rosters[r.Domain] = r
}

// Versions returns the stored rosters without their hosts.
func (d *Directory) Versions() []DomainRoster {
	rosters := d.Rosters()
	for i := range rosters {
		rosters[i].Hosts = nil
	}
	return rosters
}

// NewerThan returns the stored rosters that are newer than the given ones.
func (d *Directory) NewerThan(versions []*signal.DomainRoster) []DomainRoster {
	have := make(map[berth.DomainID]berth.Version, len(versions))
	for _, v := range versions {
		have[berth.DomainID(v.GetDomain())] = berth.Version(v.GetVersion())
	}
	var newer []DomainRoster
	for _, r := range d.Rosters() {
		if r.Version > have[r.Domain] {
			newer = append(newer, r)
		}
	}
	return newer
}

// Rosters returns the stored rosters, sorted by domain.
func (d *Directory) Rosters() []DomainRoster {
	d.mu.Lock()
	defer d.mu.Unlock()
	rosters := make([]DomainRoster, 0, len(d.rosters))
	for _, r := range d.rosters {
		rosters = append(rosters, r)
	}
	slices.SortFunc(rosters, func(a, b DomainRoster) int { return cmp.Compare(a.Domain, b.Domain) })
	return rosters
}

func rosterOf(t *berth.Table) DomainRoster {
	return DomainRoster{
		Domain:  t.Domain,
		Epoch:   t.Epoch,
		Version: t.Version,
		Hosts:   t.Hosts,
	}
}

func encodeRosters(rosters []DomainRoster) []*signal.DomainRoster {
	records := make([]*signal.DomainRoster, 0, len(rosters))
	for _, r := range rosters {
		records = append(records, &signal.DomainRoster{
			Domain:  string(r.Domain),
			Epoch:   uint64(r.Epoch),
			Version: uint64(r.Version),
			Hosts:   berth.EncodeHosts(r.Hosts),
		})
	}
	return records
}

func decodeRoster(r *signal.DomainRoster) DomainRoster {
	return DomainRoster{
		Domain:  berth.DomainID(r.GetDomain()),
		Epoch:   berth.Epoch(r.GetEpoch()),
		Version: berth.Version(r.GetVersion()),
		Hosts:   berth.DecodeHosts(r.GetHosts()),
	}
}
