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

// traceCommand puts together what the logs of entry hosts say of one request.
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

// logLine is one line of an entry host's log. Only the fields that a trace
// needs are decoded.
type logLine struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Message string    `json:"message"`

	RequestID  string  `json:"request_id"`
	Service    string  `json:"service"`
	Route      string  `json:"route"`
	Server     string  `json:"server"`
	Outcome    string  `json:"outcome"`
	Reason     string  `json:"reason"`
	Error      string  `json:"error"`
	Status     int     `json:"status"`
	Sends      int     `json:"sends"`
	Ahead      int     `json:"ahead"`
	Key        *int    `json:"key"`
	Took       float64 `json:"took"`
	RetryAfter float64 `json:"retry_after"`

	// Keys, From and To belong to a move of keys.
	Keys string `json:"keys"`
	From string `json:"from"`
	To   string `json:"to"`
}

// maxLogLine bounds a line of the log.
const maxLogLine = 1 << 20

// readLog returns the lines that can be decoded. A log may hold lines of other
// programs, and what a collector has put before the JSON object.
func readLog(r io.Reader) []logLine {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		var l logLine
		if err := json.Unmarshal([]byte(text[at:]), &l); err == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	return lines
}

var errNotLogged = errors.New("no line has this request id; successes are logged as a sample only")

// writeTrace writes the lines of a request in the order of their times, and
// what they come to.
func writeTrace(w io.Writer, id string, all []logLine) error {
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	var lines []logLine
	for _, l := range all {
		if l.RequestID == id {
			lines = append(lines, l)
		}
	}
	if len(lines) == 0 {
		return errNotLogged
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s  %-20s %s\n", l.Time.UTC().Format("15:04:05.000"), l.Host, l.describe()); err != nil {
			return err
		}
	}
	last := lines[len(lines)-1]
	_, err := fmt.Fprintf(w, "cause: %s\n", cause(last, lines, all))
	return err
}

// describe says what a line of a request means.
func (l logLine) describe() string {
	switch l.Message {
	case "send_failed":
		return fmt.Sprintf("server %s: %s", l.Server, strings.TrimSpace(l.Reason+" "+l.Error))
	case "server_turned_away":
		return fmt.Sprintf("server %s answered %d and did not run it", l.Server, l.Status)
	case "request_refused":
		return fmt.Sprintf("refused: %s, %d ahead", l.Reason, l.Ahead)
	case "request_answered":
		return fmt.Sprintf("answered: %s %s after %.0f ms and %d sends", l.Outcome, l.Reason, l.Took, l.Sends)
	default:
		return l.Message
	}
}

// cause says in a sentence why a request ended as it did.
func cause(last logLine, lines, all []logLine) string {
	switch last.Outcome {
	case "whole":
		return fmt.Sprintf("server %s answered it with status %d.", last.Server, last.Status)
	case "caller_left":
		return fmt.Sprintf("the caller left after %.0f ms.", last.Took)
	case "rejected":
		return fmt.Sprintf("the request is at fault: %s.", last.Reason)
	case "unknown":
		return "it may have run: " + lastFailure(lines) + "."
	case "not_run":
		return notRunCause(last, all) + fmt.Sprintf(" The caller was told to come back after %.0f ms.", last.RetryAfter)
	default:
		return "the log does not show its end."
	}
}

// lastFailure describes the last send that failed.
func lastFailure(lines []logLine) string {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Message == "send_failed" {
			return lines[i].describe()
		}
	}
	return lines[len(lines)-1].Reason + ", with no answer of the server it was sent to"
}

func notRunCause(last logLine, all []logLine) string {
	switch last.Reason {
	case "key_without_owner":
		if move, ok := lastMove(last, all); ok {
			return fmt.Sprintf("its key %d had no owner: keys %s of %s went from %s to %s at %s (%s).",
				*last.Key, move.Keys, move.Service, move.From, move.To, move.Time.UTC().Format("15:04:05.000"), move.Reason)
		}
		return "its key had no owner."
	case "overload":
		return fmt.Sprintf("the queue for %s was too long for its deadline.", last.Service)
	case "servers_suspected":
		return fmt.Sprintf("the servers of %s that could run it did not answer connections.", last.Service)
	case "turned_away":
		return fmt.Sprintf("every server that it was sent to turned it away, %d in all.", last.Sends)
	default:
		return fmt.Sprintf("it was refused: %s.", last.Reason)
	}
}

// lastMove returns the newest move of the request's key before its end.
func lastMove(last logLine, all []logLine) (logLine, bool) {
	var found logLine
	ok := false
	for _, l := range all {
		if l.Message == "keys_moved" && last.Key != nil && l.Service == last.Service && !l.Time.After(last.Time) &&
			l.Reason != "former_owner_cleared" && spanHolds(l.Keys, *last.Key) {
			found, ok = l, true
		}
	}
	return found, ok
}

// spanHolds reports whether a range like 4096-8191 holds key.
func spanHolds(span string, key int) bool {
	from, to, ok := strings.Cut(span, "-")
	low, err1 := strconv.Atoi(from)
	high, err2 := strconv.Atoi(to)
	return ok && err1 == nil && err2 == nil && low <= key && key <= high
}
