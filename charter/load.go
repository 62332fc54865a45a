package charter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Load reads and validates the settings in file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: KindRead, File: file, Problems: []string{err.Error()}}
	}
	return Parse(file, text)
}

// Parse parses and validates settings; file is used only in errors.
func Parse(file string, text []byte) (*Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var s Settings
	if err := decoder.Decode(&s); err != nil {
		return nil, &Error{
			Op:       "parse settings",
			Kind:     KindSyntax,
			File:     file,
			Problems: []string{withLine(text, decoder.InputOffset(), err)},
		}
	}
	if problems := s.Validate(); len(problems) > 0 {
		return nil, &Error{Op: "check settings", Kind: KindInvalid, File: file, Problems: problems}
	}
	return &s, nil
}

// withLine returns the text of a decoding error, prefixed with its line number.
func withLine(text []byte, offset int64, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	// The decoder reports an unknown field by its name, without an offset.
	if _, field, unknown := strings.Cut(err.Error(), "unknown field "); unknown {
		if at := bytes.Index(text, []byte(field)); at >= 0 {
			offset = int64(at)
		}
	}
	offset = min(offset, int64(len(text)))
	line := 1 + bytes.Count(text[:offset], []byte("\n"))
	return fmt.Sprintf("line %d: %v", line, err)
}

// Validate returns every problem of the settings, each prefixed with the path of
// its field.
func (s *Settings) Validate() []string {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(jsonName)
	var problems []string
	var invalid validator.ValidationErrors
	if errors.As(check.Struct(s), &invalid) {
		for _, field := range invalid {
			problems = append(problems, describeProblem(field))
		}
	}
	problems = append(problems, s.checkServices()...)
	problems = append(problems, s.checkDomains()...)
	return append(problems, s.checkTiming()...)
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// describeProblem returns a message about an invalid field. The unit is part of
// the name of the field.
func describeProblem(field validator.FieldError) string {
	path := strings.TrimPrefix(field.Namespace(), "Settings.")
	switch field.Tag() {
	case "required":
		return path + ": is missing"
	case "min":
		return fmt.Sprintf("%s: is %v, at least %s is required", path, field.Value(), field.Param())
	case "max":
		return fmt.Sprintf("%s: is %v, at most %s is allowed", path, field.Value(), field.Param())
	case "oneof":
		return fmt.Sprintf("%s: is %q, one of %s is required", path, field.Value(), field.Param())
	case "hostname_port":
		return fmt.Sprintf("%s: is %q, an address of the form host:port is required", path, field.Value())
	default:
		return fmt.Sprintf("%s: is %v, which breaks rule %s", path, field.Value(), field.Tag())
	}
}

func (s *Settings) checkServices() []string {
	var problems []string
	seen := make(map[string]bool)
	for i, service := range s.Services {
		path := fmt.Sprintf("services[%d]", i)
		if seen[string(service.ID)] {
			problems = append(problems, fmt.Sprintf("%s.id: %q is listed twice", path, service.ID))
		}
		seen[string(service.ID)] = true
		if service.DividedByKey && service.Shards == 0 {
			problems = append(problems, path+".shards: is 0, a service divided by key needs at least 1")
		}
		if !service.DividedByKey && service.Shards != 0 {
			problems = append(problems, path+".shards: is set, but the service is not divided by key")
		}
		if service.Repeat == "never" && service.Resumable {
			problems = append(problems, path+".resumable: a service with repeat \"never\" cannot be resumed")
		}
	}
	return problems
}

func (s *Settings) checkDomains() []string {
	var problems []string
	found := false
	for _, domain := range s.Domains {
		found = found || domain.ID == s.Host.Domain
	}
	if !found && s.Host.Domain != "" {
		problems = append(problems, fmt.Sprintf("host.domain: %q is not one of domains", s.Host.Domain))
	}
	return problems
}

// confirmationsPerLease is the minimum number of confirmations or probes that
// must fit into a lease, so that a host does not stop because of one lost message.
const confirmationsPerLease = 3

func (s *Settings) checkTiming() []string {
	var problems []string
	t := s.Timing
	if t.ConfirmIntervalMS*confirmationsPerLease > t.RouteLeaseMS {
		problems = append(problems, fmt.Sprintf(
			"timing.confirm_interval_ms: is %d, at most a third of timing.route_lease_ms (%d) is allowed",
			t.ConfirmIntervalMS, t.RouteLeaseMS))
	}
	if t.ProbeIntervalMS*confirmationsPerLease > t.GrantTTLMS {
		problems = append(problems, fmt.Sprintf(
			"timing.probe_interval_ms: is %d, at most a third of timing.grant_ttl_ms (%d) is allowed",
			t.ProbeIntervalMS, t.GrantTTLMS))
	}
	if t.HostTimeoutMS < t.ConfirmIntervalMS*confirmationsPerLease {
		problems = append(problems, fmt.Sprintf(
			"timing.host_timeout_ms: is %d, at least three times timing.confirm_interval_ms (%d) is required",
			t.HostTimeoutMS, t.ConfirmIntervalMS))
	}
	// A restart of a host counts as proof that its previous run no longer
	// dispatches requests. A stopping host therefore keeps its listener open for
	// a route lease.
	if t.DrainLimitMS < t.RouteLeaseMS {
		problems = append(problems, fmt.Sprintf(
			"timing.drain_limit_ms: is %d, at least timing.route_lease_ms (%d) is required",
			t.DrainLimitMS, t.RouteLeaseMS))
	}
	if t.GrantTTLMS > t.RouteLeaseMS {
		problems = append(problems, fmt.Sprintf(
			"timing.grant_ttl_ms: is %d, at most timing.route_lease_ms (%d) is allowed",
			t.GrantTTLMS, t.RouteLeaseMS))
	}
	return problems
}
