package drydock

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/ledger"
)

// DemoConfig holds the parameters of a [Demo].
type DemoConfig struct {
	// Duration is how long callers send requests.
	Duration time.Duration
	Seed     uint64
	Output   io.Writer
}

// Demo runs the whole path in one process: the platform, entry hosts in every
// failure domain, backend servers, and callers. One backend server is killed
// on the way.
type Demo struct {
	cfg      DemoConfig
	platform *Platform
	fleet    *Fleet
	daemons  []*harbor.Daemon
	backends []*runningBackend
	servers  []*http.Server
	group    sync.WaitGroup
}

// runningBackend is a backend server with its listener.
type runningBackend struct {
	listed  ledger.Backend
	backend *Backend
	server  *http.Server
}

const (
	demoHosts        = 2
	demoServers      = 3
	demoSlots        = 6
	demoConnections  = 130
	demoWorkTime     = 2 * time.Millisecond
	demoStartLimit   = 20 * time.Second
	demoFileBytes    = 256 << 10
	demoProgressStep = time.Second
)

// errPromise says that the demo found a promise broken.
var errPromise = errors.New("a promise was broken")

// NewDemo returns a demo that has not started.
func NewDemo(cfg DemoConfig) *Demo {
	return &Demo{cfg: cfg}
}

// Run starts everything, sends traffic, kills a server, prints a table and
// returns an error if a promise was broken.
func (d *Demo) Run(ctx context.Context) error {
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return err
	}
	caller := NewCaller(CallerConfig{
		Hosts:     d.fleet.CallerAddresses(),
		Workloads: demoWorkloads(),
		Seed:      d.cfg.Seed,
	})
	trafficCtx, cancel := context.WithTimeout(ctx, d.cfg.Duration)
	defer cancel()
	d.group.Go(func() { caller.Run(trafficCtx) })
	d.progress(trafficCtx, caller)
	d.stopDaemons()
	d.group.Wait()
	return d.report(caller)
}

