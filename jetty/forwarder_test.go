package jetty

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

var _ = Describe("What an answer means for its server", func() {
	f := &forwarder{headers: fakeProtocol{}.Headers()}
	key := mooring.Key(7)
	expect := func(r *request, status int, header http.Header, outcome sluice.Outcome) {
		GinkgoHelper()
		Expect(f.serverOutcome(r, &backendResponse{status: status, header: header})).To(Equal(outcome))
	}
	notRun := http.Header{"Not-Run": {"1"}}

	It("is that another server has its address, if it does not run what any server may", func() {
		expect(&request{}, http.StatusMisdirectedRequest, notRun, sluice.OutcomeUnreachable)
	})

	It("is nothing, if it does not hold a key", func() {
		expect(&request{key: &key}, http.StatusMisdirectedRequest, notRun, sluice.OutcomeMisdirected)
	})

	It("is that it is full, that it fails, or that it is well", func() {
		expect(&request{}, http.StatusServiceUnavailable, notRun, sluice.OutcomeRejected)
		expect(&request{}, http.StatusInternalServerError, nil, sluice.OutcomeServerError)
		expect(&request{}, http.StatusGatewayTimeout, nil, sluice.OutcomeAnswered)
		expect(&request{}, http.StatusOK, nil, sluice.OutcomeAnswered)
	})
})
