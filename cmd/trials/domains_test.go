package trials_test

import (
	"context"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/drydock"
	"hornbeamwinch.example/quay"
)

// killDomain kills every process of a failure domain.
func (d *deployment) killDomain(domain string) {
	GinkgoHelper()
	for _, settings := range d.fleet.Hosts {
		if string(settings.Host.Domain) == domain {
			d.kill(string(settings.Host.ID))
		}
	}
	for _, b := range d.fleet.Backends {
		if b.Domain == domain {
			d.killBackend(b)
		}
	}
}

var _ = Describe("The loss of a whole failure domain", func() {
	It("leaves the others serving, refuses its keys, and moves them only on an operator's order", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 2})
		lost := string(d.fleet.Hosts[2].Host.Domain)
		host := d.fleet.Hosts[0].Host
		Expect(servedBy(host.CallerAddress, "key-10")).To(ContainSubstring(lost))
		d.killDomain(lost)

		By("serving the keys of the others")
		Expect(servedBy(host.CallerAddress, "key-3")).NotTo(BeEmpty())
		Expect(servedBy(host.CallerAddress, "key-20")).NotTo(BeEmpty())
		By("refusing requests for the lost keys at once as not run")
		expectNotRun(request(http.MethodGet, host.CallerAddress, "/s/tank_readings/key-10", ""))

		By("not serving them in another domain after a change of the rules alone")
		rules := strings.ReplaceAll(d.fleet.Rules(), " to "+lost+" ", " to "+string(host.Domain)+" ")
		record := d.applyRules(rules)
		time.Sleep(failoverTimeout)
		expectNotRun(request(http.MethodGet, host.CallerAddress, "/s/tank_readings/key-10", ""))

		By("asking for confirmation before single ownership is given up")
		abandon := func(args ...string) ([]byte, error) {
			args = append([]string{
				"--admin", host.AdminAddress, "domain", "abandon", lost, "--by", "Ana", "--reason", "hall burnt",
			}, args...)
			return exec.Command(filepath.Join(binDir, "hornbeamwinch"), args...).CombinedOutput()
		}
		output, err := abandon()
		Expect(err).To(HaveOccurred())
		Expect(string(output)).To(ContainSubstring("two owners"))
		output, err = abandon("--yes")
		Expect(err).NotTo(HaveOccurred(), string(output))
		Eventually(func() (string, error) { return servedBy(host.CallerAddress, "key-10") }, rulesTimeout).
			Should(ContainSubstring(string(host.Domain)))
		Expect(record.Revision).To(BeEquivalentTo(2))
	})
})

var _ = Describe("A caller's deadline", func() {
	It("reaches the backend server through every hop", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 1, workTime: time.Second})
		_, owner := d.owner("tank_readings", "key-10")
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
			"http://"+d.fleet.Hosts[0].Host.CallerAddress+"/s/tank_readings/key-10", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(quay.HeaderTimeout, "300")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(resp.Header.Get(quay.HeaderOutcome)).To(Equal(quay.OutcomeUnknown))
		Eventually(func() []drydock.Execution { return d.recordsOf(owner).Executions }, startTimeout).
			ShouldNot(BeEmpty())
		for _, e := range d.recordsOf(owner).Executions {
			Expect(e.Finished).To(BeFalse())
			Expect(time.Duration(e.EndedNS - e.BeganNS)).To(BeNumerically("<", time.Second))
		}
	})
})

var _ = Describe("Hilo Chapín's deployment", func() {
	It("keeps its owners through a quick restart of a server, and its slots", func() {
		d := deploy(deploymentConfig{example: charter.ExampleHiloChapin, hostsPerDomain: 2, serversPerDomain: 2})
		profiles := drydock.Workload{
			Service: "fit_profiles", Method: http.MethodGet, Keys: 100, KeyPrefix: "key-",
			Workers: 6, Pause: 5 * time.Millisecond, Timeout: 2 * time.Second,
		}
		_, stopTraffic := d.startTraffic(d.fleet.CallerAddresses(), profiles)
		e, owner := d.owner("fit_profiles", "key-3")
		time.Sleep(500 * time.Millisecond)
		d.killBackend(owner)
		d.startBackend(owner, 0)
		Eventually(func() string {
			after, _ := d.owner("fit_profiles", "key-3")
			return after.Token
		}, failoverTimeout).Should(Equal(e.Token))
		time.Sleep(time.Second)
		after, _ := d.owner("fit_profiles", "key-3")
		Expect(after.Token).To(Equal(e.Token))
		d.expectNoViolations(stopTraffic())
	})
})
