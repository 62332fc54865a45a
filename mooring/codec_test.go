package mooring_test

import (
	"strings"

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

	It("is not read if it is cut off, has more after it, or has a number that is none or too large", func() {
		for n := range len(storedTable) {
			_, err := mooring.Decode([]byte(storedTable[:n]))
			Expect(err).To(HaveOccurred(), "%d bytes", n)
		}
		for _, wrong := range []string{
			storedTable + "}", storedTable + storedTable,
			strings.Replace(storedTable, `"from":0`, `"from":"0"`, 1),
			strings.Replace(storedTable, `"from":0`, `"from":-1`, 1),
			strings.Replace(storedTable, `"from":0`, `"from":0.5`, 1),
			strings.Replace(storedTable, `"to":65535`, `"to":131071`, 1),
			strings.Replace(storedTable, `"owner":1`, `"owner":2`, 1),
			strings.Replace(storedTable, `"former":[0]`, `"former":[-1]`, 1),
			strings.Replace(storedTable, `"rows":[`, `"rows":[[`, 1),
			strings.Replace(storedTable, `"former":[0]`, `"former":0`, 1),
		} {
			_, err := mooring.Decode([]byte(wrong))
			Expect(err).To(HaveOccurred(), wrong)
		}
	})

	It("has nothing of the table that was read before", func() {
		for _, next := range []string{"{}", `{"rows":null,"holders":null}`, `{"service":"readings","next_fence":9,"holders":[],"rows":[{"from":0,"to":65535,"owner":-1,"fence":1}]}`} {
			_, err := mooring.Decode([]byte(storedTable))
			Expect(err).NotTo(HaveOccurred())
			t, err := mooring.Decode([]byte(next))
			if err == nil {
				Expect(t).To(Equal(&mooring.Table{Service: "readings", NextToken: 9, Assignments: []mooring.Assignment{{KeyRange: mooring.KeyRange{From: 0, To: 65535}, Token: 1}}}))
			} else {
				Expect(err).To(MatchError(ContainSubstring("keys from 0 on are not assigned")))
			}
		}
	})

	It("is read if a later build has added fields, and strings are escaped", func() {
		t, err := mooring.Decode([]byte(strings.NewReplacer(`"born":7`, `"born":7,"added":{"a":[1,"}"],"b":null}`, `"handover":"x"`, `"handover":"\u0078"`).Replace(storedTable)))
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Find(10).Handover).To(Equal("x"))
		Expect(t.Find(0).Owner).To(Equal(mooring.ServerInstance{Server: "a", Incarnation: 7, Address: "10.0.0.1:80"}))
	})
})
