package main

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The limit of second sends", func() {
	// Failure: a mistyped limit, such as 5 for 5 in 100, sends every slow request twice.
	DescribeTable("is checked", func(share float64, platform, ok bool) {
		o := options{SecondSendShare: share, Platform: platform}
		if ok {
			Expect(o.check()).To(Succeed())
		} else {
			Expect(o.check()).To(MatchError(ContainSubstring("--second-send-share")))
		}
	},
		Entry("off", 0.0, false, true),
		Entry("highest", 0.2, true, true),
		Entry("too high", 0.21, true, false),
		Entry("negative", -0.1, true, false),
		Entry("no number", math.NaN(), true, false),
		Entry("of the project's own deployment", 0.1, false, false),
	)
})
