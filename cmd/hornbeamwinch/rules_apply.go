package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/manifest"
)

// rulesApplyCommand applies a rules file.
type rulesApplyCommand struct {
	Base   int64         `long:"base" default:"-1" description:"revision that the file was edited from; the accepted one if not given"`
	By     string        `long:"by" required:"true" description:"who applies the rules"`
	Reason string        `long:"reason" description:"why"`
	Merge  bool          `long:"merge" description:"merge with rules that were accepted since the base, if they do not clash"`
	Wait   time.Duration `long:"wait" default:"13s" description:"how long to wait until the rules are in force everywhere"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *rulesApplyCommand) Execute([]string) error {
	text, _, err := readRules(c.Args.File)
	if err != nil {
		return err
	}
	base := berth.RulesRevision(c.Base)
	if c.Base < 0 {
		current, err := fetchRules(0)
		if err != nil {
			return err
		}
		base = current.Revision
	}
	record, err := c.apply(base, text)
	if err != nil {
		return err
	}
	fmt.Printf("accepted as revision %d\n", record.Revision)
	return c.await(record.Revision)
}

// apply records the rules. If others were accepted first, it shows the
// three-way difference, and merges them if asked to.
func (c *rulesApplyCommand) apply(base berth.RulesRevision, text string) (harbor.RulesRecord, error) {
	var record harbor.RulesRecord
	request := harbor.ApplyRulesRequest{Base: base, Text: text, By: c.By, Reason: c.Reason}
	err := call(http.MethodPost, "/v1/rules", request, &record)
	current, clash := conflictOf(err)
	if !clash {
		return record, err
	}
	merged, err := c.merge(base, text, *current)
	if err != nil {
		return record, err
	}
	request.Base, request.Text = current.Revision, merged
	return record, call(http.MethodPost, "/v1/rules", request, &record)
}

// merge combines the operator's edit with the rules that came first.
func (c *rulesApplyCommand) merge(base berth.RulesRevision, text string, current harbor.RulesRecord) (string, error) {
	baseText := ""
	if base > 0 {
		record, err := fetchRules(uint64(base))
		if err != nil {
			return "", err
		}
		baseText = record.Text
	}
	files, err := parseAll(baseText, text, current.Text)
	if err != nil {
		return "", err
	}
	fmt.Printf("revision %d by %s came first; nothing was written\n", current.Revision, current.By)
	for _, change := range manifest.Diff(files[0], files[2]) {
		fmt.Printf("theirs:\n%s\n", change)
	}
	merged, conflicts := manifest.Merge(files[0], files[1], files[2])
	for _, conflict := range conflicts {
		fmt.Printf("clash:\n%s\n", conflict)
	}
	switch {
	case len(conflicts) > 0:
		return "", &commandError{code: exitRefused, err: fmt.Errorf("%d rules clash; edit revision %d and apply again", len(conflicts), current.Revision)}
	case !c.Merge:
		return "", &commandError{code: exitRefused, err: errors.New("the edits do not clash; apply with --merge to combine them")}
	}
	return merged, nil
}

func parseAll(texts ...string) ([]*manifest.File, error) {
	files := make([]*manifest.File, 0, len(texts))
	for _, text := range texts {
		file, err := manifest.Parse("rules", text)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

// awaitPoll is the interval at which the hosts are asked.
const awaitPoll = 200 * time.Millisecond

// await reports when the rules are in force in each failure domain, and names
// the entry hosts that have not confirmed in time.
func (c *rulesApplyCommand) await(revision berth.RulesRevision) error {
	began := time.Now()
	done := make(map[berth.DomainID]bool)
	for {
		waiting, err := hostsBehind(revision, done, began)
		if err == nil && len(waiting) == 0 {
			return nil
		}
		if time.Since(began) >= c.Wait {
			return notInForce(waiting, err)
		}
		time.Sleep(awaitPoll)
	}
}

func notInForce(waiting []berth.HostID, err error) error {
	if err != nil {
		return &commandError{code: exitNotInForce, err: fmt.Errorf("accepted, but it is not known where the rules are in force: %w", err)}
	}
	return &commandError{code: exitNotInForce, err: fmt.Errorf("accepted, but these entry hosts have not confirmed: %v", waiting)}
}

// hostsBehind returns the entry hosts that do not route by revision yet. It
// prints each failure domain once all of its hosts do.
func hostsBehind(revision berth.RulesRevision, done map[berth.DomainID]bool, began time.Time) ([]berth.HostID, error) {
	var fleet harbor.Fleet
	if err := call(http.MethodGet, "/v1/fleet", nil, &fleet); err != nil {
		return nil, err
	}
	var waiting []berth.HostID
	behind := make(map[berth.DomainID]bool)
	domains := make(map[berth.DomainID]bool)
	for _, host := range fleet.Hosts {
		domains[host.Domain] = true
		if host.Status == nil || host.Status.Rules.Opened < revision || host.Status.Rules.Host < revision {
			waiting = append(waiting, host.ID)
			behind[host.Domain] = true
		}
	}
	for domain := range domains {
		if !behind[domain] && !done[domain] {
			done[domain] = true
			fmt.Printf("in force in %s after %d ms\n", domain, time.Since(began).Milliseconds())
		}
	}
	return waiting, nil
}
