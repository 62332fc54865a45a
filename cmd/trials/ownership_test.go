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

	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/drydock"
	"hornbeamwinch.example/harbor"
)

// servedBy asks one entry host for key and returns the answering server.
func servedBy(host, key string) (string, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+host+"/s/tank_readings/"+key, nil)
	if err != nil {
		return "", err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = w.Body.Close() }()
	var answer drydock.Answer
	if err := json.NewDecoder(w.Body).Decode(&answer); err != nil {
		return "", err
	}
	if w.StatusCode != http.StatusOK || answer.Key != key {
		return "", fmt.Errorf("status %d, answer %+v", w.StatusCode, answer)
	}
	return answer.Server, nil
}

var _ = Describe("A rack that falls silent", func() {
	It("with the placer and a key's owner is replaced", func() {
		d := deploy(deploymentConfig{example: charter.ExampleTerminal, hostsPerDomain: 3, serversPerDomain: 2})
		_, owner := d.owner("tank_readings", "key-3")
		status, err := drydock.FetchStatus(context.Background(), d.adminOf(owner.Domain))
		Expect(err).NotTo(HaveOccurred())
		_, end := d.traffic(d.callersExcept(string(status.PlacerHost)), readings(8))
		time.Sleep(500 * time.Millisecond)
		host := d.callersExcept(string(status.PlacerHost))[0]
		d.signal(string(status.PlacerHost), syscall.SIGSTOP)
		d.signal(owner.ID, syscall.SIGSTOP)
		silent := time.Now()
		Eventually(func() (string, error) { return servedBy(host, "key-3") }, 2*servedAgainWithin, 10*time.Millisecond).
			Should(And(Not(Equal(owner.ID)), Not(BeEmpty())))
		AddReportEntry("served again after a silent rack, in ms", time.Since(silent).Milliseconds())
		time.Sleep(time.Second)
		d.signal(string(status.PlacerHost), syscall.SIGCONT)
		d.signal(owner.ID, syscall.SIGCONT)
		time.Sleep(time.Second)
		d.expectSound(end())
	})
})

// callersExcept returns the caller addresses of all entry hosts but one.
func (d *deployment) callersExcept(id string) []string {
	var addresses []string
	for _, settings := range d.fleet.Hosts {
		if string(settings.Host.ID) != id {
			addresses = append(addresses, settings.Host.CallerAddress)
		}
	}
	return addresses
}

var _ = Describe("Three failure domains with three entry hosts each", func() {
	for _, unchecked := range []bool{false, true} {
		It(fmt.Sprintf("keep single ownership through losses (servers that ignore grants: %v)", unchecked), func() {
			d := deploy(deploymentConfig{
				example: charter.ExampleTerminal, hostsPerDomain: 3, serversPerDomain: 2, unchecked: unchecked,
			})
			By("sending a key's requests through every entry host to one owner")
			for _, key := range []string{"key-1", "key-10", "key-2", "key-33"} {
				_, owner := d.owner("tank_readings", key)
				for _, settings := range d.fleet.Hosts {
					Expect(servedBy(settings.Host.CallerAddress, key)).To(Equal(owner.ID))
				}
			}

			_, end := d.traffic(d.fleet.CallerAddresses(), readings(12), invoices(2))
			By("killing the owner of a key")
			_, victim := d.owner("tank_readings", "key-1")
			time.Sleep(500 * time.Millisecond)
			d.killBackend(victim)
			killed := time.Now()
			host := d.fleet.Hosts[0].Host.CallerAddress
			Eventually(func() (string, error) { return servedBy(host, "key-1") }, 2*servedAgainWithin, 10*time.Millisecond).
				ShouldNot(Equal(victim.ID))
			again := time.Since(killed)
			GinkgoWriter.Printf("served again %d ms after a killed server\n", again.Milliseconds())
			AddReportEntry("served again after a killed server, in ms", again.Milliseconds())

			By("freezing an owner past its grant and waking it")
			_, frozen := d.owner("tank_readings", "key-2")
			d.signal(frozen.ID, syscall.SIGSTOP)
			Eventually(func() (string, error) { return servedBy(host, "key-2") }, 2*servedAgainWithin, 10*time.Millisecond).
				ShouldNot(Equal(frozen.ID))
			time.Sleep(time.Second)
			d.signal(frozen.ID, syscall.SIGCONT)

			By("killing the placer of a domain")
			status, err := drydock.FetchStatus(context.Background(), d.fleet.Hosts[0].Host.AdminAddress)
			Expect(err).NotTo(HaveOccurred())
			d.kill(string(status.PlacerHost))
			var rest []*charter.Settings
			for _, settings := range d.fleet.Hosts {
				if settings.Host.ID != status.PlacerHost {
					rest = append(rest, settings)
				}
			}
			Eventually(func() error {
				return d.settled(rest, harbor.RulesStatus{Opened: 1})
			}, startWithin).Should(Succeed())

			By("pausing an entry host past its lease and waking it")
			paused := string(rest[0].Host.ID)
			d.signal(paused, syscall.SIGSTOP)
			time.Sleep(2500 * time.Millisecond)
			d.signal(paused, syscall.SIGCONT)
			time.Sleep(time.Second)
			d.expectSound(end())
		})
	}
})
