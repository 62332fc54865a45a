package trials_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/drydock"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/quay"
)

// result is a response as the caller received it.
type result struct {
	status  int
	header  http.Header
	body    string
	elapsed time.Duration
	bodyErr error
}

// request sends one request to an entry host.
func request(method, host, path, idempotencyKey string) result {
	GinkgoHelper()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(`{"amount":1}`)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+host+path, body)
	Expect(err).NotTo(HaveOccurred())
	if idempotencyKey != "" {
		req.Header.Set(quay.HeaderIdempotencyKey, idempotencyKey)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, body: string(data), elapsed: time.Since(start), bodyErr: err}
}

// executionsOf returns the executions that carried an idempotency key.
func (d *deployment) executionsOf(idempotencyKey string) []drydock.Execution {
	GinkgoHelper()
	var found []drydock.Execution
	for _, b := range d.fleet.Backends {
		for _, e := range d.recordsOf(b).Executions {
			if e.IdempotencyKey == idempotencyKey {
				found = append(found, e)
			}
		}
	}
	return found
}

// setFaults sets the faults that the fake platform or backend server at address
// injects.
func setFaults(address string, body any) {
	GinkgoHelper()
	Expect(drydock.CallJSON(context.Background(), http.MethodPost, address, drydock.PathControl, body, nil)).To(Succeed())
}

func (d *deployment) backendsOf(service string) []ledger.Backend {
	var found []ledger.Backend
	for _, b := range d.fleet.Backends {
		if b.Service == service {
			found = append(found, b)
		}
	}
	return found
}

// expectNotRun checks that a response refuses the request, states that it did not
// run, and has a delay after which to retry.
func expectNotRun(r result) {
	GinkgoHelper()
	Expect(r.status).To(Equal(http.StatusServiceUnavailable), r.body)
	Expect(r.header.Get(quay.HeaderOutcome)).To(Equal(quay.OutcomeNotRun))
	seconds, err := strconv.Atoi(r.header.Get(quay.HeaderRetryAfter))
	Expect(err).NotTo(HaveOccurred())
	Expect(seconds).To(BeNumerically(">=", 1))
}

// drainTimeout is how long a draining backend server may be sent new requests.
const drainTimeout = 3 * time.Second

// deploySmall deploys the terminal example with at least one entry host and one
// backend server for each service in each failure domain.
func deploySmall(cfg deploymentConfig) *deployment {
	cfg.example = charter.ExampleTerminal
	cfg.hostsPerDomain = max(cfg.hostsPerDomain, 1)
	cfg.serversPerDomain = max(cfg.serversPerDomain, 1)
	return deploy(cfg)
}

