package harbor

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/ledger"
)

// addDrain records an operator's request to drain a backend server.
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

// changeDrain changes the drains of this host's failure domain, if the server
// of drain belongs to it.
func (a *admin) changeDrain(c *gin.Context, drain Drain, change func([]Drain) []Drain) {
	domain, known := a.domainOf(drain.Server)
	if !known {
		c.JSON(http.StatusNotFound, Problem{Error: "the table of this host does not list server " + string(drain.Server)})
		return
	}
	a.respond(c, drain, a.d.changeDrains(c.Request.Context(), domain, change))
}

var errNewestOnly = errors.New("a domain can be abandoned only for the accepted revision of the rules")

// abandonDomain records an operator's statement that a failure domain is lost.
func (a *admin) abandonDomain(c *gin.Context) {
	var order Abandonment
	if err := c.ShouldBindJSON(&order); err != nil {
		c.JSON(http.StatusBadRequest, Problem{Error: err.Error()})
		return
	}
	if !a.d.settings.Catalogue().Domains[order.Domain] || order.By == "" {
		c.JSON(http.StatusBadRequest, Problem{Error: "domain must be a configured failure domain, and by must not be empty"})
		return
	}
	err := a.d.abandon(c.Request.Context(), order)
	if err == nil {
		a.d.logs.logger.Warn().Str("abandoned", string(order.Domain)).Str("by", order.By).
			Str("reason", order.Reason).Msg("failure domain abandoned by an operator's order")
	}
	a.respond(c, order, err)
}

// abandon records order. It returns an error of [KindConflict] if order is not
// for the accepted revision of the rules.
func (d *Daemon) abandon(ctx context.Context, order Abandonment) error {
	current, _, err := d.storedRules().current(ctx)
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
	key := abandonmentKey(order.Domain)
	entry, err := d.store.Get(ctx, key)
	if err != nil && !ledger.IsKind(err, ledger.KindNotFound) {
		return newError("read abandonment", KindStore, err)
	}
	if _, err = d.store.Swap(ctx, ledger.Swap{Key: key, Revision: entry.Revision, Value: value}); err != nil {
		return newError("write abandonment", KindStore, err)
	}
	return nil
}

// domainOf returns the failure domain of a backend server, if the server is in
// this host's table.
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

// maxDrainWriteAttempts is the maximum number of attempts to change the drains,
// in case of concurrent changes.
const maxDrainWriteAttempts = 5

// changeDrains applies change to the recorded drains by compare-and-swap.
func (d *Daemon) changeDrains(ctx context.Context, domain berth.DomainID, change func([]Drain) []Drain) error {
	key := drainsKey(domain)
	for range maxDrainWriteAttempts {
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
	return newError("write drains", KindStore, errors.New("too many concurrent changes to the record"))
}
