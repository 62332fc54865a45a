package harbor

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/manifest"
)

// serveRules returns the accepted rules, or an earlier revision of them.
func (a *admin) serveRules(c *gin.Context) {
	ctx := c.Request.Context()
	if text := c.Query("revision"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			c.JSON(http.StatusBadRequest, Problem{Error: "revision is not a number"})
			return
		}
		record, err := a.d.storedRules().revision(ctx, berth.RulesRevision(revision))
		a.respond(c, record, err)
		return
	}
	record, _, err := a.d.storedRules().current(ctx)
	a.respond(c, record, err)
}

func (a *admin) serveHistory(c *gin.Context) {
	records, err := a.d.storedRules().history(c.Request.Context())
	a.respond(c, records, err)
}

// checkRules reports whether rules are valid, without recording them.
func (a *admin) checkRules(c *gin.Context) {
	if _, ok := a.bindValidRules(c); ok {
		c.JSON(http.StatusOK, struct{}{})
	}
}

// bindValidRules reads a request with rules and validates them. If this fails,
// it writes the error response and returns false.
func (a *admin) bindValidRules(c *gin.Context) (ApplyRulesRequest, bool) {
	var r ApplyRulesRequest
	if err := c.ShouldBindJSON(&r); err != nil {
		c.JSON(http.StatusBadRequest, Problem{Error: err.Error()})
		return r, false
	}
	if err := a.validateRules(r.Text); err != nil {
		c.JSON(http.StatusUnprocessableEntity, Problem{Error: err.Error()})
		return r, false
	}
	return r, true
}

func (a *admin) validateRules(text string) error {
	file, err := manifest.Parse("rules", text)
	if err != nil {
		return err
	}
	return a.d.settings.Catalogue().Check(file)
}

// applyRules records new rules. Invalid rules, and rules that are not based on
// the accepted revision, are refused and change nothing.
func (a *admin) applyRules(c *gin.Context) {
	r, ok := a.bindValidRules(c)
	if !ok {
		return
	}
	ctx := c.Request.Context()
	record, err := a.d.storedRules().apply(ctx, r.Base, RulesRecord{Text: r.Text, By: r.By, Reason: r.Reason})
	var applyErr *Error
	if errors.As(err, &applyErr) && applyErr.Kind == KindConflict {
		a.respondConflict(c, err)
		return
	}
	if err == nil {
		a.d.logs.logger.Info().
			Uint64("revision", uint64(record.Revision)).Str("by", r.By).Msg("rules accepted")
	}
	a.respond(c, record, err)
}

// respondConflict responds with the rules that were accepted in the meantime.
func (a *admin) respondConflict(c *gin.Context, cause error) {
	current, _, err := a.d.storedRules().current(c.Request.Context())
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, Problem{Error: err.Error()})
		return
	}
	c.JSON(http.StatusConflict, Problem{Error: cause.Error(), Current: &current})
}
