package roster_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRoster(t *testing.T) {
	// The seed is fixed so that every run explores the same interleavings.
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Roster Suite")
}
