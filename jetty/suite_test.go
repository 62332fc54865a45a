package jetty

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestJetty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jetty")
}
