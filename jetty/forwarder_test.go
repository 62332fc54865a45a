package jetty

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/sluice"
)

var _ = Describe("The outcome of a response for its server", func() {
	f := &forwarder{headers: fakeProtocol{}.Headers()}
	key := mooring.Key(7)
	expect := func(r *request, status int, header http.Header, outcome sluice.Outcome) {
		GinkgoHelper()
		Expect(f.serverOutcome(r, &backendResponse{status: status, header: header})).To(Equal(outcome))
	}
	notRun := http.Header{"Not-Run": {"1"}}

	It("is unreachable if the server rejects a request without a key as misdirected, since another server has its address", func() {
		expect(&request{}, http.StatusMisdirectedRequest, notRun, sluice.OutcomeUnreachable)
	})

	It("is misdirected if the server does not own the key of the request", func() {
		expect(&request{key: &key}, http.StatusMisdirectedRequest, notRun, sluice.OutcomeMisdirected)
	})

	It("distinguishes rejections, server errors and ordinary responses", func() {
		expect(&request{}, http.StatusServiceUnavailable, notRun, sluice.OutcomeRejected)
		expect(&request{}, http.StatusInternalServerError, nil, sluice.OutcomeServerError)
		expect(&request{}, http.StatusGatewayTimeout, nil, sluice.OutcomeAnswered)
		expect(&request{}, http.StatusOK, nil, sluice.OutcomeAnswered)
	})
})
