package harbor

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/gauge"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
)

// admin serves the admin API, the metrics and the load balancer's health
// checks.
type admin struct {
	d        *Daemon
	draining atomic.Bool
}

func newAdmin(d *Daemon) *admin {
	return &admin{d: d}
}

// setDraining makes the host report itself as not ready.
func (a *admin) setDraining() {
	a.draining.Store(true)
}

// ready reports whether the load balancer should send requests to this host: it
// has a table and is not shutting down.
func (a *admin) ready() bool {
	return !a.draining.Load() && a.d.gate.View().Table != nil
}

func (a *admin) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/livez", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", a.serveReady)
	engine.GET("/metrics", gin.WrapH(gauge.MetricsHandler{Scope: a.d.metrics.scope}))
	api := engine.Group("/v1")
	api.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, a.d.status()) })
	api.GET("/fleet", a.serveFleet)
	api.GET("/explain", a.serveExplain)
	api.GET("/rules", a.serveRules)
	api.POST("/rules", a.applyRules)
	api.POST("/rules/check", a.checkRules)
	api.GET("/rules/history", a.serveHistory)
	api.POST("/drains", a.addDrain)
	api.DELETE("/drains/:server", a.removeDrain)
	api.POST("/abandonments", a.abandonDomain)
	return engine
}

func (a *admin) serveReady(c *gin.Context) {
	if !a.ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (a *admin) statusJSON() []byte {
	value, err := json.Marshal(a.d.status())
	if err != nil {
		return nil
	}
	return value
}

// fleetTimeout bounds the time to fetch the status of all hosts.
const fleetTimeout = time.Second

// Fleet contains the status of every entry host that the responding host has in
// its table or directory.
type Fleet struct {
	Hosts []FleetHost `json:"hosts"`
}

// FleetHost contains the status of one entry host, or the error that prevented
// fetching it.
type FleetHost struct {
	ID     berth.HostID   `json:"id"`
	Domain berth.DomainID `json:"domain"`
	Status *Status        `json:"status,omitempty"`
	Error  string         `json:"error,omitempty"`
}

// serveFleet fetches the status of every known entry host.
func (a *admin) serveFleet(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), fleetTimeout)
	defer cancel()
	own := a.d.status()
	fleet := Fleet{Hosts: []FleetHost{{ID: own.Host, Domain: own.Domain, Status: &own}}}
	var mu sync.Mutex
	var group sync.WaitGroup
	for domain, hosts := range a.knownHosts() {
		for _, h := range hosts {
			group.Go(func() {
				entry := a.fetchStatus(ctx, domain, h)
				mu.Lock()
				defer mu.Unlock()
				fleet.Hosts = append(fleet.Hosts, entry)
			})
		}
	}
	group.Wait()
	slices.SortFunc(fleet.Hosts, func(x, y FleetHost) int {
		return cmp.Or(cmp.Compare(x.Domain, y.Domain), cmp.Compare(x.ID, y.ID))
	})
	c.JSON(http.StatusOK, fleet)
}

func (a *admin) knownHosts() map[berth.DomainID][]berth.Host {
	known := make(map[berth.DomainID][]berth.Host)
	for _, r := range a.d.directory.Rosters() {
		known[r.Domain] = r.Hosts
	}
	table := a.d.gate.View().Table
	if table == nil {
		return known
	}
	for _, h := range table.Hosts {
		if h.ID != a.d.settings.Host.ID {
			known[table.Domain] = append(known[table.Domain], h)
		}
	}
	return known
}

func (a *admin) fetchStatus(ctx context.Context, domain berth.DomainID, h berth.Host) FleetHost {
	entry := FleetHost{ID: h.ID, Domain: domain}
	client, err := a.d.controlClients.client(h.Address)
	if err != nil {
		entry.Error = err.Error()
		return entry
	}
	reply, err := client.Status(ctx, &signal.StatusRequest{})
	if err != nil {
		entry.Error = err.Error()
		return entry
	}
	status, err := a.d.decodePeerStatus(reply)
	if err != nil {
		entry.Error = err.Error()
		return entry
	}
	entry.Status = &status
	return entry
}

func (a *admin) serveExplain(c *gin.Context) {
	service := berth.ServiceID(c.Query("service"))
	c.JSON(http.StatusOK, a.d.explain(service, c.Query("key")))
}

// respond writes value, or a [Problem] if err is set.
func (a *admin) respond(c *gin.Context, value any, err error) {
	switch {
	case err == nil:
		c.JSON(http.StatusOK, value)
	case ledger.IsKind(err, ledger.KindNotFound):
		c.JSON(http.StatusNotFound, Problem{Error: err.Error()})
	default:
		c.JSON(http.StatusServiceUnavailable, Problem{Error: err.Error()})
	}
}
