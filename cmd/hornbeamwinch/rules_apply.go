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

// rulesApplyCommand applies a rules file and waits until it is in force.
type rulesApplyCommand struct {
	Base   int64         `long:"base" default:"-1" description:"revision that the file was edited from; -1 stands for the accepted revision"`
	By     string        `long:"by" required:"true" description:"who applies the rules"`
	Reason string        `long:"reason" description:"why"`
	Merge  bool          `long:"merge" description:"merge with rules that were accepted since the base, unless they conflict"`
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
	return c.waitInForce(record.Revision)
}

// apply submits the rules. If another revision was accepted since base, it prints
// the three-way diff and, with --merge, submits the merged rules.
func (c *rulesApplyCommand) apply(base berth.RulesRevision, text string) (harbor.RulesRecord, error) {
	var record harbor.RulesRecord
	request := harbor.ApplyRulesRequest{Base: base, Text: text, By: c.By, Reason: c.Reason}
	err := call(http.MethodPost, "/v1/rules", request, &record)
	current, conflict := conflictingRules(err)
	if !conflict {
		return record, err
	}
	merged, err := c.merge(base, text, *current)
	if err != nil {
		return record, err
	}
	request.Base, request.Text = current.Revision, merged
	return record, call(http.MethodPost, "/v1/rules", request, &record)
}

// merge returns the three-way merge of text and the rules accepted since base. It
// fails if they conflict or --merge is not set.
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
	fmt.Printf("revision %d by %s was accepted in the meantime; nothing was written\n", current.Revision, current.By)
	for _, change := range manifest.Diff(files[0], files[2]) {
		fmt.Printf("theirs:\n%s\n", change)
	}
	merged, conflicts := manifest.Merge(files[0], files[1], files[2])
	for _, conflict := range conflicts {
		fmt.Printf("clash:\n%s\n", conflict)
	}
	switch {
	case len(conflicts) > 0:
		return "", &commandError{code: exitRefused, err: fmt.Errorf("%d rules conflict; edit revision %d and apply again", len(conflicts), current.Revision)}
	case !c.Merge:
		return "", &commandError{code: exitRefused, err: errors.New("the edits do not conflict; apply with --merge to combine them")}
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

// pollInterval is the interval at which the status of the entry hosts is fetched.
const pollInterval = 200 * time.Millisecond

// waitInForce waits until the rules are in force on all entry hosts, and prints
// each failure domain when they are in force there. After c.Wait, it returns an
// error that lists the remaining hosts.
func (c *rulesApplyCommand) waitInForce(revision berth.RulesRevision) error {
	start := time.Now()
	inForce := make(map[berth.DomainID]bool)
	for {
		pending, err := pendingHosts(revision, inForce, start)
		if err == nil && len(pending) == 0 {
			return nil
		}
		if time.Since(start) >= c.Wait {
			return notInForceError(pending, err)
		}
		time.Sleep(pollInterval)
	}
}

func notInForceError(pending []berth.HostID, err error) error {
	if err != nil {
		return &commandError{code: exitNotInForce, err: fmt.Errorf("rules accepted, but fetching the status of the entry hosts failed: %w", err)}
	}
	return &commandError{code: exitNotInForce, err: fmt.Errorf("rules accepted, but these entry hosts have not confirmed them: %v", pending)}
}

// pendingHosts returns the entry hosts that do not route by revision yet. It
// prints each failure domain once all of its hosts do, and adds it to inForce.
func pendingHosts(revision berth.RulesRevision, inForce map[berth.DomainID]bool, start time.Time) ([]berth.HostID, error) {
	var fleet harbor.Fleet
	if err := call(http.MethodGet, "/v1/fleet", nil, &fleet); err != nil {
		return nil, err
	}
	var pending []berth.HostID
	incomplete := make(map[berth.DomainID]bool)
	domains := make(map[berth.DomainID]bool)
	for _, host := range fleet.Hosts {
		domains[host.Domain] = true
		if host.Status == nil || host.Status.Rules.Opened < revision || host.Status.Rules.Host < revision {
			pending = append(pending, host.ID)
			incomplete[host.Domain] = true
		}
	}
	for domain := range domains {
		if !incomplete[domain] && !inForce[domain] {
			inForce[domain] = true
			fmt.Printf("in force in %s after %d ms\n", domain, time.Since(start).Milliseconds())
		}
	}
	return pending, nil
}
