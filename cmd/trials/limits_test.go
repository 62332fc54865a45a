package trials_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/drydock"
)

var _ = Describe("The limits of backend servers", func() {
	It("are kept by all entry hosts together at three times their capacity", func() {
		d := deploySmall(deploymentConfig{hostsPerDomain: 3, workTime: 20 * time.Millisecond})
		stock := drydock.Workload{
			Service: "stock_balances", Method: http.MethodGet, Keys: 100, KeyPrefix: "stock-",
			Workers: 3 * 3 * slots, Timeout: 500 * time.Millisecond,
		}
		_, stopTraffic := d.startTraffic(d.fleet.CallerAddresses(), stock, readingsWorkload(3*slots))
		time.Sleep(2 * time.Second)
		restarted := d.fleet.Hosts[1]
		d.kill(string(restarted.Host.ID))
		d.startHost(restarted)
		d.waitConverged(startTimeout)
		time.Sleep(2 * time.Second)
		d.expectNoViolations(stopTraffic())
		for _, b := range d.fleet.Backends {
			records := d.recordsOf(b)
			Expect(records.MaxOffered).To(BeNumerically("<=", slots), b.ID)
			Expect(records.MaxConnections).To(BeNumerically("<=", connections), b.ID)
		}
	})
})
