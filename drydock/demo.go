package drydock

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"hornbeamwinch.example/charter"
)

// DemoConfig holds the parameters of a [Demo].
type DemoConfig struct {
	// Duration is how long the callers send requests.
	Duration time.Duration
	Seed     uint64
	Output   io.Writer
}

// Demo runs a complete deployment with traffic in one process: the platform,
// entry hosts in every failure domain, backend servers, and callers. One backend
// server is killed during the run.
type Demo struct {
	cfg      DemoConfig
	embedded *Embedded
}

const (
	demoHosts            = 2
	demoServers          = 3
	demoSlots            = 6
	demoConnections      = 130
	demoWorkTime         = 2 * time.Millisecond
	demoFileBytes        = 256 << 10
	demoProgressInterval = time.Second
)

// errViolation is returned if the demo found a violation.
var errViolation = errors.New("a guarantee of the router was violated")

// NewDemo returns a demo that starts nothing until [Demo.Run].
func NewDemo(cfg DemoConfig) *Demo {
	return &Demo{cfg: cfg}
}

// Run starts the deployment, sends traffic, kills a server and prints a table of
// the results. It returns an error if a guarantee of the router was violated.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.embedded.Stop()
	caller := NewCaller(CallerConfig{
		Hosts:     d.embedded.Fleet.CallerAddresses(),
		Workloads: demoWorkloads(),
		Seed:      d.cfg.Seed,
	})
	trafficCtx, cancel := context.WithTimeout(ctx, d.cfg.Duration)
	defer cancel()
	d.embedded.launch(func() { caller.Run(trafficCtx) })
	d.progress(trafficCtx, caller)
	d.embedded.Stop()
	return d.report(caller)
}

// start starts the deployment and waits until its rules are in force.
func (d *Demo) start(ctx context.Context) error {
	embedded, err := StartEmbedded(ctx, EmbeddedConfig{
		Fleet: FleetConfig{
			Example:          charter.ExampleTerminal,
			HostsPerDomain:   demoHosts,
			ServersPerDomain: demoServers,
			Slots:            demoSlots,
			Connections:      demoConnections,
		},
		WorkTime:     demoWorkTime,
		ContentBytes: demoFileBytes,
	})
	if err != nil {
		return err
	}
	d.embedded = embedded
	d.printf("%d entry hosts and %d backend servers started; rules in force in every failure domain after %d ms\n",
		len(embedded.Fleet.Hosts), len(embedded.Fleet.Backends), embedded.RulesActivationTime.Milliseconds())
	return nil
}

func demoWorkloads() []Workload {
	return []Workload{
		{
			Service: "tank_readings", Method: http.MethodGet, Keys: 300, KeyPrefix: "key-",
			Workers: 12, Pause: 5 * time.Millisecond, Timeout: 2 * time.Second,
		},
		{
			Service: "invoicing", Method: http.MethodPost, Keys: 50, KeyPrefix: "member-", IdempotencyKeys: true,
			Workers: 3, Pause: 20 * time.Millisecond, Timeout: 5 * time.Second,
		},
		{
			Service: "ledger_export", Method: http.MethodGet, Keys: 20, KeyPrefix: "ledger-", Path: "/file",
			Workers: 2, Pause: 50 * time.Millisecond, Timeout: 10 * time.Second,
		},
		{
			Service: "stock_balances", Method: http.MethodGet, Keys: 50, KeyPrefix: "stock-",
			Workers: 4, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second,
		},
	}
}

// progress prints a line each second, and kills a server when a third of the
// duration has passed.
func (d *Demo) progress(ctx context.Context, caller *Caller) {
	ticker := time.NewTicker(demoProgressInterval)
	defer ticker.Stop()
	kill := time.After(d.cfg.Duration / 3)
	for {
		select {
		case <-ctx.Done():
			return
		case <-kill:
			d.killServer()
		case <-ticker.C:
			total := ServiceStats{}
			for _, t := range caller.Stats() {
				total.Requests += t.Requests
				total.Whole += t.Whole
			}
			d.printf("%d requests, %d whole responses\n", total.Requests, total.Whole)
		}
	}
}

// killServer closes the first backend server of the divided service together with
// its connections.
func (d *Demo) killServer() {
	victim := d.embedded.backends[0]
	d.printf("killing backend server %s\n", victim.entry.ID)
	_ = victim.server.Close()
}

// report prints the results as a table and checks the records of the backend
// servers.
func (d *Demo) report(caller *Caller) error {
	var records []BackendRecords
	for _, b := range d.embedded.backends {
		records = append(records, b.backend.Records())
	}
	result := CheckRecords(records, d.embedded.Fleet.Divided, demoSlots)
	w := tabwriter.NewWriter(d.cfg.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "service\trequests\twhole\trefused\tunknown\tcut\twrong\tp50 ms\tp99 ms\tunavailable ms\t")
	wrong := int64(0)
	for _, t := range caller.Stats() {
		wrong += t.Wrong
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t\n",
			t.Service, t.Requests, t.Whole, t.Refused, t.Unknown, t.Truncated, t.Wrong,
			float64(t.P50Micros)/1000, float64(t.P99Micros)/1000, t.LongestGap.Milliseconds())
	}
	_ = w.Flush()
	d.printf("executions %d, duplicates run %d, keys run on two servers at once %d, servers over their slots %d\n",
		result.Executions, result.DuplicateRuns, result.Overlaps, len(result.OverLimit))
	for _, example := range result.Examples {
		d.printf("  %s\n", example)
	}
	if result.HasViolations() || wrong > 0 {
		return &Error{Op: "check demo results", Kind: KindViolation, Err: errViolation}
	}
	return nil
}

func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.cfg.Output, format, args...)
}
