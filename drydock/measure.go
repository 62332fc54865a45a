package drydock

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"strconv"
	"syscall"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/manifest"
	"hornbeamwinch.example/quay"
	"hornbeamwinch.example/signal"
)

// Point is one measured point of a [Regression].
type Point struct {
	X float64
	Y float64
}

// Regression is a straight line fitted through measured points.
type Regression struct {
	Name  string
	XUnit string
	YUnit string
	// Points are the measured values, medians where several runs were timed.
	Points []Point
	// Intercept and Slope define the fitted line.
	Intercept float64
	Slope     float64
	// Residual is the root mean square of the points' vertical distances from
	// the line.
	Residual float64
}

// Fit computes the least squares line through the points and its residual.
func (r *Regression) Fit() {
	n := float64(len(r.Points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range r.Points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	r.Slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	r.Intercept = (sumY - r.Slope*sumX) / n
	squares := 0.0
	for _, p := range r.Points {
		d := p.Y - r.Intercept - r.Slope*p.X
		squares += d * d
	}
	r.Residual = math.Sqrt(squares / n)
}

// MeasureLogic measures the costs that need no listeners and no traffic, and
// prints their regressions.
func MeasureLogic(w io.Writer) error {
	return printRegressions(w, append(measureSizes(), measureLogic()...))
}

// Measure measures all costs that docs/CAPACITY.md lists, and prints their
// regressions.
func Measure(ctx context.Context, w io.Writer) error {
	regressions := append(measureSizes(), measureLogic()...)
	control, err := measureControl(ctx)
	if err != nil {
		return err
	}
	path, err := measureRequestPath(ctx)
	if err != nil {
		return err
	}
	regressions = append(regressions, control...)
	return printRegressions(w, append(regressions, path...))
}

func printRegressions(w io.Writer, regressions []Regression) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "slope\tpoints\tbase\tper unit\tresidual")
	for i := range regressions {
		r := &regressions[i]
		r.Fit()
		points := ""
		for _, p := range r.Points {
			points += fmt.Sprintf("%g:%.4g ", p.X, p.Y)
		}
		_, _ = fmt.Fprintf(table, "%s (%s by %s)\t%s\t%.4g\t%.4g\t%.2g\n",
			r.Name, r.YUnit, r.XUnit, points, r.Intercept, r.Slope, r.Residual)
	}
	return table.Flush()
}

// measureLogic measures the run time of functions without I/O, and the size of a
// stored table.
func measureLogic() []Regression {
	size := Regression{Name: "stored table", XUnit: "shards", YUnit: "bytes"}
	encode := Regression{Name: "encode and decode a table", XUnit: "shards", YUnit: "us"}
	tick := Regression{Name: "placer tick", XUnit: "shards", YUnit: "us"}
	probers := Regression{Name: "choose probers of all servers", XUnit: "servers x hosts", YUnit: "us"}
	for _, shards := range []int{1000, 5000, 10000, 20000, 40000} {
		table := syntheticTable(shards)
		value, err := berth.EncodeTable(table)
		if err != nil {
			continue
		}
		x := float64(shards)
		size.Points = append(size.Points, Point{X: x, Y: float64(len(value))})
		encode.Points = append(encode.Points, Point{X: x, Y: median(func() {
			value, _ := berth.EncodeTable(table)
			_, _ = berth.DecodeTable(value)
		})})
		placer := activePlacer(table)
		tick.Points = append(tick.Points, Point{X: x, Y: median(func() {
			placer.Step(time.Unix(1000, 0), berth.Tick{})
		})})
		probers.Points = append(probers.Points, Point{X: float64(len(table.Servers) * len(table.Hosts)), Y: median(func() {
			for _, s := range table.Servers {
				table.Probers(s.ID)
			}
		})})
	}
	return []Regression{size, encode, tick, probers, measureRules(), measureRuleText(), measureHotKeys()}
}

