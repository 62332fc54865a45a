package jetty

import (
	"net/http"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
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
	// Protocol decodes the load that servers tell; nil means that it does not count.
	Protocol Protocol
	// PreferredRate, if set, is that of the controllers.
	PreferredRate func(sluice.ServerInstance) (perSecond float64, ok bool)
}

// admits reports whether coordinators admit the requests of a service.
func (c *coordinatedAdmission) admits(service fairway.ServiceName) bool {
	return c.coordination.active(service) && len(c.coordinators.current().coordinators) > 0
}

func newCoordinatedAdmission(cfg coordinatedConfig) *coordinatedAdmission {
	c := &coordinatedAdmission{
		coordination: &coordination{clusterState: cfg.ClusterState, carriers: cfg.Carriers, admissions: cfg.Admissions},
		coordinators: newCoordinators(cfg.Host, cfg.Logs),
	}
	ofAll := cfg.Admissions.cfg
	ofAll.Carriers = nil
	ofAll.Coordination = &admissionCoordination{
		Owners:        cfg.Admissions.ownersOf,
		MostUrgent:    c.coordination.mostUrgent,
		PreferredRate: cfg.PreferredRate,
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
	if cfg.Protocol != nil {
		c.useLoads(cfg.Protocol)
	}
	return c
}

// useLoads has the ends of permits tell the load that servers tell in their responses.
func (c *coordinatedAdmission) useLoads(protocol Protocol) {
	c.permits.loadOf = func(header http.Header) *signal.PermitServerLoad {
		load, ok := protocol.DecodeLoad(header)
		if !ok {
			return nil
		}
		return encodePermitLoad(load)
	}
	c.server.onLoad = func(controller *sluice.Controller, now mooring.Instant, id sluice.RequestID, load *signal.PermitServerLoad) {
		if server, ok := controller.ServerOf(id); ok {
			controller.SetLoad(now, server, decodePermitLoad(load))
		}
	}
}
