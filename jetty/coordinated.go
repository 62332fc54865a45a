package jetty

import (
	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// coordinatedAdmission has the parts of a host by which coordinators admit its requests, and it
// those of others.
type coordinatedAdmission struct {
	coordination *coordination
	coordinators *coordinators
	permits      *permits
	server       *permitServer
}

// coordinatedConfig holds what these parts need.
type coordinatedConfig struct {
	Host         HostID
	Domain       fairway.Domain
	ClusterState *clusterState
	Carriers     *carriers
	// Admissions are those of the host's own requests. They get a set for the requests of all
	// hosts at their side.
	Admissions *admissionSet
	Conns      *peerConns
	Logs       *logs
	Metrics    *metrics
	Stopping   func() bool
	// MaxRate, if set, bounds the requests a second to a server in any second.
	MaxRate func(sluice.ServerInstance) (perSecond float64, ok bool)
}

// admits reports whether coordinators admit the requests of a service.
func (c *coordinatedAdmission) admits(service fairway.ServiceName) bool {
	return c.coordination.active(service) && len(c.coordinators.current().coordinators) > 0
}

func newCoordinatedAdmission(cfg coordinatedConfig) *coordinatedAdmission {
	c := &coordinatedAdmission{
		coordination: &coordination{clusterState: cfg.ClusterState, carriers: cfg.Carriers},
		coordinators: newCoordinators(cfg.Host, cfg.Logs),
	}
	ofAll := cfg.Admissions.cfg
	ofAll.Carriers = nil
	ofAll.Coordination = &admissionCoordination{
		Owners:     cfg.Admissions.ownersOf,
		MostUrgent: c.coordination.mostUrgent,
		MaxRate:    cfg.MaxRate,
		Servers: func(name fairway.ServiceName, catalog *fairway.Catalog) []fairway.Endpoint {
			config := cfg.ClusterState.activeConfig.Current()
			if config == nil || config.Services[name] == nil {
				return nil
			}
			return c.coordinators.serversOf(config.Services[name], catalog)
		},
	}
	cfg.Admissions.coordinated = newAdmissionSet(ofAll)
	c.server = newPermitServer(&permitServer{
		admissions: cfg.Admissions.coordinated, clusterState: cfg.ClusterState, coordination: c.coordination, coordinators: c.coordinators,
		stopping: cfg.Stopping, metrics: cfg.Metrics,
	})
	c.permits = newPermits(&permits{
		host: cfg.Host, domain: cfg.Domain, coordination: c.coordination, coordinators: c.coordinators, clusterState: cfg.ClusterState,
		conns: cfg.Conns, server: c.server, logs: cfg.Logs, metrics: cfg.Metrics,
	})
	return c
}
