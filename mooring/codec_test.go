package mooring_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/mooring"
)

// storedTable is a table in the form of the build before, d84c337, which names neither
// eras nor anything else that it would drop when it writes the table again.
const storedTable = `{"service":"readings","next_fence":3298534883330,"holders":[{"server":"a","born":7,"address":"10.0.0.1:80"},` +
	`{"server":"b","born":8,"address":"10.0.0.2:80"}],"rows":[{"from":0,"to":9,"owner":0,"fence":3298534883328},` +
	`{"from":10,"to":65535,"owner":1,"fence":3298534883329,"former":[0],"handover":"x"}]}`

var _ = Describe("A stored table", func() {
	It("keeps the form that the build before reads and writes", func() {
		t, err := mooring.Decode([]byte(storedTable))
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Find(10).Token).To(Equal(mooring.Token(3)<<40 + 1))
		encoded, err := t.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(encoded)).To(Equal(storedTable))
	})
})