var _ = Describe("Requests that must not be repeated", func() {
	It("run once when repeated through every entry host, one after the other and at once", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 2, workTime: 50 * time.Millisecond})
		hosts := d.fleet.CallerAddresses()
		first := request(http.MethodPost, hosts[0], "/s/invoicing/member-1", "charge-1")
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		for _, host := range hosts {
			repeated := request(http.MethodPost, host, "/s/invoicing/member-1", "charge-1")
			Expect(repeated.body).To(Equal(first.body))
			Expect(repeated.header.Get(quay.HeaderReplayed)).To(Equal("true"))
		}
		Expect(d.executionsOf("charge-1")).To(HaveLen(1))

		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() {
				defer GinkgoRecover()
				r := request(http.MethodPost, hosts[i%len(hosts)], "/s/invoicing/member-2", "charge-2")
				Expect(r.status).To(BeElementOf(http.StatusOK, http.StatusConflict), r.body)
			})
		}
		group.Wait()
		Expect(d.executionsOf("charge-2")).To(HaveLen(1))

		By("refusing an idempotency key that belongs to another request, and a request without one")
		other := request(http.MethodPost, hosts[0], "/s/invoicing/member-9", "charge-1")
		Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(request(http.MethodPost, hosts[0], "/s/invoicing/member-9", "").status).To(Equal(http.StatusBadRequest))
	})

	It("run once when the store applies the claim but loses the response", func() {
		d := deploySmall(deploymentConfig{})
		setFaults(d.platform, drydock.PlatformControl{LoseResponses: 1, LoseKeyPrefix: "claims/"})
		r := request(http.MethodPost, d.fleet.CallerAddresses()[0], "/s/invoicing/member-1", "charge-3")
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Expect(d.executionsOf("charge-3")).To(HaveLen(1))
	})

	It("are not run while the store is out, and say so at once", func() {
		d := deploySmall(deploymentConfig{})
		setFaults(d.platform, drydock.PlatformControl{Outage: true})
		r := request(http.MethodPost, d.fleet.CallerAddresses()[0], "/s/invoicing/member-1", "charge-4")
		expectNotRun(r)
		setFaults(d.platform, drydock.PlatformControl{})
		Expect(d.executionsOf("charge-4")).To(BeEmpty())
		r = request(http.MethodPost, d.fleet.CallerAddresses()[0], "/s/invoicing/member-1", "charge-4")
		Expect(r.status).To(Equal(http.StatusOK), r.body)
	})

	// A host's own claim kept the request from running at another host, and its caller from
	// sending it again.
	It("run once at another host if no server of the first one can be reached", func() {
		d := deploySmall(deploymentConfig{})
		host := d.fleet.Hosts[0].Host
		for _, b := range d.backendsOf("invoicing") {
			if b.Domain == string(host.Domain) {
				d.kill(b.ID)
				d.fleet.Backends = slices.DeleteFunc(d.fleet.Backends, func(other ledger.Backend) bool { return other.ID == b.ID })
			}
		}
		r := request(http.MethodPost, host.CallerAddress, "/s/invoicing/member-1", "charge-8")
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		again := request(http.MethodPost, host.CallerAddress, "/s/invoicing/member-1", "charge-8")
		Expect(again.body).To(Equal(r.body))
		Expect(d.executionsOf("charge-8")).To(HaveLen(1))
	})

	It("end as unknown and are not sent again when the server dies on the way", func() {
		d := deploySmall(deploymentConfig{serversPerDomain: 2, workTime: 600 * time.Millisecond})
		results := make(chan result, 1)
		go func() {
			defer GinkgoRecover()
			results <- request(http.MethodPost, d.fleet.CallerAddresses()[0], "/s/invoicing/member-1", "charge-5")
		}()
		var running ledger.Backend
		Eventually(func() bool {
			for _, b := range d.backendsOf("invoicing") {
				if d.recordsOf(b).Running > 0 {
					running = b
					return true
				}
			}
			return false
		}, startTimeout, 5*time.Millisecond).Should(BeTrue())
		d.kill(running.ID)
		var r result
		Eventually(results, startTimeout).Should(Receive(&r))
		Expect(r.header.Get(quay.HeaderOutcome)).To(Equal(quay.OutcomeUnknown))
		d.fleet.Backends = slices.DeleteFunc(d.fleet.Backends, func(b ledger.Backend) bool { return b.ID == running.ID })
		Expect(d.executionsOf("charge-5")).To(BeEmpty(), "it ran again on another server")
		again := request(http.MethodPost, d.fleet.CallerAddresses()[1], "/s/invoicing/member-1", "charge-5")
		Expect(again.status).To(Equal(http.StatusConflict))
		Expect(again.header.Get(quay.HeaderOutcome)).To(Equal(quay.OutcomeUnknown))
	})
})

