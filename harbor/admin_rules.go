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

// checkRules answers whether rules would be accepted.
func (a *admin) checkRules(c *gin.Context) {
	if _, ok := a.checkedRequest(c); ok {
		c.JSON(http.StatusOK, struct{}{})
	}
}

// checkedRequest reads a request whose rules are free of faults, or answers why
// there is none.
func (a *admin) checkedRequest(c *gin.Context) (ApplyRulesRequest, bool) {
	var r ApplyRulesRequest
	if err := c.ShouldBindJSON(&r); err != nil {
		c.JSON(http.StatusBadRequest, Problem{Error: err.Error()})
		return r, false
	}
	if err := a.check(r.Text); err != nil {
		c.JSON(http.StatusUnprocessableEntity, Problem{Error: err.Error()})
		return r, false
	}
	return r, true
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
	r, ok := a.checkedRequest(c)
	if !ok {
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
