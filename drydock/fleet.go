package drydock

import (
	"fmt"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/ledger"
)

// FleetConfig holds the parameters of a [Fleet].
type FleetConfig struct {
	// Example is the name of the example settings that the hosts' settings are
	// derived from.
	Example string
	// HostsPerDomain is the number of entry hosts in each failure domain.
	HostsPerDomain int
	// ServersPerDomain is the number of backend servers of each service in
	// each failure domain.
	ServersPerDomain int
	// PlatformAddress is the address of the platform's key-value service.
	PlatformAddress string
	// IgnoreGrants makes the servers of divided services ignore grants.
	IgnoreGrants bool
	// Slots is the number of requests that each backend server runs
	// concurrently.
	Slots uint32
	// Connections is the connection limit of each backend server.
	Connections uint32
}

// Fleet describes a deployment with addresses on the loopback interface. It does
// not start it.
type Fleet struct {
	Hosts    []*charter.Settings
	Backends []ledger.Backend
	Divided  map[berth.ServiceID]bool
}

// NewFleet assigns addresses and derives the settings of every entry host and
// the list of backend servers.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	base, err := charter.Example(cfg.Example)
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{Divided: make(map[berth.ServiceID]bool)}
	for _, service := range base.Services {
		fleet.Divided[service.ID] = service.DividedByKey
	}
	ports := newPortAllocator()
	for i := range base.Domains {
		base.Domains[i].Peers = nil
		fleet.addHosts(cfg, base, i, ports)
		fleet.addBackends(cfg, base, i, ports)
	}
	for _, settings := range fleet.Hosts {
		settings.Domains = base.Domains
	}
	return fleet, ports.err
}

func (f *Fleet) addHosts(cfg FleetConfig, base *charter.Settings, domain int, ports *portAllocator) {
	for n := range cfg.HostsPerDomain {
		settings := *base
		id := base.Domains[domain].ID
		settings.Host = charter.HostSettings{
			ID:            berth.HostID(fmt.Sprintf("%s_host_%d", id, n+1)),
			Domain:        id,
			CallerAddress: ports.nextAddress(),
			PeerAddress:   ports.nextAddress(),
			AdminAddress:  ports.nextAddress(),
		}
		settings.Platform.Address = cfg.PlatformAddress
		settings.Timing.BalancerWaitMS = 100
		base.Domains[domain].Peers = append(base.Domains[domain].Peers, settings.Host.PeerAddress)
		f.Hosts = append(f.Hosts, &settings)
	}
}

func (f *Fleet) addBackends(cfg FleetConfig, base *charter.Settings, domain int, ports *portAllocator) {
	for _, service := range base.Services {
		for n := range cfg.ServersPerDomain {
			f.Backends = append(f.Backends, ledger.Backend{
				ID:           fmt.Sprintf("%s_%s_%d", base.Domains[domain].ID, service.ID, n+1),
				Address:      ports.nextAddress(),
				Service:      string(service.ID),
				Domain:       string(base.Domains[domain].ID),
				State:        ledger.BackendLive,
				ChecksGrants: service.DividedByKey && !cfg.IgnoreGrants,
				Slots:        cfg.Slots,
				Connections:  cfg.Connections,
			})
		}
	}
}

// CallerAddresses returns the addresses at which entry hosts accept callers.
func (f *Fleet) CallerAddresses() []string {
	addresses := make([]string, 0, len(f.Hosts))
	for _, settings := range f.Hosts {
		addresses = append(addresses, settings.Host.CallerAddress)
	}
	return addresses
}

// Rules returns a rules file that distributes the keys of services divided by key
// over the failure domains by prefix, and routes other services to any server.
func (f *Fleet) Rules() string {
	settings := f.Hosts[0]
	text := ""
	for _, service := range settings.Services {
		if !service.DividedByKey {
			text += fmt.Sprintf("route %s * to any # demo: any server will do\n", service.ID)
			continue
		}
		text += fmt.Sprintf("route %s * to %s # demo: default home\n", service.ID, settings.Domains[0].ID)
		for i, domain := range settings.Domains[1:] {
			text += fmt.Sprintf("route %s key-%d* to %s # demo: spread\n", service.ID, i+1, domain.ID)
		}
	}
	return text
}