var _ = Describe("Answers", func() {
	It("are whole when a download breaks off and another server continues it", func() {
		d := deploySmall(deploymentConfig{serversPerDomain: 2})
		files := d.backendsOf("ledger_export")
		for i, b := range files {
			if i%2 == 0 {
				setFaults(b.Address, drydock.BackendControl{TruncateAfterBytes: 100_000})
			}
		}
		for range 8 {
			r := request(http.MethodGet, d.fleet.CallerAddresses()[0], "/s/ledger_export/l1/file", "")
			Expect(r.bodyErr).NotTo(HaveOccurred())
			Expect(r.body).To(HaveLen(262144))
		}
	})

	It("are cut visibly when no server can continue them", func() {
		d := deploySmall(deploymentConfig{})
		for _, b := range d.backendsOf("ledger_export") {
			setFaults(b.Address, drydock.BackendControl{TruncateAfterBytes: 100_000})
		}
		for _, path := range []string{"/s/ledger_export/l1/file", "/s/ledger_export/l1/stream"} {
			for _, host := range d.fleet.CallerAddresses() {
				Expect(request(http.MethodGet, host, path, "").bodyErr).To(HaveOccurred(), path)
			}
		}
		for _, b := range d.backendsOf("ledger_export") {
			setFaults(b.Address, drydock.BackendControl{})
		}
		whole := request(http.MethodGet, d.fleet.CallerAddresses()[0], "/s/ledger_export/l1/stream", "")
		Expect(whole.bodyErr).NotTo(HaveOccurred())
		Expect(whole.body).To(HaveLen(262144))
	})

	It("of another request are never passed on", func() {
		d := deploySmall(deploymentConfig{})
		for _, b := range d.backendsOf("stock_balances") {
			setFaults(b.Address, drydock.BackendControl{WrongRequestID: true})
		}
		r := request(http.MethodGet, d.fleet.CallerAddresses()[0], "/s/stock_balances/s1", "")
		Expect(r.header.Get(quay.HeaderOutcome)).To(Equal(quay.OutcomeUnknown), r.body)
		Expect(r.header.Get(quay.HeaderRetryAfter)).NotTo(BeEmpty())
	})

	It("are waited for when a server is at work for long and no retry is left", func() {
		d := deploySmall(deploymentConfig{workTime: 700 * time.Millisecond})
		host := d.fleet.CallerAddresses()[0]
		for i := range 30 {
			r := request(http.MethodGet, host, fmt.Sprintf("/s/stock_balances/s%d", i), "")
			Expect(r.status).To(Equal(http.StatusOK), "request %d: %s", i, r.body)
		}
	})

	It("come through a new connection when the open ones have gone silent", func() {
		var proxies []*stallingProxy
		d := deploySmall(deploymentConfig{backendProxy: func(b *ledger.Backend) {
			proxy := newStallingProxy(b.Address)
			proxies = append(proxies, proxy)
			b.Address = proxy.address()
		}})
		host := d.fleet.CallerAddresses()[0]
		for i := range 10 {
			Expect(request(http.MethodGet, host, fmt.Sprintf("/s/stock_balances/s%d", i), "").status).To(Equal(http.StatusOK))
			early := request(http.MethodPost, host, "/s/invoicing/member-1", fmt.Sprintf("charge-early-%d", i))
			Expect(early.status).To(Equal(http.StatusOK), early.body)
		}
		stalled := 0
		for _, proxy := range proxies {
			stalled += proxy.stall()
		}
		Expect(stalled).To(BeNumerically(">", 0))
		r := request(http.MethodGet, host, "/s/stock_balances/s1", "")
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		charge := request(http.MethodPost, host, "/s/invoicing/member-1", "charge-6")
		Expect(charge.status).To(Equal(http.StatusOK), charge.body)
	})
})

var _ = Describe("An outage of the platform", func() {
	It("leaves the owners serving, also through an entry host that restarts meanwhile", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 3})
		caller, stopTraffic := d.startTraffic(d.fleet.CallerAddresses()[1:], readingsWorkload(6))
		setFaults(d.platform, drydock.PlatformControl{Outage: true})
		time.Sleep(3 * time.Second)
		restarted := d.fleet.Hosts[0]
		status, err := drydock.FetchStatus(context.Background(), d.fleet.Hosts[1].Host.AdminAddress)
		Expect(err).NotTo(HaveOccurred())
		if status.PlacerHost == restarted.Host.ID {
			restarted = d.fleet.Hosts[1]
		}
		d.kill(string(restarted.Host.ID))
		d.startHost(restarted)
		Eventually(func() (string, error) { return servedBy(restarted.Host.CallerAddress, "key-10") }, startTimeout).
			ShouldNot(BeEmpty())
		before := caller.Stats()[0].Whole
		time.Sleep(3 * time.Second)
		Expect(caller.Stats()[0].Whole).To(BeNumerically(">", before+100))
		setFaults(d.platform, drydock.PlatformControl{})
		d.waitConverged(startTimeout)
		d.expectNoViolations(stopTraffic())
	})

	It("that makes it slow stops neither service nor moves", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 2, serversPerDomain: 2})
		_, stopTraffic := d.startTraffic(d.fleet.CallerAddresses(), readingsWorkload(6), invoicesWorkload(1))
		setFaults(d.platform, drydock.PlatformControl{DelayMS: 200})
		time.Sleep(2 * time.Second)
		_, owner := d.owner("tank_readings", "key-3")
		d.killBackend(owner)
		Eventually(func() (string, error) {
			return servedBy(d.fleet.Hosts[0].Host.CallerAddress, "key-3")
		}, 2*failoverTimeout, 10*time.Millisecond).ShouldNot(Equal(owner.ID))
		time.Sleep(time.Second)
		d.expectNoViolations(stopTraffic())
	})

	It("of one failure domain leaves that domain serving its own keys", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 3, platformProxies: true})
		isolated := d.fleet.Hosts[0].Host.Domain
		for _, settings := range d.fleet.Hosts {
			if settings.Host.Domain == isolated {
				d.proxies["platform-"+string(settings.Host.ID)].Stop()
			}
		}
		time.Sleep(3 * time.Second)
		for _, key := range []string{"key-3", "key-4", "key-55"} {
			Expect(servedBy(d.fleet.Hosts[0].Host.CallerAddress, key)).NotTo(BeEmpty())
		}
		charge := request(http.MethodPost, d.fleet.Hosts[0].Host.CallerAddress, "/s/invoicing/member-1", "charge-7")
		expectNotRun(charge)
	})
})

