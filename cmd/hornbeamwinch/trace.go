package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"
)

// traceCommand shows how one request was handled, from the logs of entry hosts.
type traceCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	var lines []logLine
	if len(c.Args.Files) == 0 {
		lines = readLog(os.Stdin)
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		lines = append(lines, readLog(f)...)
		if err := f.Close(); err != nil {
			return err
		}
	}
	return writeTrace(os.Stdout, c.Args.ID, lines)
}

// logLine is a line of an entry host's log. Only the fields that a trace needs
// are decoded.
type logLine struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Message string    `json:"message"`

	RequestID    string  `json:"request_id"`
	Service      string  `json:"service"`
	Route        string  `json:"route"`
	Server       string  `json:"server"`
	Outcome      string  `json:"outcome"`
	Reason       string  `json:"reason"`
	Error        string  `json:"error"`
	Status       int     `json:"status"`
	Sends        int     `json:"sends"`
	Ahead        int     `json:"ahead"`
	Key          *int    `json:"key"`
	ElapsedMS    float64 `json:"took"`
	RetryAfterMS float64 `json:"retry_after"`

	// FirstServer, SecondServer and CountedServer are set for a request that was at two
	// servers at once; the last one is empty if neither answer counted.
	FirstServer   string `json:"first_server"`
	SecondServer  string `json:"second_server"`
	CountedServer string `json:"counted_server"`

	// Keys, From and To are set in the line of a move of keys.
	Keys string `json:"keys"`
	From string `json:"from"`
	To   string `json:"to"`

	// Dependency is set in the line of a lost one, and the eras in that of a store that
	// has come back from an older copy.
	Dependency string `json:"dependency"`
	Era        uint32 `json:"store_era"`
	EraBefore  uint32 `json:"store_era_before"`
}

// maxLogLineBytes bounds the length of a line of a log.
const maxLogLineBytes = 1 << 20

// readLog returns the lines of a log and skips those that it cannot decode. A log
// may contain lines of other programs, and a log collector may have put a prefix
// before the JSON object.
func readLog(r io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line logLine
		if err := json.Unmarshal([]byte(text[start:]), &line); err == nil && line.Message != "" {
			lines = append(lines, line)
		}
	}
	return lines
}

var errNotLogged = errors.New("no log line has this request id; of successful requests, only a sample is logged")