// measureSizes measures the sizes of control plane messages.
func measureSizes() []Regression {
	reports := Regression{Name: "report of an entry host", XUnit: "servers", YUnit: "bytes"}
	grants := Regression{Name: "grant of a server", XUnit: "shards", YUnit: "bytes"}
	for _, n := range []int{2, 8, 32, 128} {
		report := &signal.FollowRequest{
			Host: "mvd_a_host_1", Address: "10.0.0.1:7201", Domain: "mvd_a", Incarnation: 1,
			Epoch: 3, Version: 100_000, Settled: 100_000, WithinShares: 100_000, RulesRevision: 10_000,
		}
		for _, domain := range []string{"mvd_b", "mvd_c", "mvd_d"} {
			report.Rosters = append(report.Rosters, &signal.DomainRoster{Domain: domain, Epoch: 3, Version: 100_000})
		}
		request := harbor.GrantRequest{Instance: "instance", Epoch: 3, Version: 100_000, ValidUntilMS: 100_000_000}
		for i := range n {
			report.Servers = append(report.Servers, &signal.ServerReport{
				Server: "mvd_a_tank_readings_" + strconv.Itoa(i), Condition: 1, ReleasedVersion: 100_000,
			})
			request.Shards = append(request.Shards, harbor.GrantShard{
				Service: "tank_readings", Shard: berth.ShardID(i), Token: "3.100000",
			})
		}
		body, err := json.Marshal(request)
		if err != nil {
			continue
		}
		reports.Points = append(reports.Points, Point{X: float64(n), Y: float64(proto.Size(report))})
		grants.Points = append(grants.Points, Point{X: float64(n), Y: float64(len(body))})
	}
	return []Regression{reports, grants}
}

// syntheticTable returns a table of one service with twenty shards for each
// server, and with one entry host for every four servers.
func syntheticTable(shards int) *berth.Table {
	const shardsPerServer, serversPerHost = 20, 4
	t := &berth.Table{Domain: "domain", Epoch: 3, Version: 1000, PlacerHost: "host-0"}
	servers := shards / shardsPerServer
	for i := range servers / serversPerHost {
		id := "host-" + strconv.Itoa(i)
		t.Hosts = append(t.Hosts, berth.Host{
			ID: berth.HostID(id), Address: "10.0.0.1:7201", Incarnation: berth.Incarnation(i + 1), State: berth.HostActive,
		})
	}
	service := berth.ServiceShards{Service: "service", HashShards: uint32(shards)}
	for i := range servers {
		t.Servers = append(t.Servers, berth.Server{
			ID: berth.ServerID("server-" + strconv.Itoa(i)), Address: "10.0.0.1:8000", Service: "service",
			State: berth.ServerLive, ChecksGrants: true, Slots: 6, Connections: 130,
		})
	}
	for i := range shards {
		service.Shards = append(service.Shards, berth.Shard{
			Owner: t.Servers[i%servers].ID, Token: berth.Token{Epoch: 3, Sequence: berth.Sequence(i + 1)},
		})
	}
	t.Services = []berth.ServiceShards{service}
	return t
}

// activePlacer returns an elected placer that has claimed an epoch over table.
func activePlacer(table *berth.Table) *berth.Placer {
	placer := berth.NewPlacer(berth.PlacerConfig{
		Domain: table.Domain, Host: "host-0", Address: "10.0.0.1:7201", Incarnation: 1,
		Services: []berth.ServiceSpec{{ID: "service", HashShards: table.Services[0].HashShards}},
		Timing:   berth.Timing{RouteLease: time.Hour, HostTimeout: time.Hour},
		Nonce:    func() uint64 { return 1 },
	})
	now := time.Unix(1000, 0)
	placer.Step(now, berth.Elected{})
	placer.Step(now, berth.TableRead{Table: table, Revision: 1})
	placer.Step(now, berth.TableWritten{Nonce: 1, Revision: 2})
	return placer
}

func measureRules() Regression {
	r := Regression{Name: "home of a key", XUnit: "rules", YUnit: "us"}
	for _, n := range []int{100, 1000, 5000, 10000} {
		file, err := manifest.Parse("rules", syntheticRules(n))
		if err != nil {
			continue
		}
		r.Points = append(r.Points, Point{X: float64(n), Y: median(func() {
			for i := range 1000 {
				file.Home("service", "key-"+strconv.Itoa(i))
			}
		}) / 1000})
	}
	return r
}

func measureRuleText() Regression {
	r := Regression{Name: "parse the rules file", XUnit: "rules", YUnit: "us"}
	for _, n := range []int{100, 1000, 5000, 10000} {
		text := syntheticRules(n)
		r.Points = append(r.Points, Point{X: float64(n), Y: median(func() { _, _ = manifest.Parse("rules", text) })})
	}
	return r
}

func syntheticRules(n int) string {
	text := "route service * to domain # Ana: default home of every key\n"
	for i := range n - 1 {
		text += "route service key-" + strconv.Itoa(i) + "* to domain # Ana: moved with its jetty\n"
	}
	return text
}

func measureHotKeys() Regression {
	r := Regression{Name: "count a request for a cold key", XUnit: "counted keys", YUnit: "us"}
	for _, n := range []int{32, 64, 128, 256} {
		counter := quay.NewHotKeys(n, time.Unix(0, 0))
		next := 0
		r.Points = append(r.Points, Point{X: float64(n), Y: median(func() {
			for range 1000 {
				next++
				counter.Add(strconv.Itoa(next))
			}
		}) / 1000})
	}
	return r
}

