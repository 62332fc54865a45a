package trials_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/drydock"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/quay"
)

// servedBy requests key from an entry host and returns the backend server that
// responded.
func servedBy(host, key string) (string, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+host+"/s/tank_readings/"+key, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var body drydock.ResponseBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK || body.Key != key {
		return "", fmt.Errorf("status %d, reason %q, body %+v", resp.StatusCode, resp.Header.Get(quay.HeaderReason), body)
	}
	return body.Server, nil
}

var _ = Describe("A rack that stops responding", func() {
	It("with the placer and a key's owner is replaced", func() {
		d := deploy(deploymentConfig{example: charter.ExampleTerminal, hostsPerDomain: 3, serversPerDomain: 2})
		_, owner := d.owner("tank_readings", "key-3")
		status, err := drydock.FetchStatus(context.Background(), d.adminAddress(owner.Domain))
		Expect(err).NotTo(HaveOccurred())
		_, stopTraffic := d.startTraffic(d.callerAddressesExcept(string(status.PlacerHost)), readingsWorkload(8))
		time.Sleep(500 * time.Millisecond)
		host := d.callerAddressesExcept(string(status.PlacerHost))[0]
		d.signal(string(status.PlacerHost), syscall.SIGSTOP)
		d.signal(owner.ID, syscall.SIGSTOP)
		suspendedAt := time.Now()
		Eventually(func() (string, error) { return servedBy(host, "key-3") }, 2*failoverTimeout, 10*time.Millisecond).
			Should(And(Not(Equal(owner.ID)), Not(BeEmpty())))
		AddReportEntry("served again after a rack stopped responding, in ms", time.Since(suspendedAt).Milliseconds())
		time.Sleep(time.Second)
		d.signal(string(status.PlacerHost), syscall.SIGCONT)
		d.signal(owner.ID, syscall.SIGCONT)
		time.Sleep(time.Second)
		d.expectNoViolations(stopTraffic())
	})
})

var _ = Describe("A placer whose host is not in the table yet", func() {
	It("is followed by a listed host that was the placer before", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 2, platformProxies: true})
		before, other := d.fleet.Hosts[0], d.fleet.Hosts[1]
		status, err := drydock.FetchStatus(context.Background(), before.Host.AdminAddress)
		Expect(err).NotTo(HaveOccurred())
		if status.PlacerHost == other.Host.ID {
			before, other = other, before
		}
		d.kill(string(other.Host.ID))
		Eventually(func() ([]harbor.HostStatus, error) {
			status, err := drydock.FetchStatus(context.Background(), before.Host.AdminAddress)
			return status.Hosts, err
		}, startTimeout).Should(HaveLen(1))

		toStore := d.proxies["platform-"+string(before.Host.ID)]
		toStore.Stop()
		d.startHost(other)
		for _, settings := range []*charter.Settings{other, before} {
			Eventually(func() (bool, error) {
				status, err := drydock.FetchStatus(context.Background(), settings.Host.AdminAddress)
				return status.Placer, err
			}, startTimeout).Should(Equal(settings == other))
		}
		Expect(toStore.Start()).To(Succeed())
		Eventually(func() ([]harbor.HostStatus, error) {
			status, err := drydock.FetchStatus(context.Background(), before.Host.AdminAddress)
			return status.Hosts, err
		}, startTimeout).Should(And(HaveLen(2), HaveEach(HaveField("State", berth.HostActive.String()))))
		for _, settings := range d.fleet.Hosts {
			Expect(servedBy(settings.Host.CallerAddress, "key-3")).NotTo(BeEmpty())
		}
	})
})

// callerAddressesExcept returns the caller addresses of all entry hosts but one.
func (d *deployment) callerAddressesExcept(id string) []string {
	var addresses []string
	for _, settings := range d.fleet.Hosts {
		if string(settings.Host.ID) != id {
			addresses = append(addresses, settings.Host.CallerAddress)
		}
	}
	return addresses
}

var _ = Describe("Three failure domains with three entry hosts each", func() {
	for _, ignoreGrants := range []bool{false, true} {
		It(fmt.Sprintf("keep single ownership through losses (servers that ignore grants: %v)", ignoreGrants), func() {
			d := deploy(deploymentConfig{
				example: charter.ExampleTerminal, hostsPerDomain: 3, serversPerDomain: 2, ignoreGrants: ignoreGrants,
			})
			By("routing the requests for a key from every entry host to one owner")
			for _, key := range []string{"key-1", "key-10", "key-2", "key-33"} {
				_, owner := d.owner("tank_readings", key)
				for _, settings := range d.fleet.Hosts {
					Expect(servedBy(settings.Host.CallerAddress, key)).To(Equal(owner.ID))
				}
			}

			_, stopTraffic := d.startTraffic(d.fleet.CallerAddresses(), readingsWorkload(12), invoicesWorkload(2))
			By("killing the owner of a key")
			_, victim := d.owner("tank_readings", "key-1")
			time.Sleep(500 * time.Millisecond)
			d.killBackend(victim)
			killedAt := time.Now()
			host := d.fleet.Hosts[0].Host.CallerAddress
			Eventually(func() (string, error) { return servedBy(host, "key-1") }, 2*failoverTimeout, 10*time.Millisecond).
				ShouldNot(Equal(victim.ID))
			elapsed := time.Since(killedAt)
			GinkgoWriter.Printf("served again %d ms after a killed server\n", elapsed.Milliseconds())
			AddReportEntry("served again after a killed server, in ms", elapsed.Milliseconds())

			By("suspending an owner until its grant has expired, and resuming it")
			_, suspended := d.owner("tank_readings", "key-2")
			d.signal(suspended.ID, syscall.SIGSTOP)
			Eventually(func() (string, error) { return servedBy(host, "key-2") }, 2*failoverTimeout, 10*time.Millisecond).
				ShouldNot(Equal(suspended.ID))
			time.Sleep(time.Second)
			d.signal(suspended.ID, syscall.SIGCONT)

			By("killing the placer of a domain")
			status, err := drydock.FetchStatus(context.Background(), d.fleet.Hosts[0].Host.AdminAddress)
			Expect(err).NotTo(HaveOccurred())
			d.kill(string(status.PlacerHost))
			var remaining []*charter.Settings
			for _, settings := range d.fleet.Hosts {
				if settings.Host.ID != status.PlacerHost {
					remaining = append(remaining, settings)
				}
			}
			Eventually(func() error {
				return d.converged(remaining, harbor.RulesStatus{Opened: 1})
			}, startTimeout).Should(Succeed())

			By("suspending an entry host until its lease has expired, and resuming it")
			suspendedHost := string(remaining[0].Host.ID)
			d.signal(suspendedHost, syscall.SIGSTOP)
			time.Sleep(2500 * time.Millisecond)
			d.signal(suspendedHost, syscall.SIGCONT)
			time.Sleep(time.Second)
			d.expectNoViolations(stopTraffic())
		})
	}
})
