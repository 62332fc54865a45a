package sluice_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSluice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sluice")
}
