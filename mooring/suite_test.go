package mooring_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMooring(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mooring")
}
