package main

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Failure: a mistyped limit, such as 5 for 5 in 100, sends every slow request twice.
var _ = It("The limit of second sends is checked", func() {
	for _, share := range []float64{0, 0.2} {
		Expect((&options{SecondSendShare: share, Platform: true}).check()).To(Succeed())
	}
	for _, share := range []float64{0.21, -0.1, math.NaN()} {
		Expect((&options{SecondSendShare: share, Platform: true}).check()).To(MatchError(ContainSubstring("must be between 0 and 0.2")))
	}
	Expect((&options{SecondSendShare: 0.1}).check()).To(MatchError("--second-send-share requires --platform"))
})

// Failure: the option is set for a deployment that has no coordinators, and nobody notices.
var _ = It("Coordinating by priorities is refused where there are no coordinators", func() {
	Expect((&options{CoordinatePriorities: true, Platform: true}).check()).To(Succeed())
	Expect((&options{CoordinatePriorities: true}).check()).To(MatchError("--coordinate-priorities requires --platform"))
})
