package main

import (
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"hornbeamwinch.example/platform/platformtest"
)

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

// startDaemon starts a daemon without waiting until it listens.
func startDaemon(binary, storeAddress string) *daemon {
	GinkgoHelper()
	const addresses = 4
	var ports [addresses]int
	for i := range ports {
		l, err := net.Listen("tcp", loopbackIP()+":0")
		Expect(err).NotTo(HaveOccurred())
		ports[i] = l.Addr().(*net.TCPAddr).Port
		Expect(l.Close()).To(Succeed())
	}
	d := &daemon{callerAddress: fmt.Sprintf("%s:%d", loopbackIP(), ports[0])}
	settings := platformtest.HostSettings{
		Name: "host-0", IP: loopbackIP(), Domain: "zone-a", CallerAddress: d.callerAddress,
		ReadyAddress: fmt.Sprintf("%s:%d", loopbackIP(), ports[1]), InternalPorts: [2]int{ports[2], ports[3]}, StoreAddress: storeAddress,
	}
	file := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
	text := strings.Replace(string(settings.Encode()), "grace_s=6", "grace_s=1.6", 1)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	var err error
	d.Session, err = gexec.Start(exec.Command(binary, "--platform", "--settings", file), nil, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { d.Kill().Wait() })
	return d
}

// waitListening waits until the daemon listens for callers.
func (d *daemon) waitListening() {
	GinkgoHelper()
	Eventually(func() error {
		nc, err := net.Dial("tcp", d.callerAddress)
		if err == nil {
			_ = nc.Close()
		}
		return err
	}).WithTimeout(10 * time.Second).WithPolling(time.Microsecond).Should(Succeed())
}

func (d *daemon) waitStarted() {
	GinkgoHelper()
	Eventually(d.Out).WithTimeout(10 * time.Second).Should(gbytes.Say("host_started"))
}

// expectEnded checks that the daemon ends by itself, not by a signal.
func (d *daemon) expectEnded() {
	GinkgoHelper()
	Eventually(d).WithTimeout(10 * time.Second).Should(gexec.Exit())
	Expect(d.ExitCode()).To(BeZero(), "128 + the signal that ended it; its output:\n%s", d.Out.Contents())
	Expect(d.Out).To(gbytes.Say("host_stopped"))
}

var _ = Describe("A signal to the daemon", Ordered, ContinueOnFailure, func() {
	// daemons is how many daemons a test starts, to hit a short moment.
	const daemons = 8
	var binary, store string
	BeforeAll(func() {
		var err error
		binary, err = gexec.Build("hornbeamwinch.example/cmd/hornbeamwinchd")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(gexec.CleanupBuildArtifacts)
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
		}
	})

	It("does not end it if it is a SIGHUP at any moment of a stop", func() {
		for range daemons {
			d := startDaemon(binary, store)
			d.waitStarted()
			time.Sleep(100 * time.Millisecond)
			d.Terminate()
			for ended := false; !ended; {
				d.Signal(syscall.SIGHUP)
				select {
				case <-d.Exited:
					ended = true
				case <-time.After(100 * time.Microsecond):
				}
			}
			d.expectEnded()
		}
	})

	It("does not cut a stop short if it is a second SIGTERM", func() {
		d := startDaemon(binary, store)
		d.waitStarted()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		d.Terminate()
		time.Sleep(100 * time.Millisecond)
		d.Terminate()
		d.expectEnded()
		Expect(time.Since(began)).To(BeNumerically(">", 400*time.Millisecond))
	})

	It("stops it in order if it is a SIGTERM right after it has begun to listen", func() {
		for range daemons {
			d := startDaemon(binary, store)
			d.waitListening()
			d.Terminate()
			d.expectEnded()
		}
	})
})
