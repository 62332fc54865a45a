package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/platform/platformtest"
)

// endTimeout bounds the waits for what a daemon is to do, far above the time that
// it takes, for slow machines.
const endTimeout = 20 * time.Second

// daemon is a running daemon.
type daemon struct {
	*gexec.Session
	callerAddress string
}

// loopbackIP returns an address on which other processes do not take the ports.
func loopbackIP() string {
	const values = 250
	return fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/values%values, 1+os.Getpid()%values)
}

func freeAddresses(n int) []string {
	GinkgoHelper()
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", loopbackIP()+":0")
		Expect(err).NotTo(HaveOccurred())
		// The ports are freed together, since a free one may be given again.
		defer func() { Expect(l.Close()).To(Succeed()) }()
		addresses[i] = l.Addr().String()
	}
	return addresses
}

func portOf(address string) int {
	GinkgoHelper()
	_, text, err := net.SplitHostPort(address)
	Expect(err).NotTo(HaveOccurred())
	port, err := strconv.Atoi(text)
	Expect(err).NotTo(HaveOccurred())
	return port
}

// platformSettings returns the address for callers and the settings of a daemon on
// the platform. Its stop takes 0.7 s and may take 2 s.
func platformSettings(storeAddress string) (string, []byte) {
	GinkgoHelper()
	const addressCount = 4
	addresses := freeAddresses(addressCount)
	settings := platformtest.HostSettings{
		Name: "host-0", IP: loopbackIP(), Domain: "zone-a", CallerAddress: addresses[0], ReadyAddress: addresses[1],
		InternalPorts: [2]int{portOf(addresses[2]), portOf(addresses[3])}, StoreAddress: storeAddress, FirstStart: true,
	}
	return addresses[0], []byte(strings.Replace(string(settings.Encode()), "grace_s=6", "grace_s=2", 1))
}

// projectSettings returns the settings of a daemon in the project's own deployment,
// whose platform does not answer.
func projectSettings() []byte {
	GinkgoHelper()
	settings, err := charter.Example(charter.ExampleTerminal)
	Expect(err).NotTo(HaveOccurred())
	const addressCount = 4
	addresses := freeAddresses(addressCount)
	settings.Host.CallerAddress, settings.Host.PeerAddress, settings.Host.AdminAddress = addresses[0], addresses[1], addresses[2]
	settings.Platform.Address = addresses[3]
	settings.Domains[0].Peers = []string{settings.Host.PeerAddress}
	settings.Timing.BalancerWaitMS = 100
	text, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	return text
}

// startProcess starts the daemon's program.
func startProcess(binary string, args ...string) *daemon {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(binary, args...), nil, nil)
	Expect(err).NotTo(HaveOccurred())
	d := &daemon{Session: session}
	DeferCleanup(func() { d.Kill().Wait(endTimeout) })
	return d
}

// startDaemon starts a daemon on the platform without waiting until it listens.
func startDaemon(binary, storeAddress string) *daemon {
	GinkgoHelper()
	callerAddress, text := platformSettings(storeAddress)
	file := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
	Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
	d := startProcess(binary, "--platform", "--settings", file)
	d.callerAddress = callerAddress
	return d
}

// waitListening waits until the daemon listens for callers.
func (d *daemon) waitListening() {
	GinkgoHelper()
	Eventually(func() error {
		if code := d.ExitCode(); code >= 0 {
			return StopTrying(fmt.Sprintf("the daemon has ended with %d; its output:\n%s", code, d.output()))
		}
		nc, err := net.Dial("tcp", d.callerAddress)
		if err == nil {
			_ = nc.Close()
		}
		return err
	}).WithTimeout(endTimeout).WithPolling(time.Microsecond).Should(Succeed())
}

func (d *daemon) waitStarted() {
	GinkgoHelper()
	Eventually(d.Out).WithTimeout(endTimeout).Should(gbytes.Say("host_started"))
}

// expectEnded checks that the daemon ends by itself, not by a signal.
func (d *daemon) expectEnded() {
	GinkgoHelper()
	Eventually(d).WithTimeout(endTimeout).Should(gexec.Exit())
	Expect(d.ExitCode()).To(BeZero(), "128 + the signal that ended it; its output:\n%s", d.output())
	Expect(d.output()).To(MatchRegexp("host_stopped|entry host stopped"))
}

// output returns what the daemon has written. On the platform its log goes to
// standard output, in the project's own deployment to standard error.
func (d *daemon) output() string {
	return string(d.Out.Contents()) + string(d.Err.Contents())
}