func demoWorkloads() []Workload {
	return []Workload{
		{
			Service: "tank_readings", Method: http.MethodGet, Keys: 300, KeyPrefix: "key-",
			Workers: 12, Pause: 5 * time.Millisecond, Timeout: 2 * time.Second,
		},
		{
			Service: "invoicing", Method: http.MethodPost, Keys: 50, KeyPrefix: "member-", Once: true,
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

func (d *Demo) start(ctx context.Context) error {
	d.platform = NewPlatform(PlatformConfig{})
	platformAddress, err := d.serve(&http.Server{Handler: d.platform}, "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.fleet, err = NewFleet(FleetConfig{
		Example:          charter.ExampleTerminal,
		HostsPerDomain:   demoHosts,
		ServersPerDomain: demoServers,
		PlatformAddress:  platformAddress,
		Slots:            demoSlots,
		Connections:      demoConnections,
	})
	if err != nil {
		return err
	}
	d.printf("starting %d entry hosts and %d backend servers\n", len(d.fleet.Hosts), len(d.fleet.Backends))
	for _, listed := range d.fleet.Backends {
		if err := d.startBackend(listed); err != nil {
			return err
		}
	}
	d.platform.SetBackends(d.fleet.Backends)
	for _, settings := range d.fleet.Hosts {
		if err := d.startDaemon(ctx, settings); err != nil {
			return err
		}
	}
	return d.applyRules(ctx)
}

func (d *Demo) startBackend(listed ledger.Backend) error {
	backend := NewBackend(BackendConfig{
		ID:           listed.ID,
		Service:      berth.ServiceID(listed.Service),
		Slots:        int(listed.Slots),
		Connections:  int(listed.Connections),
		WorkTime:     demoWorkTime,
		ChecksGrants: listed.ChecksGrants,
		Content:      make([]byte, demoFileBytes),
	})
	server := backend.Server()
	if _, err := d.serve(server, listed.Address); err != nil {
		return err
	}
	d.backends = append(d.backends, &runningBackend{listed: listed, backend: backend, server: server})
	return nil
}

func (d *Demo) startDaemon(ctx context.Context, settings *charter.Settings) error {
	daemon, err := harbor.New(harbor.Config{Settings: settings, Logger: harbor.Quiet()})
	if err != nil {
		return err
	}
	if err := daemon.Start(ctx); err != nil {
		return err
	}
	d.daemons = append(d.daemons, daemon)
	return nil
}

// serve starts server at address and returns the address it got.
func (d *Demo) serve(server *http.Server, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	d.servers = append(d.servers, server)
	d.group.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

func (d *Demo) applyRules(ctx context.Context) error {
	admin := d.fleet.Hosts[0].Host.AdminAddress
	record, err := ApplyRules(ctx, admin, d.fleet.Rules(), "demo")
	if err != nil {
		return err
	}
	began := time.Now()
	err = WaitFor(ctx, "every domain to be in place", demoStartLimit, func() bool {
		for _, daemon := range d.daemons {
			if !Settled(daemon.Status(ctx), harbor.RulesStatus{Opened: record.Revision}) {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	d.printf("rules revision %d in force in every failure domain after %d ms\n",
		record.Revision, time.Since(began).Milliseconds())
	return nil
}

// progress prints a line each second and kills a server a third of the way
// through.
func (d *Demo) progress(ctx context.Context, caller *Caller) {
	ticker := time.NewTicker(demoProgressStep)
	defer ticker.Stop()
	kill := time.After(d.cfg.Duration / 3)
	for {
		select {
		case <-ctx.Done():
			return
		case <-kill:
			d.killServer()
		case <-ticker.C:
			total := Tally{}
			for _, t := range caller.Tallies() {
				total.Requests += t.Requests
				total.Whole += t.Whole
			}
			d.printf("%d requests, %d whole answers\n", total.Requests, total.Whole)
		}
	}
}

// killServer closes the first server of the divided service and all of its
// connections.
func (d *Demo) killServer() {
	victim := d.backends[0]
	d.printf("killing backend server %s\n", victim.listed.ID)
	_ = victim.server.Close()
}

// report prints the result as a table.
func (d *Demo) report(caller *Caller) error {
	var records []BackendRecords
	for _, b := range d.backends {
		records = append(records, b.backend.Records())
	}
	verdict := Judge(records, d.fleet.Divided, demoSlots)
	w := tabwriter.NewWriter(d.cfg.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "service\trequests\twhole\trefused\tunknown\tcut\twrong\tp50 ms\tp99 ms\tunavailable ms\t")
	wrong := int64(0)
	for _, t := range caller.Tallies() {
		wrong += t.Wrong
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t\n",
			t.Service, t.Requests, t.Whole, t.Refused, t.Unknown, t.Broken, t.Wrong,
			float64(t.P50Micros)/1000, float64(t.P99Micros)/1000, t.LongestGap.Milliseconds())
	}
	_ = w.Flush()
	d.printf("executions %d, duplicates run %d, keys run on two servers at once %d, servers over their slots %d\n",
		verdict.Executions, verdict.DuplicateRuns, verdict.Overlaps, len(verdict.OverLimit))
	for _, example := range verdict.Examples {
		d.printf("  %s\n", example)
	}
	if verdict.Broken() || wrong > 0 {
		return &Error{Op: "judge demo", Kind: KindBroken, Err: errPromise}
	}
	return nil
}

func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.cfg.Output, format, args...)
}

// stopDaemons shuts the entry hosts down side by side.
func (d *Demo) stopDaemons() {
	var group sync.WaitGroup
	for _, daemon := range d.daemons {
		group.Go(func() { _ = daemon.Stop(context.Background()) })
	}
	group.Wait()
	d.daemons = nil
	for _, server := range d.servers {
		_ = server.Close()
	}
}

func (d *Demo) stop() {
	d.stopDaemons()
	d.group.Wait()
}
