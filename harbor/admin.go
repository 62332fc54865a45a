package harbor

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/manifest"
	"hornbeamwinch.example/signal"
)

// admin serves operators and the balancer's probes.
type admin struct {
	d        *Daemon
	draining atomic.Bool
}

func newAdmin(d *Daemon) *admin {
	return &admin{d: d}
}

// setDraining makes the host report unready.
func (a *admin) setDraining() {
	a.draining.Store(true)
}

// ready reports whether the balancer should send requests here: the host knows
// a table, and rules if there are any.
func (a *admin) ready() bool {
	return !a.draining.Load() && a.d.gate.View().Table != nil
}

func (a *admin) handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/livez", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", a.serveReady)
	engine.GET("/metrics", gin.WrapH(a.d.metrics))
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

// fleetTimeout bounds the gathering of every host's status.
const fleetTimeout = time.Second

// Fleet is the view of every entry host that this host knows.
type Fleet struct {
	Hosts []FleetHost `json:"hosts"`
}

// FleetHost is the status of one entry host, or why there is none.
type FleetHost struct {
	ID     berth.HostID   `json:"id"`
	Domain berth.DomainID `json:"domain"`
	Status *Status        `json:"status,omitempty"`
	Error  string         `json:"error,omitempty"`
}

// serveFleet asks every known entry host for its status.
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
				entry := a.ask(ctx, domain, h)
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

func (a *admin) ask(ctx context.Context, domain berth.DomainID, h berth.Host) FleetHost {
	entry := FleetHost{ID: h.ID, Domain: domain}
	client, err := a.d.control.client(h.Address)
	if err != nil {
		entry.Error = err.Error()
		return entry
	}
	reply, err := client.Status(ctx, &signal.StatusRequest{})
	if err != nil {
		entry.Error = err.Error()
		return entry
	}
	status, err := a.d.peerStatus(reply)
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

// serveRules returns the accepted rules, or an earlier revision of them.
func (a *admin) serveRules(c *gin.Context) {
	ctx := c.Request.Context()
	if text := c.Query("revision"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			c.JSON(http.StatusBadRequest, Problem{Error: "revision is not a number"})
			return
		}
		record, err := a.d.rules().revision(ctx, berth.RulesRevision(revision))
		a.answer(c, record, err)
		return
	}
	record, _, err := a.d.rules().current(ctx)
	a.answer(c, record, err)
}

func (a *admin) serveHistory(c *gin.Context) {
	records, err := a.d.rules().history(c.Request.Context())
	a.answer(c, records, err)
}

func (a *admin) answer(c *gin.Context, value any, err error) {
	switch {
	case err == nil:
		c.JSON(http.StatusOK, value)
	case ledger.IsKind(err, ledger.KindNotFound):
		c.JSON(http.StatusNotFound, Problem{Error: err.Error()})
	default:
		c.JSON(http.StatusServiceUnavailable, Problem{Error: err.Error()})
	}
}

func (a *admin) checkRules(c *gin.Context) {
	var r ApplyRequest
	if err := c.ShouldBindJSON(&r); err != nil {
		c.JSON(http.StatusBadRequest, Problem{Error: err.Error()})
		return
	}
	if err := a.check(r.Text); err != nil {
		c.JSON(http.StatusUnprocessableEntity, Problem{Error: err.Error()})
		return
	}
	c.JSON(http.StatusOK, struct{}{})
}

func (a *admin) check(text string) error {
	file, err := manifest.Parse("rules", text)
	if err != nil {
		return err
	}
	return a.d.settings.Catalogue().Check(file)
}

// applyRules records new rules. Faulty rules and rules based on an old
// revision are refused and change nothing.
func (a *admin) applyRules(c *gin.Context) {
	var r ApplyRequest
	if err := c.ShouldBindJSON(&r); err != nil {
		c.JSON(http.StatusBadRequest, Problem{Error: err.Error()})
		return
	}
	if err := a.check(r.Text); err != nil {
		c.JSON(http.StatusUnprocessableEntity, Problem{Error: err.Error()})
		return
	}
	ctx := c.Request.Context()
	record, err := a.d.rules().apply(ctx, r.Base, RulesRecord{Text: r.Text, By: r.By, Reason: r.Reason})
	var refusal *Error
	if errors.As(err, &refusal) && refusal.Kind == KindConflict {
		a.conflict(c, err)
		return
	}
	if err == nil {
		a.d.logs.logger.Info().
			Uint64("revision", uint64(record.Revision)).Str("by", r.By).Msg("rules accepted")
	}
	a.answer(c, record, err)
}

// conflict answers with the rules that came first.
func (a *admin) conflict(c *gin.Context, cause error) {
	current, _, err := a.d.rules().current(c.Request.Context())
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, Problem{Error: err.Error()})
		return
	}
	c.JSON(http.StatusConflict, Problem{Error: cause.Error(), Current: &current})
}