var _ = Describe("A daemon that cannot start", func() {
	It("says which of its addresses is in use, and ends with exitFailed", func() {
		binary := buildDaemon()
		address, text := platformSettings("127.0.0.1:1")
		l, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		file := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
		d := startProcess(binary, "--platform", "--settings", file)
		Eventually(d).WithTimeout(endTimeout).Should(gexec.Exit(exitFailed))
		Expect(string(d.Err.Contents())).To(And(ContainSubstring(address), ContainSubstring("address already in use")))
	})
})

var _ = Describe("A signal to the daemon", Ordered, ContinueOnFailure, func() {
	// daemons is how many daemons a test starts, to hit a short moment.
	const daemons = 8
	var binary, store string
	BeforeAll(func() {
		binary = buildDaemon()
		server := httptest.NewServer(platformtest.NewStore())
		DeferCleanup(server.Close)
		store = strings.TrimPrefix(server.URL, "http://")
	})

	It("does not end it if it is a SIGHUP right after it has begun to listen", func() {
		for range daemons {
			d := startDaemon(binary, store)
			d.waitListening()
			d.Signal(syscall.SIGHUP)
			Consistently(d.ExitCode).WithTimeout(300*time.Millisecond).ShouldNot(Equal(128+int(syscall.SIGHUP)), "ended by SIGHUP")
			Eventually(d.Out).WithTimeout(endTimeout).Should(gbytes.Say("settings_reloaded"))
		}
	})

	It("does not end it if it is a SIGHUP at any moment of a stop", func() {
		for range daemons {
			d := startDaemon(binary, store)
			d.waitStarted()
			d.Terminate()
			for began := time.Now(); d.ExitCode() < 0 && time.Since(began) < endTimeout; {
				d.Signal(syscall.SIGHUP)
				select {
				case <-d.Exited:
				case <-time.After(100 * time.Microsecond):
				}
			}
			d.expectEnded()
		}
	})

	It("does not cut a stop short if it is a second SIGTERM", func() {
		d := startDaemon(binary, store)
		d.waitStarted()
		began := time.Now()
		d.Terminate()
		time.Sleep(100 * time.Millisecond)
		d.Terminate()
		d.expectEnded()
		Expect(time.Since(began)).To(BeNumerically(">", 600*time.Millisecond))
	})

	It("stops it in order if it is a SIGTERM right after it has begun to listen", func() {
		var all []*daemon
		for range daemons {
			d := startDaemon(binary, store)
			d.waitListening()
			d.Terminate()
			all = append(all, d)
		}
		for _, d := range all {
			d.expectEnded()
		}
	})

	DescribeTable("is handled if it comes while the daemon reads its settings", func(onPlatform bool, sig syscall.Signal) {
		var args []string
		var text []byte
		if onPlatform {
			args = append(args, "--platform")
			_, text = platformSettings(store)
		} else {
			text = projectSettings()
		}
		dir := GinkgoT().TempDir()
		file, regular := filepath.Join(dir, "settings"), filepath.Join(dir, "regular")
		Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
		Expect(os.WriteFile(regular, text, 0o600)).To(Succeed())
		d := startProcess(binary, append(args, "--settings", file)...)
		var fifo *os.File
		Eventually(func() (err error) {
			// This fails until the daemon has opened the file.
			fifo, err = os.OpenFile(file, os.O_WRONLY|syscall.O_NONBLOCK, 0)
			return err
		}).WithTimeout(endTimeout).Should(Succeed())
		d.Signal(sig)
		// A reload must not wait for a writer.
		Expect(os.Rename(regular, file)).To(Succeed())
		_, err := fifo.Write(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(fifo.Close()).To(Succeed())
		if sig == syscall.SIGHUP {
			log := d.Out
			if !onPlatform {
				log = d.Err
			}
			Eventually(log).WithTimeout(endTimeout).Should(gbytes.Say("host_started|entry host started"))
			if onPlatform {
				Eventually(d.output).WithTimeout(endTimeout).Should(ContainSubstring("settings_reloaded"))
			}
			d.Terminate()
		}
		d.expectEnded()
	},
		Entry("a SIGHUP on the platform", true, syscall.SIGHUP),
		Entry("a SIGTERM on the platform", true, syscall.SIGTERM),
		Entry("a SIGINT on the platform", true, syscall.SIGINT),
		Entry("a SIGHUP in the project's own deployment", false, syscall.SIGHUP),
		Entry("a SIGTERM in the project's own deployment", false, syscall.SIGTERM),
	)
})