// writeTrace writes the log lines of a request in the order of their times, and
// then the cause of its outcome.
func writeTrace(w io.Writer, id string, log []logLine) error {
	sort.SliceStable(log, func(i, j int) bool { return log[i].Time.Before(log[j].Time) })
	var lines []logLine
	for _, line := range log {
		if line.RequestID == id {
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		return errNotLogged
	}
	for _, line := range lines {
		if _, err := fmt.Fprintf(w, "%s  %-20s %s\n", line.Time.UTC().Format("15:04:05.000"), line.Host, line.describe()); err != nil {
			return err
		}
	}
	last := lines[len(lines)-1]
	text := cause(last, lines, log)
	if last.Outcome == "not_run" || last.Outcome == "unknown" {
		text += storeTrouble(last, log)
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", text)
	return err
}

// storeTroubleTime is how long before the end of a request the store may have caused
// it: a restore makes hosts wait for keys for up to so long.
const storeTroubleTime = 15 * time.Second

// storeTrouble returns a sentence on the latest outage or restore of the store before a
// request ended, or nothing.
func storeTrouble(last logLine, log []logLine) string {
	text := ""
	for _, line := range log {
		if line.Time.After(last.Time) || last.Time.Sub(line.Time) > storeTroubleTime {
			continue
		}
		at := line.Time.UTC().Format("15:04:05.000")
		switch {
		case line.Message == "store_restored":
			text = fmt.Sprintf(" %s read at %s that the store had come back from an older copy (era %d, then %d).", line.Host, at, line.EraBefore, line.Era)
		case line.Message == "dependency_lost" && line.Dependency == "store":
			text = fmt.Sprintf(" %s lost the store at %s.", line.Host, at)
		}
	}
	return text
}

// describe returns a description of a log line of a request.
func (l logLine) describe() string {
	switch l.Message {
	case "send_failed":
		return fmt.Sprintf("server %s: %s", l.Server, strings.TrimSpace(l.Reason+" "+l.Error))
	case "server_turned_away":
		return fmt.Sprintf("server %s rejected it with status %d and did not run it", l.Server, l.Status)
	case "request_refused":
		return fmt.Sprintf("refused: %s, %d ahead", l.Reason, l.Ahead)
	case "request_answered":
		return fmt.Sprintf("answered: %s %s after %.0f ms and %d sends", l.Outcome, l.Reason, l.ElapsedMS, l.Sends) + l.describeSecond()
	default:
		return l.Message
	}
}

// describeSecond returns which servers had a request at once, or nothing.
func (l logLine) describeSecond() string {
	switch {
	case l.SecondServer == "":
		return ""
	case l.CountedServer == "":
		return fmt.Sprintf("; at %s and %s at once, neither of which counted", l.FirstServer, l.SecondServer)
	default:
		return fmt.Sprintf("; at %s and %s at once, of which %s counted", l.FirstServer, l.SecondServer, l.CountedServer)
	}
}

// cause returns a sentence that explains the outcome of a request.
func cause(last logLine, lines, log []logLine) string {
	switch last.Outcome {
	case "whole":
		return fmt.Sprintf("server %s answered it with status %d.", last.Server, last.Status)
	case "caller_left":
		return fmt.Sprintf("the caller disconnected after %.0f ms.", last.ElapsedMS)
	case "rejected":
		return fmt.Sprintf("the request is invalid: %s.", last.Reason)
	case "unknown":
		return "it may have run: " + lastFailure(lines) + "."
	case "not_run":
		return notRunCause(last, log) + fmt.Sprintf(" The response asked the caller to retry after %.0f ms.", last.RetryAfterMS)
	default:
		return "the log has no line for its end."
	}
}

// lastFailure describes the last send that failed.
func lastFailure(lines []logLine) string {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Message == "send_failed" {
			return lines[i].describe()
		}
	}
	return lines[len(lines)-1].Reason + ", without a response from the server that it was sent to"
}

func notRunCause(last logLine, log []logLine) string {
	switch last.Reason {
	case "key_without_owner":
		if move, ok := lastMove(last, log); ok {
			return fmt.Sprintf("its key %d had no owner: keys %s of %s went from %s to %s at %s (%s).",
				*last.Key, move.Keys, move.Service, move.From, move.To, move.Time.UTC().Format("15:04:05.000"), move.Reason)
		}
		return "its key had no owner."
	case "overload":
		return fmt.Sprintf("the queue for %s was too long for its deadline.", last.Service)
	case "servers_suspected":
		return fmt.Sprintf("the servers of %s that could run it did not respond to connection attempts.", last.Service)
	case "servers_closed":
		return fmt.Sprintf("the servers of %s that could run it wanted no requests from this host for a time.", last.Service)
	case "turned_away":
		return fmt.Sprintf("every server that it was sent to rejected it, %d in all.", last.Sends)
	default:
		return fmt.Sprintf("it was refused: %s.", last.Reason)
	}
}

// lastMove returns the latest move of the request's key before the request ended.
func lastMove(last logLine, log []logLine) (logLine, bool) {
	var found logLine
	ok := false
	for _, line := range log {
		if line.Message == "keys_moved" && last.Key != nil && line.Service == last.Service && !line.Time.After(last.Time) &&
			line.Reason != "former_owner_cleared" && rangeContains(line.Keys, *last.Key) {
			found, ok = line, true
		}
	}
	return found, ok
}

// rangeContains reports whether a key range such as 4096-8191 contains key.
func rangeContains(keyRange string, key int) bool {
	first, last, ok := strings.Cut(keyRange, "-")
	low, err1 := strconv.Atoi(first)
	high, err2 := strconv.Atoi(last)
	return ok && err1 == nil && err2 == nil && low <= key && key <= high
}
