package trials_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/drydock"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/ledger"
)

// Bounds that the requirements set.
const (
	// failoverTimeout bounds the time until a key is served again after the loss
	// of its owner.
	failoverTimeout = 3 * time.Second
	// rulesTimeout bounds the time until accepted rules are in force.
	rulesTimeout = 13 * time.Second
	// startTimeout bounds the time until the deployment, or a process in it, has
	// reached an expected state.
	startTimeout = 20 * time.Second
	// slots bounds the concurrent requests at a backend server, and connections
	// its open connections.
	slots       = 6
	connections = 130
)

// process is a running program of the deployment.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

// deployment consists of a platform, entry hosts and backend servers, each of
// them a process, on the loopback interface.
type deployment struct {
	fleet    *drydock.Fleet
	platform string
	// dir has the logs of the processes. It stays if the test fails.
	dir       string
	processes map[string]*process
	proxies   map[string]*toxiproxy.Proxy
	// killedRecords has the records of the backend servers that were killed, as
	// they were shortly before.
	killedRecords []drydock.BackendRecords
}

// deploymentConfig holds the parameters of a deployment.
type deploymentConfig struct {
	example          string
	hostsPerDomain   int
	serversPerDomain int
	ignoreGrants     bool
	workTime         time.Duration
	// drainLimit, if not zero, replaces that of the example.
	drainLimit time.Duration
	// platformProxies puts a proxy between each host and the platform.
	platformProxies bool
	// backendProxy, if set, may put a proxy in front of a backend server by
	// changing its address.
	backendProxy func(*ledger.Backend)
}

func deploy(cfg deploymentConfig) *deployment {
	GinkgoHelper()
	dir, err := os.MkdirTemp("", "hornbeamwinch-trial-")
	Expect(err).NotTo(HaveOccurred())
	d := &deployment{
		platform:  freeAddress(),
		dir:       dir,
		processes: make(map[string]*process),
		proxies:   make(map[string]*toxiproxy.Proxy),
	}
	DeferCleanup(d.stop)
	fleet, err := drydock.NewFleet(drydock.FleetConfig{
		Example: cfg.example, HostsPerDomain: cfg.hostsPerDomain, ServersPerDomain: cfg.serversPerDomain,
		PlatformAddress: d.platform, IgnoreGrants: cfg.ignoreGrants, Slots: slots, Connections: connections,
	})
	Expect(err).NotTo(HaveOccurred())
	d.fleet = fleet
	d.startProcess("platform", "standin", "platform", "--listen", d.platform)
	for i := range fleet.Backends {
		d.startBackend(fleet.Backends[i], cfg.workTime)
		if cfg.backendProxy != nil {
			cfg.backendProxy(&fleet.Backends[i])
		}
	}
	Eventually(func() error {
		return drydock.CallJSON(context.Background(), http.MethodPost, d.platform, drydock.PathSetBackends, fleet.Backends, nil)
	}, startTimeout).Should(Succeed())
	for _, settings := range fleet.Hosts {
		if cfg.platformProxies {
			settings.Platform.Address = d.proxy("platform-"+string(settings.Host.ID), d.platform)
		}
		if cfg.drainLimit > 0 {
			settings.Timing.DrainLimitMS = charter.Millis(cfg.drainLimit.Milliseconds())
		}
		d.startHost(settings)
	}
	d.applyRules(fleet.Rules())
	d.waitConverged(startTimeout)
	return d
}

