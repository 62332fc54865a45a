package jetty

import (
	"net/http"

	"github.com/gin-gonic/gin"

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

// adminHandler serves the operators' endpoints: readiness, metrics, explanations and the
// requests that crash servers.
func (h *Host) adminHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/readyz", h.serveReady)
	engine.GET("/explain", h.serveExplanation)
	engine.GET("/crashing_requests", h.listCrashingRequests)
	engine.DELETE("/crashing_requests/:fingerprint", h.clearCrashingRequest)
	engine.GET("/metrics", gin.WrapH(gauge.MetricsHandler{Scope: h.metrics}))
	return engine
}
