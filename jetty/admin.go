package jetty

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/gauge"
)

// readyHandler serves the load balancer's health check.
func (h *Host) readyHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(h.cfg.Protocol.ReadyPath(), h.serveReady)
	return engine
}

func (h *Host) serveReady(c *gin.Context) {
	if h.ready() {
		c.Status(http.StatusOK)
		return
	}
	c.Status(http.StatusServiceUnavailable)
}

// Status is the state of a host, as operators see it.
type Status struct {
	Host    HostID          `json:"host"`
	Domain  fairway.Domain  `json:"domain"`
	Ready   bool            `json:"ready"`
	Placer  bool            `json:"placer"`
	Version fairway.Version `json:"config_version"`
	Servers int             `json:"servers"`
	// Evacuated has the evacuated failure domains.
	Evacuated []EvacuatedDomain `json:"evacuated"`
}

// adminHandler serves the operators' endpoints: readiness, status, metrics, explanations, the requests
// that crash servers, and the servers as this host sees them.
func (h *Host) adminHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/readyz", h.serveReady)
	engine.GET("/status", h.serveStatus)
	engine.GET("/explain", h.serveExplanation)
	engine.GET("/crashing_requests", h.listCrashingRequests)
	engine.DELETE("/crashing_requests/:fingerprint", h.clearCrashingRequest)
	engine.GET("/servers", h.listServers)
	engine.GET("/metrics", gin.WrapH(gauge.MetricsHandler{Scope: h.metrics}))
	return engine
}

func (h *Host) serveStatus(c *gin.Context) {
	s := Status{
		Host: h.cfg.Settings.Host, Domain: h.cfg.Settings.Domain, Ready: h.ready(), Placer: h.election.active(),
		Servers: h.clusterState.catalog().Len(), Evacuated: h.evacuatedDomains(),
	}
	if config := h.clusterState.activeConfig.Current(); config != nil {
		s.Version = config.Version
	}
	c.JSON(http.StatusOK, s)
}