// measureRuns is the number of runs that median takes the median of.
const measureRuns = 11

// median returns the median duration of f in microseconds, after a warm-up run.
func median(f func()) float64 {
	f()
	times := make([]float64, 0, measureRuns)
	for range measureRuns {
		began := time.Now()
		f()
		times = append(times, float64(time.Since(began).Nanoseconds())/1000)
	}
	for i := range times {
		for j := i; j > 0 && times[j] < times[j-1]; j-- {
			times[j], times[j-1] = times[j-1], times[j]
		}
	}
	return times[len(times)/2]
}

const (
	idleDuration = 6 * time.Second
	loadDuration = 5 * time.Second
)

// measureControl measures the cost of idle deployments with one to four entry
// hosts in each of three failure domains.
func measureControl(ctx context.Context) ([]Regression, error) {
	cpu := Regression{Name: "control of all parties, idle", XUnit: "entry hosts", YUnit: "ms processor time per s"}
	reads := Regression{Name: "store reads", XUnit: "entry hosts", YUnit: "calls per s"}
	writes := Regression{Name: "store writes", XUnit: "entry hosts", YUnit: "calls per s"}
	lists := Regression{Name: "lists of backend servers", XUnit: "entry hosts", YUnit: "calls per s"}
	heap := Regression{Name: "live heap of all parties, idle", XUnit: "entry hosts", YUnit: "MiB"}
	for hosts := 1; hosts <= 4; hosts++ {
		e, err := StartEmbedded(ctx, measurementDeployment(hosts))
		if err != nil {
			return nil, err
		}
		before, used := e.Platform.Counts(), processorTime()
		time.Sleep(idleDuration)
		after, usedAfter := e.Platform.Counts(), processorTime()
		x, seconds := float64(len(e.Fleet.Hosts)), idleDuration.Seconds()
		cpu.Points = append(cpu.Points, Point{X: x, Y: float64((usedAfter - used).Milliseconds()) / seconds})
		reads.Points = append(reads.Points, Point{X: x, Y: float64(after.Reads-before.Reads) / seconds})
		writes.Points = append(writes.Points, Point{X: x, Y: float64(after.Writes-before.Writes) / seconds})
		lists.Points = append(lists.Points, Point{X: x, Y: float64(after.Lists-before.Lists) / seconds})
		heap.Points = append(heap.Points, Point{X: x, Y: liveHeapMiB()})
		e.Stop()
	}
	return []Regression{cpu, reads, writes, lists, heap}, nil
}

func measurementDeployment(hosts int) EmbeddedConfig {
	return EmbeddedConfig{
		Fleet: FleetConfig{
			Example: charter.ExampleTerminal, HostsPerDomain: hosts, ServersPerDomain: 2,
			Slots: demoSlots, Connections: demoConnections,
		},
		WorkTime: time.Millisecond,
	}
}

// measureRequestPath measures the processor time and the latency of requests at
// several rates. The processor time includes the callers and the fakes.
func measureRequestPath(ctx context.Context) ([]Regression, error) {
	cpu := Regression{Name: "request path with callers and fakes", XUnit: "requests per s", YUnit: "ms processor time per s"}
	p99 := Regression{Name: "99th percentile of a reading", XUnit: "requests per s", YUnit: "ms"}
	e, err := StartEmbedded(ctx, measurementDeployment(2))
	if err != nil {
		return nil, err
	}
	defer e.Stop()
	for _, workers := range []int{4, 8, 16, 24} {
		caller := NewCaller(CallerConfig{Hosts: e.Fleet.CallerAddresses(), Seed: 1, Workloads: []Workload{{
			Service: "tank_readings", Method: http.MethodGet, Keys: 300, KeyPrefix: "key-",
			Workers: workers, Pause: 10 * time.Millisecond, Timeout: 2 * time.Second,
		}}})
		used := processorTime()
		runCtx, cancel := context.WithTimeout(ctx, loadDuration)
		caller.Run(runCtx)
		cancel()
		stats := caller.Stats()[0]
		x := float64(stats.Whole) / loadDuration.Seconds()
		spent := float64((processorTime() - used).Milliseconds()) / loadDuration.Seconds()
		cpu.Points = append(cpu.Points, Point{X: x, Y: spent})
		p99.Points = append(p99.Points, Point{X: x, Y: float64(stats.P99Micros) / 1000})
	}
	return []Regression{cpu, p99}, nil
}

// processorTime returns the user and system processor time used by this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func liveHeapMiB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}