var _ = Describe("Leaving", func() {
	It("of a backend server and of an entry host loses no request", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 2, serversPerDomain: 2, workTime: 20 * time.Millisecond})
		leaving := d.fleet.Hosts[len(d.fleet.Hosts)-1]
		var remaining []string
		for _, settings := range d.fleet.Hosts {
			if settings != leaving {
				remaining = append(remaining, settings.Host.CallerAddress)
			}
		}
		_, stopTraffic := d.startTraffic(remaining, readingsWorkload(8), invoicesWorkload(2))
		_, owner := d.owner("tank_readings", "key-3")
		time.Sleep(300 * time.Millisecond)
		output, err := exec.Command(filepath.Join(binDir, "hornbeamwinch"), "--admin", d.adminAddress(owner.Domain),
			"drain", owner.ID, "--by", "trials").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
		Eventually(func() int { return len(d.recordsOf(owner).Executions) }, startTimeout).Should(BeNumerically(">", 0))
		Eventually(func() error {
			status, err := drydock.FetchStatus(context.Background(), d.adminAddress(owner.Domain))
			if err != nil {
				return err
			}
			for _, s := range status.Servers {
				if string(s.ID) == owner.ID && (s.State != "draining" || s.Shards > 0) {
					return fmt.Errorf("%+v", s)
				}
			}
			return nil
		}, 5*time.Second).Should(Succeed())
		time.Sleep(drainTimeout)
		executed := len(d.recordsOf(owner).Executions)
		d.signal(string(leaving.Host.ID), syscall.SIGTERM)
		Eventually(d.processes[string(leaving.Host.ID)].exited, startTimeout).Should(BeClosed())
		time.Sleep(time.Second)
		Expect(d.recordsOf(owner).Executions).To(HaveLen(executed))
		stats := stopTraffic()
		d.expectNoViolations(stats)
		for _, t := range stats {
			Expect(t.Unknown).To(BeZero(), "%+v", t)
			Expect(t.Truncated).To(BeZero(), "%+v", t)
		}
	})
})

