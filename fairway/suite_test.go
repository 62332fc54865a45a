package fairway_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFairway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairway")
}
