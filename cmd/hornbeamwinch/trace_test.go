package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operators' client")
}

// traceOf returns the trace of a request from the log in testdata.
func traceOf(id string) (string, error) {
	GinkgoHelper()
	data, err := os.ReadFile("testdata/trace.log")
	Expect(err).NotTo(HaveOccurred())
	var b bytes.Buffer
	err = writeTrace(&b, id, readLog(bytes.NewReader(data)))
	return b.String(), err
}

var _ = Describe("A trace", func() {
	It("shows the sends of a request that may have run, in order", func() {
		text, err := traceOf("d7f92e065ce8cda0")
		Expect(err).NotTo(HaveOccurred())
		lines := strings.Split(strings.TrimSpace(text), "\n")
		Expect(lines).To(HaveLen(4))
		Expect(lines[0]).To(ContainSubstring("i-15b55f9294"))
		Expect(lines[1]).To(ContainSubstring("i-6c3fac659c"))
		Expect(lines[3]).To(HavePrefix("cause: it may have run: server i-6c3fac659c"))
	})

	It("names the move that left a key without an owner", func() {
		text, err := traceOf("5d5c4e021bbeef46")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(ContainSubstring("its key 12118 had no owner: keys 12064-12479 of kawu63a went from i-0bdf98ae90 to i-827b320670"))
		Expect(text).To(ContainSubstring("owner_silent"))
	})

	It("tells a restore of the store from an outage", func() {
		log := func(storeLine string) string {
			lines := storeLine + `
{"time":"2026-12-04T11:00:02Z","host":"h","request_id":"x","service":"s","key":7,"outcome":"not_run","reason":"key_without_owner","message":"request_answered"}`
			var b bytes.Buffer
			Expect(writeTrace(&b, "x", readLog(strings.NewReader(lines)))).To(Succeed())
			return b.String()
		}
		Expect(log(`{"time":"2026-12-04T11:00:01Z","host":"h","store_era":4,"store_era_before":3,"message":"store_restored"}`)).
			To(ContainSubstring("h read at 11:00:01.000 that the store had come back from an older copy (era 3, then 4)."))
		Expect(log(`{"time":"2026-12-04T11:00:01Z","host":"h","dependency":"store","message":"dependency_lost"}`)).
			To(ContainSubstring("h lost the store at 11:00:01.000."))
		Expect(log(`{"time":"2026-12-04T10:59:01Z","host":"h","dependency":"store","message":"dependency_lost"}`)).NotTo(ContainSubstring("lost"))
	})

	// Failure: of a request at two servers, the trace names only the one that answered.
	It("names both servers of a second send, and which one counted", func() {
		var b bytes.Buffer
		line := `{"time":"2026-12-06T10:12:07Z","host":"h","request_id":"x","sends":2,"outcome":"whole","server":"t","status":200,` +
			`"first_server":"s","second_server":"t","counted_server":"t","message":"request_answered"}`
		Expect(writeTrace(&b, "x", readLog(strings.NewReader(line)))).To(Succeed())
		Expect(b.String()).To(ContainSubstring("2 sends; at s and t at once, of which t counted"))
	})

	It("says when a request is not in the logs", func() {
		_, err := traceOf("0000000000000000")
		Expect(err).To(MatchError(errNotLogged))
	})

	It("does not decode fields from text that a caller sent", func() {
		forged := `{"time":"2026-03-27T22:58:11Z","host":"h","request_id":"x\",\"outcome\":\"whole","message":"request_refused"}`
		var b bytes.Buffer
		Expect(writeTrace(&b, "x", readLog(strings.NewReader(forged)))).To(MatchError(errNotLogged))
	})
})