func freeAddress() string {
	GinkgoHelper()
	address, err := drydock.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// proxy starts a fault-injecting proxy and returns its address.
func (d *deployment) proxy(name, upstream string) string {
	GinkgoHelper()
	p := toxiproxy.NewProxy()
	p.Name = name
	p.Listen = freeAddress()
	p.Upstream = upstream
	Expect(p.Start()).To(Succeed())
	d.proxies[name] = p
	return p.Listen
}

// startProcess starts a program. Its output is appended to a log file with the
// name of the process.
func (d *deployment) startProcess(name, program string, args ...string) {
	GinkgoHelper()
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	command := exec.Command(filepath.Join(binDir, program), args...)
	command.Stdout = log
	command.Stderr = log
	Expect(command.Start()).To(Succeed())
	p := &process{command: command, exited: make(chan struct{})}
	d.processes[name] = p
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
}

func (d *deployment) startBackend(b ledger.Backend, workTime time.Duration) {
	args := []string{
		"backend", "--listen", b.Address, "--id", b.ID, "--service", b.Service,
		"--slots", strconv.Itoa(int(b.Slots)), "--connections", strconv.Itoa(int(b.Connections)),
		"--work-time", max(workTime, 2*time.Millisecond).String(),
	}
	if b.ChecksGrants {
		args = append(args, "--checks-grants")
	}
	d.startProcess(b.ID, "standin", args...)
}

func (d *deployment) startHost(settings *charter.Settings) {
	GinkgoHelper()
	file := filepath.Join(d.dir, string(settings.Host.ID)+".json")
	text, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
	d.startProcess(string(settings.Host.ID), "hornbeamwinchd", "--settings", file)
}

func (d *deployment) signal(name string, s syscall.Signal) {
	GinkgoHelper()
	Expect(d.processes[name].command.Process.Signal(s)).To(Succeed())
}

// kill kills a process and waits until it has exited.
func (d *deployment) kill(name string) {
	GinkgoHelper()
	d.signal(name, syscall.SIGKILL)
	Eventually(d.processes[name].exited, startTimeout).Should(BeClosed())
}

// killBackend saves the records of a backend server and then kills it.
func (d *deployment) killBackend(b ledger.Backend) {
	d.killedRecords = append(d.killedRecords, d.recordsOf(b))
	d.kill(b.ID)
}

func (d *deployment) stop() {
	for _, p := range d.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range d.processes {
		<-p.exited
	}
	for _, p := range d.proxies {
		p.Stop()
	}
	if CurrentSpecReport().Failed() {
		AddReportEntry("logs", d.dir)
		return
	}
	Expect(os.RemoveAll(d.dir)).To(Succeed())
}

func (d *deployment) applyRules(text string) harbor.RulesRecord {
	GinkgoHelper()
	var record harbor.RulesRecord
	Eventually(func() error {
		var err error
		record, err = drydock.ApplyRules(context.Background(), d.fleet.Hosts[0].Host.AdminAddress, text, "trials")
		return err
	}, startTimeout).Should(Succeed())
	return record
}

// converged returns nil if [drydock.Converged] holds for all hosts, and otherwise
// an error that describes the first host for which it does not.
func (d *deployment) converged(hosts []*charter.Settings, rules harbor.RulesStatus) error {
	for _, settings := range hosts {
		status, err := drydock.FetchStatus(context.Background(), settings.Host.AdminAddress)
		if err != nil {
			return err
		}
		if !drydock.Converged(status, rules) {
			return fmt.Errorf("%s has not converged: %+v", settings.Host.ID, status)
		}
	}
	return nil
}

func (d *deployment) waitConverged(limit time.Duration) {
	GinkgoHelper()
	Eventually(func() error {
		return d.converged(d.fleet.Hosts, harbor.RulesStatus{Opened: 1})
	}, limit, 50*time.Millisecond).Should(Succeed())
}

func (d *deployment) recordsOf(b ledger.Backend) drydock.BackendRecords {
	GinkgoHelper()
	var records drydock.BackendRecords
	Eventually(func() error {
		return drydock.CallJSON(context.Background(), http.MethodGet, b.Address, drydock.PathRecords, nil, &records)
	}, startTimeout).Should(Succeed())
	return records
}

// checkRecords checks the records of all backend servers, including the killed
// ones.
func (d *deployment) checkRecords() drydock.CheckResult {
	GinkgoHelper()
	records := d.killedRecords
	for _, b := range d.fleet.Backends {
		if _, running := d.processes[b.ID]; !running {
			continue
		}
		select {
		case <-d.processes[b.ID].exited:
		default:
			records = append(records, d.recordsOf(b))
		}
	}
	return drydock.CheckRecords(records, d.fleet.Divided, slots)
}

// owner returns the backend server that owns key, and the explanation that names
// it.
func (d *deployment) owner(service berth.ServiceID, key string) (harbor.Explanation, ledger.Backend) {
	GinkgoHelper()
	for _, settings := range d.fleet.Hosts {
		var e harbor.Explanation
		path := fmt.Sprintf("/v1/explain?service=%s&key=%s", service, key)
		err := drydock.CallJSON(context.Background(), http.MethodGet, settings.Host.AdminAddress, path, nil, &e)
		if err != nil || !e.Here {
			continue
		}
		for _, b := range d.fleet.Backends {
			if b.ID == string(e.Owner) {
				return e, b
			}
		}
	}
	Fail("no owner of " + key)
	return harbor.Explanation{}, ledger.Backend{}
}

// startTraffic sends requests in the background until the returned function is
// called, which returns the statistics of the callers.
func (d *deployment) startTraffic(hosts []string, workloads ...drydock.Workload) (caller *drydock.Caller, stopTraffic func() []drydock.ServiceStats) {
	caller = drydock.NewCaller(drydock.CallerConfig{Hosts: hosts, Workloads: workloads, Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { caller.Run(ctx) })
	return caller, func() []drydock.ServiceStats {
		cancel()
		group.Wait()
		return caller.Stats()
	}
}

// readingsWorkload returns the workload of the service that is divided by key.
func readingsWorkload(workers int) drydock.Workload {
	return drydock.Workload{
		Service: "tank_readings", Method: http.MethodGet, Keys: 200, KeyPrefix: "key-",
		Workers: workers, Pause: 4 * time.Millisecond, Timeout: 2 * time.Second,
	}
}

// invoicesWorkload returns a workload whose requests must not be repeated.
func invoicesWorkload(workers int) drydock.Workload {
	return drydock.Workload{
		Service: "invoicing", Method: http.MethodPost, Keys: 50, KeyPrefix: "member-", IdempotencyKeys: true,
		Workers: workers, Pause: 10 * time.Millisecond, Timeout: 4 * time.Second,
	}
}

// expectNoViolations checks the records of the backend servers for overlapping
// ownership, duplicate executions and exceeded limits, and the statistics of the
// callers for wrong responses.
func (d *deployment) expectNoViolations(stats []drydock.ServiceStats) {
	GinkgoHelper()
	check := d.checkRecords()
	GinkgoWriter.Printf("statistics %+v\ncheck %+v\n", stats, check)
	Expect(check.Executions).To(BeNumerically(">", 0))
	Expect(check.Overlaps).To(BeZero(), "%v", check.Examples)
	Expect(check.DuplicateRuns).To(BeZero(), "%v", check.Examples)
	Expect(check.OverLimit).To(BeEmpty())
	for _, t := range stats {
		Expect(t.Wrong).To(BeZero(), "%+v", t)
		Expect(t.Whole).To(BeNumerically(">", 0), "%+v", t)
	}
}