var _ = Describe("A graceful stop of an entry host", func() {
	It("finishes the requests that callers have sent to it", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 2, workTime: 700 * time.Millisecond})
		host := d.fleet.Hosts[0].Host
		results := make(chan result, 1)
		go func() {
			defer GinkgoRecover()
			results <- request(http.MethodGet, host.CallerAddress, "/s/stock_balances/s1", "")
		}()
		time.Sleep(200 * time.Millisecond)
		d.signal(string(host.ID), syscall.SIGTERM)
		var r result
		Eventually(results, startTimeout).Should(Receive(&r))
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Eventually(d.processes[string(host.ID)].exited, startTimeout).Should(BeClosed())
	})

	It("answers the requests that are at work, queued or read late when it ends", func() {
		const drainLimit = 3 * time.Second
		d := deploySmall(deploymentConfig{workTime: 3 * drainLimit, drainLimit: drainLimit})
		settings := d.fleet.Hosts[0]
		export := func() result { return request(http.MethodGet, settings.Host.CallerAddress, "/s/ledger_export/l1", "") }
		const queued = 2
		results := make(chan result, slots+queued)
		for range slots + queued {
			go func() {
				defer GinkgoRecover()
				results <- export()
			}()
		}
		time.Sleep(300 * time.Millisecond)
		d.signal(string(settings.Host.ID), syscall.SIGTERM)
		time.Sleep(settings.Timing.BalancerWaitMS.Duration() + drainLimit/3)
		late := export()
		expectNotRun(late)
		Expect(late.header.Get(quay.HeaderReason)).To(BeEquivalentTo(quay.ReasonHostStopping))
		Expect(late.elapsed).To(BeNumerically("<", drainLimit/3), "it was not refused at once")
		refused := 0
		for range slots + queued {
			var r result
			Eventually(results, startTimeout).Should(Receive(&r))
			Expect(r.header.Get(quay.HeaderReason)).To(BeEquivalentTo(quay.ReasonHostStopping))
			if r.status == http.StatusServiceUnavailable {
				expectNotRun(r)
				refused++
				continue
			}
			Expect(r.status).To(Equal(http.StatusBadGateway), r.body)
			Expect(r.header.Get(quay.HeaderOutcome)).To(Equal(quay.OutcomeUnknown))
		}
		Expect(refused).To(Equal(queued))
	})

	It("answers a request that it reads once none are in flight", func() {
		d := deploySmall(deploymentConfig{workTime: 700 * time.Millisecond})
		host := d.fleet.Hosts[0].Host
		setFaults(d.platform, drydock.PlatformControl{DelayMS: 350})
		d.signal(string(host.ID), syscall.SIGTERM)
		time.Sleep(d.fleet.Hosts[0].Timing.BalancerWaitMS.Duration() + 75*time.Millisecond)
		r := request(http.MethodGet, host.CallerAddress, "/s/stock_balances/s1", "")
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Eventually(d.processes[string(host.ID)].exited, startTimeout).Should(BeClosed())
	})
})

// adminAddress returns the admin address of an entry host of a failure domain.
func (d *deployment) adminAddress(domain string) string {
	GinkgoHelper()
	for _, settings := range d.fleet.Hosts {
		if settings.Host.Domain == berth.DomainID(domain) {
			return settings.Host.AdminAddress
		}
	}
	Fail("no entry host in " + domain)
	return ""
}

var _ = Describe("Rules", func() {
	It("of two operators do not overwrite each other and come into force everywhere", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 2})
		file := filepath.Join(d.dir, "rules.txt")
		apply := func(text string, args ...string) (string, int) {
			GinkgoHelper()
			Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
			args = append([]string{"--admin", d.fleet.Hosts[0].Host.AdminAddress, "rules", "apply", file}, args...)
			command := exec.Command(filepath.Join(binDir, "hornbeamwinch"), args...)
			output, _ := command.CombinedOutput()
			return string(output), command.ProcessState.ExitCode()
		}
		base := d.fleet.Rules()
		mine := base + "route tank_readings key-55 to mvd_b # Ana: jetty 5\n"
		output, code := apply(mine, "--base", "1", "--by", "Ana")
		Expect(code).To(BeZero(), output)
		Expect(output).To(ContainSubstring("in force in mvd_c"))
		e, _ := d.owner("tank_readings", "key-55")
		Expect(e.Home).To(BeEquivalentTo("mvd_b"))

		theirs := base + "route tank_readings key-66 to mvd_c # Luis: jetty 6\n"
		output, code = apply(theirs, "--base", "1", "--by", "Luis")
		Expect(code).To(Equal(3), output)
		output, code = apply(theirs, "--base", "1", "--by", "Luis", "--merge")
		Expect(code).To(BeZero(), output)
		for key, home := range map[string]string{"key-55": "mvd_b", "key-66": "mvd_c"} {
			e, owner := d.owner("tank_readings", key)
			Expect(e.Home).To(BeEquivalentTo(home))
			for _, host := range d.fleet.CallerAddresses() {
				Expect(servedBy(host, key)).To(Equal(owner.ID))
			}
		}

		By("refusing invalid rules with their position")
		output, code = apply("route tank_readings * mvd_a # Ana: typo\n", "--by", "Ana")
		Expect(code).To(Equal(3))
		Expect(output).To(ContainSubstring("rules.txt:1:"))
		Expect(d.converged(d.fleet.Hosts, harbor.RulesStatus{Opened: 3})).To(Succeed())
	})
})
