package jetty

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

// instance returns a server of the tests of owner tables.
func instance(id fairway.ServerID) mooring.ServerInstance {
	return mooring.ServerInstance{Server: id, Incarnation: 7, Address: "10.0.0.9:80"}
}

// tableWith returns a table in which keys 100 to 199 are assigned as given, and
// the others to server a under token 1.
func tableWith(middle mooring.Assignment) *mooring.Table {
	middle.KeyRange = mooring.KeyRange{From: 100, To: 199}
	return &mooring.Table{Service: "readings", NextToken: 50, Assignments: []mooring.Assignment{
		{KeyRange: mooring.KeyRange{From: 0, To: 99}, Owner: instance("a"), Token: 1},
		middle,
		{KeyRange: mooring.KeyRange{From: 200, To: mooring.MaxKey}, Owner: instance("a"), Token: 1},
	}}
}

func grantedTo(id fairway.ServerID, token mooring.Token) []mooring.Assignment {
	return []mooring.Assignment{{KeyRange: mooring.KeyRange{From: 100, To: 199}, Owner: instance(id), Token: token}}
}

// expectOwner asserts which server gets the requests for key 150, and that other
// keys are not affected. An empty id stands for no owner.
func expectOwner(t *ownerTable, id fairway.ServerID) {
	GinkgoHelper()
	owner, _, ok := t.Owner(150)
	Expect(ok).To(Equal(id != ""))
	Expect(owner.Server).To(Equal(id))
	for _, key := range []mooring.Key{99, 200} {
		owner, _, _ := t.Owner(key)
		Expect(owner.Server).To(Equal(fairway.ServerID("a")))
	}
}

var _ = Describe("The owner of a key whose grant is not recorded", func() {
	const now = mooring.Instant(time.Minute)
	var t *ownerTable
	BeforeEach(func() {
		t = &ownerTable{}
		moving := mooring.Assignment{Owner: instance("b"), Token: 5, FormerOwners: []mooring.ServerInstance{instance("a")}}
		Expect(t.update(now, tableWith(moving), 10)).To(BeTrue())
		expectOwner(t, "")
	})

	It("is the next owner of a range that is recorded as moving", func() {
		Expect(t.addGranted(grantedTo("b", 5))).To(BeTrue())
		expectOwner(t, "b")
		Expect(t.addGranted(grantedTo("b", 5))).To(BeFalse(), "the same again")
	})

	It("is known although the host missed the record of the move", func() {
		Expect(t.addGranted(grantedTo("c", 6))).To(BeTrue())
		expectOwner(t, "c")
		token, _ := t.tokenOf(150)
		Expect(token).To(Equal(mooring.Token(6)))
	})

	It("is not taken back by an older grant", func() {
		Expect(t.addGranted(grantedTo("c", 6))).To(BeTrue())
		t.addGranted(grantedTo("b", 5))
		expectOwner(t, "c")
		Expect(t.addGranted(grantedTo("a", 4))).To(BeFalse(), "older than the table")
		expectOwner(t, "c")
	})

	It("is still known after a table that does not record it", func() {
		Expect(t.addGranted(grantedTo("b", 5))).To(BeTrue())
		moving := mooring.Assignment{Owner: instance("b"), Token: 5, FormerOwners: []mooring.ServerInstance{instance("a")}}
		Expect(t.update(now, tableWith(moving), 11)).To(BeTrue())
		expectOwner(t, "b")
	})

	It("gives way to a table with a higher token", func() {
		Expect(t.addGranted(grantedTo("b", 5))).To(BeTrue())
		moving := mooring.Assignment{Owner: instance("c"), Token: 7, FormerOwners: []mooring.ServerInstance{instance("b")}}
		Expect(t.update(now, tableWith(moving), 12)).To(BeTrue())
		expectOwner(t, "")
		Expect(t.current.Load().granted).To(BeEmpty())
	})

	It("is forgotten once a table records it", func() {
		Expect(t.addGranted(grantedTo("b", 5))).To(BeTrue())
		Expect(t.update(now, tableWith(mooring.Assignment{Owner: instance("b"), Token: 5}), 13)).To(BeTrue())
		expectOwner(t, "b")
		Expect(t.current.Load().granted).To(BeEmpty())
	})

	It("reaches the other hosts with the placer's next reply", func() {
		l := newLoadCollector()
		l.isPlacer = func() bool { return true }
		l.setGranted("readings", grantedTo("b", 5))
		reply, err := l.Report(context.Background(), &signal.LoadReport{Host: "other"})
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeGranted(reply.Granted)).To(Equal(map[fairway.ServiceName][]mooring.Assignment{"readings": grantedTo("b", 5)}))
		l.setGranted("readings", nil)
		reply, err = l.Report(context.Background(), &signal.LoadReport{Host: "other"})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Granted).To(BeEmpty())
	})

	It("is not taken from a reply with keys that do not exist", func() {
		Expect(decodeGranted([]*signal.GrantedRange{
			{Service: "readings", FirstKey: 0, LastKey: 65536, Token: 9, Server: "c"},
			{Service: "readings", FirstKey: 9, LastKey: 8, Token: 9, Server: "c"},
		})).To(BeEmpty())
	})
})
