package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestHornbeamwinchd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hornbeamwinchd")
}

// buildDaemon returns the path of a newly built daemon, which is removed after the test or the container that asks for it.
func buildDaemon() string {
	GinkgoHelper()
	binary, err := gexec.Build("hornbeamwinch.example/cmd/hornbeamwinchd")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
	return binary
}