func (a *admin) addDrain(c *gin.Context) {
	var drain Drain
	if err := c.ShouldBindJSON(&drain); err != nil {
		c.JSON(http.StatusBadRequest, Problem{Error: err.Error()})
		return
	}
	a.changeDrain(c, drain, func(drains []Drain) []Drain {
		return append(withoutServer(drains, drain.Server), drain)
	})
}

func (a *admin) removeDrain(c *gin.Context) {
	drain := Drain{Server: berth.ServerID(c.Param("server"))}
	a.changeDrain(c, drain, func(drains []Drain) []Drain {
		return withoutServer(drains, drain.Server)
	})
}

// changeDrain changes the drains of this host's failure domain, if drain is
// about one of its servers.
func (a *admin) changeDrain(c *gin.Context, drain Drain, change func([]Drain) []Drain) {
	domain, known := a.domainOf(drain.Server)
	if !known {
		c.JSON(http.StatusNotFound, Problem{Error: "no table of this host lists server " + string(drain.Server)})
		return
	}
	a.answer(c, drain, a.d.changeDrains(c.Request.Context(), domain, change))
}

var errNewestOnly = errors.New("a domain can be abandoned for the newest rules only")

// abandonDomain records an operator's word that a failure domain is lost.
func (a *admin) abandonDomain(c *gin.Context) {
	var order Abandonment
	if err := c.ShouldBindJSON(&order); err != nil {
		c.JSON(http.StatusBadRequest, Problem{Error: err.Error()})
		return
	}
	if !a.d.settings.Catalogue().Domains[order.Domain] || order.By == "" {
		c.JSON(http.StatusBadRequest, Problem{Error: "an abandonment names a configured failure domain and who orders it"})
		return
	}
	err := a.d.abandon(c.Request.Context(), order)
	if err == nil {
		a.d.logs.logger.Warn().Str("abandoned", string(order.Domain)).Str("by", order.By).
			Str("reason", order.Reason).Msg("failure domain abandoned by an operator's order")
	}
	a.answer(c, order, err)
}

// abandon records order if it is for the accepted rules.
func (d *Daemon) abandon(ctx context.Context, order Abandonment) error {
	current, _, err := d.rules().current(ctx)
	if err != nil {
		return err
	}
	if current.Revision != order.Revision {
		return newError("abandon domain", KindConflict, errNewestOnly)
	}
	value, err := json.Marshal(order)
	if err != nil {
		return newError("encode abandonment", KindStore, err)
	}
	key := abandonKey(order.Domain)
	entry, err := d.store.Get(ctx, key)
	if err != nil && !ledger.IsKind(err, ledger.KindNotFound) {
		return newError("read abandonment", KindStore, err)
	}
	if _, err = d.store.Swap(ctx, ledger.Swap{Key: key, Revision: entry.Revision, Value: value}); err != nil {
		return newError("write abandonment", KindStore, err)
	}
	return nil
}

// domainOf returns the failure domain of a backend server of this domain.
func (a *admin) domainOf(server berth.ServerID) (berth.DomainID, bool) {
	table := a.d.gate.View().Table
	if table == nil || table.Server(server) == nil {
		return "", false
	}
	return table.Domain, true
}

func withoutServer(drains []Drain, server berth.ServerID) []Drain {
	return slices.DeleteFunc(drains, func(d Drain) bool { return d.Server == server })
}

// drainAttempts bounds the repetition of a change that others overtook.
const drainAttempts = 5

// changeDrains applies change to the recorded drains by compare-and-swap.
func (d *Daemon) changeDrains(ctx context.Context, domain berth.DomainID, change func([]Drain) []Drain) error {
	key := drainsKey(domain)
	for range drainAttempts {
		var drains []Drain
		entry, err := d.store.Get(ctx, key)
		if err != nil && !ledger.IsKind(err, ledger.KindNotFound) {
			return newError("read drains", KindStore, err)
		}
		if err == nil {
			if err := json.Unmarshal(entry.Value, &drains); err != nil {
				return newError("read drains", KindStore, err)
			}
		}
		value, err := json.Marshal(change(drains))
		if err != nil {
			return newError("encode drains", KindStore, err)
		}
		_, err = d.store.Swap(ctx, ledger.Swap{Key: key, Revision: entry.Revision, Value: value})
		if err == nil {
			return nil
		}
		if !ledger.IsKind(err, ledger.KindConflict) && !ledger.IsKind(err, ledger.KindUnknown) {
			return newError("write drains", KindStore, err)
		}
	}
	return newError("write drains", KindStore, errors.New("others kept changing the record"))
}
