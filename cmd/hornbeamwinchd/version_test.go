package main

import (
	"os/exec"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

// Failures were reported without the build that had run.
var _ = Describe("The build of the daemon", Ordered, func() {
	var binary, id string
	BeforeAll(func() {
		binary = buildDaemon()
		text, err := exec.Command("go", "tool", "buildid", binary).Output()
		Expect(err).NotTo(HaveOccurred())
		id = strings.TrimSpace(string(text))
		Expect(id).NotTo(BeEmpty())
	})

	It("is printed by --version", func() {
		text, err := exec.Command(binary, "--version").Output()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(version + " " + id + "\n"))
	})

	It("is in the first line of the log of a host on the platform", func() {
		d := startDaemon(binary, "127.0.0.1:1")
		Eventually(d.Out).WithTimeout(endTimeout).Should(gbytes.Say(`"version":"` + version + `","build":"` + id + `"`))
	})
})
