package main

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A host of the soak", func() {
	It("has one process at a time however many faults restart it", func() {
		dir := GinkgoT().TempDir()
		daemon := filepath.Join(dir, "daemon")
		Expect(os.WriteFile(daemon, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700)).To(Succeed())
		h := &host{daemon: daemon, settings: filepath.Join(dir, "host.yaml"), callerAddress: "127.0.0.1:0"}
		tb := &testbed{checker: &checker{}}
		Expect(h.restart()).To(Succeed())
		DeferCleanup(func() {
			for _, p := range h.processes {
				_ = p.cmd.Process.Kill()
			}
		})
		for n := range 5 {
			<-h.signal(syscall.SIGKILL)
			var faults sync.WaitGroup
			for range 16 {
				faults.Go(func() { tb.restart(h) })
			}
			faults.Wait()
			Expect(h.incarnation()).To(Equal(n + 2))
		}
		Expect(tb.checker.violations()).To(BeEmpty())
	})
})
