package jetty

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

// eraStore is a store with conditional writes, which can come back from an older copy.
type eraStore struct {
	*fakeStore

	era    ledger.Era
	number uint64
	items  map[string]ledger.Entry
}

func newEraStore() *eraStore {
	return &eraStore{fakeStore: newFakeStore(), era: 1, items: make(map[string]ledger.Entry)}
}

func (s *eraStore) revision() ledger.Revision {
	r, err := ledger.NewRevision(s.era, s.number)
	Expect(err).NotTo(HaveOccurred())
	return r
}

// Get implements ledger.TxnStore.
func (s *eraStore) Get(_ context.Context, key string) (ledger.Entry, error) {
	e, ok := s.items[key]
	if !ok {
		return e, &ledger.Error{Op: "get", Kind: ledger.KindNotFound, Err: errFake}
	}
	return e, nil
}

// Scan implements ledger.TxnStore.
func (s *eraStore) Scan(_ context.Context, prefix string) ([]ledger.Entry, ledger.Revision, error) {
	var found []ledger.Entry
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	return found, s.revision(), nil
}

// Commit implements ledger.TxnStore. Like the platform's store, it compares the numbers
// of revisions only.
func (s *eraStore) Commit(_ context.Context, txn ledger.Txn) (ledger.Revision, error) {
	for _, e := range txn.Expect {
		if s.items[e.Key].Revision.Number() != e.Revision.Number() {
			return 0, &ledger.Error{Op: "commit", Kind: ledger.KindConflict, Key: e.Key, Err: errFake}
		}
	}
	for _, w := range txn.Put {
		s.number++
		s.items[w.Key] = ledger.Entry{Key: w.Key, Value: w.Value, Revision: s.revision()}
	}
	for _, key := range txn.Remove {
		s.number++
		delete(s.items, key)
	}
	return s.revision(), nil
}

// restore has the store come back from its content at a number of writes.
func (s *eraStore) restore(number uint64) {
	s.era++
	s.number = number
	for key, e := range s.items {
		if e.Revision.Number() > number {
			delete(s.items, key)
			continue
		}
		r, err := ledger.NewRevision(s.era, e.Revision.Number())
		Expect(err).NotTo(HaveOccurred())
		e.Revision = r
		s.items[key] = e
	}
}

var _ = Describe("The fence of an era", func() {
	ctx := context.Background()

	It("tells each host that raises it that the store has come back", func() {
		s := newEraStore()
		_, err := raiseEraFence(ctx, s, 1)
		Expect(err).NotTo(HaveOccurred())
		s.restore(s.number)
		for range 2 {
			fence, err := raiseEraFence(ctx, s, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(fence.restored).To(BeTrue())
		}
	})

	It("stops a write of an earlier era whose revision has been given out again", func() {
		s := newEraStore()
		fence, err := raiseEraFence(ctx, s, 1)
		Expect(err).NotTo(HaveOccurred())
		copied := s.number
		earlier, err := s.Commit(ctx, fence.guard(ledger.Txn{Put: []ledger.Write{{Key: "table", Value: []byte("1")}}}))
		Expect(err).NotTo(HaveOccurred())
		late := fence.guard(ledger.Txn{
			Expect: []ledger.Expectation{{Key: "table", Revision: earlier}},
			Put:    []ledger.Write{{Key: "table", Value: []byte("late")}},
		})

		s.restore(copied)
		next, err := raiseEraFence(ctx, s, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.restored).To(BeTrue())
		s.number = earlier.Number() - 1
		_, err = s.Commit(ctx, next.guard(ledger.Txn{Put: []ledger.Write{{Key: "table", Value: []byte("2")}}}))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.items["table"].Revision.Number()).To(Equal(earlier.Number()))
		_, err = s.Commit(ctx, late)
		Expect(ledger.IsKind(err, ledger.KindConflict)).To(BeTrue())
		Expect(string(s.items["table"].Value)).To(Equal("2"))
	})

	// A claim by a host that has not followed the store since the system first started takes
	// an era without records for the first, and grants keys that servers hold.
	It("tells each host that an era without earlier records may follow another one, unless the system first started in it", func() {
		for first, restored := range map[ledger.Era]bool{0: true, 1: true, 2: false} {
			s := newEraStore()
			s.restore(0)
			for range 2 {
				fence, err := raiseEraFence(ctx, s, first)
				Expect(err).NotTo(HaveOccurred())
				Expect(fence.restored).To(Equal(restored), "first era %d", first)
				// A later claim goes by what the first one has recorded.
				first = 0
			}
		}
	})

	It("is recorded once", func() {
		s := newEraStore()
		first, err := raiseEraFence(ctx, s, 1)
		Expect(err).NotTo(HaveOccurred())
		writes := s.number
		second, err := raiseEraFence(ctx, s, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.record).To(Equal(first.record))
		Expect(s.number).To(Equal(writes))
	})

	It("tells a record of the copy from one that was written since", func() {
		fence := eraFence{record: ledger.Expectation{Key: "k", Revision: 10}, created: true}
		Expect(fence.mayPrecede(9, true)).To(BeTrue())
		Expect(fence.mayPrecede(11, true)).To(BeFalse())
		Expect(fence.mayPrecede(9, false)).To(BeFalse(), "first claim of a host that knows of eras")
	})
})

var _ = Describe("A placer's term of an earlier era", func() {
	record := func(e *election, era ledger.Era, number uint64, address string) {
		r, err := ledger.NewRevision(era, number)
		Expect(err).NotTo(HaveOccurred())
		e.clusterState.setPlacer(placerRecord{address: address, revision: r})
	}
	termOf := func(era ledger.Era, number uint64, ttl time.Duration) *term {
		r, err := ledger.NewRevision(era, number)
		Expect(err).NotTo(HaveOccurred())
		t := &term{revision: r, ttl: ttl}
		t.confirm(bootTimeNow())
		return t
	}

	It("ends, also if the copy has no record of a placer", func() {
		e, _ := newTestElection(newFakeStore())
		r := &termRunner{election: e, term: termOf(1, 50, time.Second)}
		record(e, 1, 50, e.address)
		Expect(r.mustStop()).To(BeFalse())
		record(e, 2, 10, "")
		Expect(r.mustStop()).To(BeTrue())
	})

	It("does not take the table of the next era", func() {
		s := newEraStore()
		encoded, err := mooring.NewTable("readings").Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Commit(context.Background(), ledger.Txn{Put: []ledger.Write{{Key: tableKey("readings"), Value: encoded}}})
		Expect(err).NotTo(HaveOccurred())
		e, _ := newTestElection(s)
		w := &actionWorker{termRunner: &termRunner{election: e, term: termOf(1, 50, time.Second)}}
		loaded, err := w.tryLoad(context.Background(), "readings")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Table).NotTo(BeNil())
		s.restore(0)
		_, err = w.tryLoad(context.Background(), "readings")
		Expect(err).To(MatchError(errTermEnded), "no table in the copy")
	})

	It("leaves a record that its host replaces at once, and no other host", func() {
		for _, own := range []bool{true, false} {
			e, _ := newTestElection(newFakeStore())
			e.former = &formerTerm{term: termOf(1, 50, time.Second)}
			address := e.address
			if !own {
				address = "10.0.0.9:1"
			}
			record(e, 1, 50, address)
			Expect(e.vacant()).To(BeFalse(), "a record of the same era")
			record(e, 2, 10, address)
			Expect(e.vacant()).To(Equal(own))
			if own {
				Expect(e.claimConfig().Replaces.Number()).To(Equal(uint64(10)))
			}
		}
	})

	It("has its host replace the record of an earlier placer, if the store came back within its lease", func() {
		for _, ttl := range []time.Duration{time.Second, -time.Second} {
			e, _ := newTestElection(newFakeStore())
			e.former = &formerTerm{term: termOf(1, 50, ttl)}
			e.former.term.recordRestore()
			record(e, 1, 50, e.address)
			record(e, 2, 10, "10.0.0.9:1")
			Expect(e.vacant()).To(Equal(ttl > 0))
			if ttl > 0 {
				Expect(e.claimConfig().ReplacesOther).To(BeTrue())
			}
			record(e, 3, 10, "10.0.0.9:1")
			Expect(e.vacant()).To(BeFalse(), "after another restore")
		}
	})

	It("leaves the claim to the last placer for a while if that was another host", func() {
		for _, own := range []bool{true, false} {
			e, _ := newTestElection(newFakeStore())
			e.former = &formerTerm{term: termOf(1, 50, -time.Second)}
			record(e, 1, 60, "10.0.0.9:1")
			e.clusterState.setRestored(bootTimeNow())
			if own {
				record(e, 2, 10, e.address)
			} else {
				record(e, 2, 10, "")
			}
			Expect(e.vacant()).To(BeFalse())
			e.clusterState.restoredAt = bootTimeNow().Add(-lastPlacerPrecedence)
			Expect(e.vacant()).To(BeTrue())
		}
	})

	// claimAfter has a host whose term the store has outlived claim in the next era, with a
	// record of a placer that is written before the store is copied or after it has come back.
	claimAfter := func(beforeCopy bool) (*term, *formerTerm, error) {
		GinkgoHelper()
		ctx := context.Background()
		s := newEraStore()
		claimed := func() ledger.Revision {
			_, err := raiseEraFence(ctx, s, 1)
			Expect(err).NotTo(HaveOccurred())
			r, err := s.Commit(ctx, ledger.Txn{Put: []ledger.Write{
				{Key: placerListKey, Value: []byte(`{"addresses":["10.0.0.9:1"]}`)}, {Key: placerKey, Value: []byte("10.0.0.9:1")},
			}})
			Expect(err).NotTo(HaveOccurred())
			return r
		}
		claimed()
		copied := s.number
		former := &formerTerm{term: termOf(1, copied+1, time.Second)}
		former.term.recordRestore()
		former.term.leaseUntil.Store(0)
		s.restore(copied)
		if !beforeCopy {
			claimed()
		}
		t, err := claimTerm(ctx, termConfig{
			Store: s, TTL: time.Second, Address: "10.0.0.1:1", Logs: quietLogs(), Era: 2, Restored: true, Former: former,
			Replaces: s.items[placerKey].Revision, ReplacesOther: true,
		})
		return t, former, err
	}

	It("is continued over the record of an earlier placer after its lease has ended", func() {
		t, former, err := claimAfter(true)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.continued).To(Equal(former))
		Expect(t.predecessorUntil()).To(BeNumerically("<=", max(t.began, former.term.began.Add(orderGracePeriod))))
	})

	It("is not continued, and replaces nothing, once another host has claimed in the next era", func() {
		_, former, err := claimAfter(false)
		Expect(ledger.IsKind(err, ledger.KindConflict)).To(BeTrue())
		Expect(former.continues(2)).To(BeFalse())
	})

	It("is continued only within its lease and into the next era", func() {
		former := &formerTerm{term: termOf(1, 50, time.Second)}
		Expect(former.continues(2)).To(BeTrue())
		Expect(former.continues(1)).To(BeFalse())
		Expect(former.continues(3)).To(BeFalse())
		Expect((&formerTerm{term: termOf(1, 50, -time.Second)}).continues(2)).To(BeFalse())
		Expect((*formerTerm)(nil).continues(2)).To(BeFalse())
	})

	It("is not continued once it was given up, since another host may have been the placer", func() {
		former := &formerTerm{term: termOf(1, 50, time.Second)}
		former.term.store, former.term.logs = newFakeStore(), quietLogs()
		Expect(former.term.resign(context.Background())).To(Succeed())
		Expect(former.continues(2)).To(BeFalse())
	})

	DescribeTable("is continued after a failed renewal",
		func(cause error, continued bool) {
			former := &formerTerm{term: termOf(1, 50, time.Second)}
			s := newFakeStore()
			s.err = &ledger.Error{Op: "renew lease", Kind: ledger.KindNotFound, Err: cause}
			former.term.store, former.term.logs = s, quietLogs()
			former.term.run(context.Background())
			Expect(former.continues(2)).To(Equal(continued))
		},
		Entry("if the store has come back from an older copy", ledger.ErrEraChanged, true),
		Entry("not if the lease has ended in its own era", errFake, false),
	)
})

var _ = Describe("What a host knows when the store comes back from an older copy", func() {
	var w *watcher
	revision := func(era ledger.Era, number uint64) ledger.Revision {
		r, err := ledger.NewRevision(era, number)
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	entry := func(key, value string, r ledger.Revision) ledger.Entry {
		return ledger.Entry{Key: key, Value: []byte(value), Revision: r}
	}
	encoded := func(next mooring.Token) string {
		t := mooring.NewTable("readings")
		t.NextToken = next
		data, err := t.Encode()
		Expect(err).NotTo(HaveOccurred())
		return string(data)
	}
	knownToken := func() mooring.Token { return w.admissions.ownersOf("readings").current.Load().table.NextToken }
	BeforeEach(func() {
		w = &watcher{
			protocol: fakeProtocol{}, clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			logs: quietLogs(), changeLog: newChangeLog(), memory: &memory{}, onChange: func() {}, missing: make(map[fairway.ServerID]bool), sources: newFeedSources("own", noDelay),
		}
		w.applySnapshot([]ledger.Entry{
			entry("server/a", "", revision(1, 5)), entry("server/b", "", revision(1, 6)), entry("config", "123", revision(1, 7)),
			entry(tableKey("readings"), encoded(9), revision(1, 8)),
		}, revision(1, 8), true)
		w.advance([]ledger.Change{{Entry: entry("server/a", "", revision(1, 9)), Removed: true}}, revision(1, 9), true)
	})
	restore := func() {
		w.applySnapshot([]ledger.Entry{
			entry("server/a", "", revision(2, 5)), entry("config", "12", revision(2, 4)), entry(tableKey("readings"), encoded(7), revision(2, 5)),
		}, revision(2, 6), true)
	}

	It("has a server that has left stay so until it registers again", func() {
		restore()
		a, _ := w.clusterState.catalog().Get("a")
		Expect(a.Draining).To(BeTrue())
		w.advance([]ledger.Change{{Entry: entry("server/a", "", revision(2, 7))}}, revision(2, 7), true)
		a, _ = w.clusterState.catalog().Get("a")
		Expect(a.Draining).To(BeFalse())
	})

	It("believes a registration of the copy that the store still lists after a while", func() {
		restore()
		w.acceptCopied()
		a, _ := w.clusterState.catalog().Get("a")
		Expect(a.Draining).To(BeTrue())
		w.copiedUntil = time.Now()
		w.acceptCopied()
		a, _ = w.clusterState.catalog().Get("a")
		Expect(a.Draining).To(BeFalse())
	})

	It("does not bring a server back whose registration has expired meanwhile", func() {
		restore()
		w.advance([]ledger.Change{{Entry: entry("server/a", "", revision(2, 7)), Removed: true}}, revision(2, 7), true)
		w.copiedUntil, w.unconfirmedUntil = time.Now(), time.Now()
		w.acceptCopied()
		w.removeMissing()
		_, known := w.clusterState.catalog().Get("a")
		Expect(known).To(BeFalse())
	})

	It("keeps a server that the copy does not have for a while", func() {
		restore()
		b, known := w.clusterState.catalog().Get("b")
		Expect(known).To(BeTrue())
		Expect(b.Unconfirmed).To(BeTrue())
	})

	It("does not include when the store came back, if it has started since", func() {
		e, _ := newTestElection(newFakeStore())
		began := bootTimeNow()
		r := &termRunner{election: e, term: &term{revision: revision(2, 9), began: began, fence: eraFence{restored: true}}}
		Expect(r.recovery("readings").ServersKnownAt).To(Equal(began.Add(reregisterTimeout)))
	})

	It("is not replaced by an older configuration or table", func() {
		restore()
		Expect(w.clusterState.activeConfig.Current().Version).To(Equal(fairway.Version(3)))
		Expect(knownToken()).To(Equal(mooring.Token(9)))
		w.advance([]ledger.Change{{Entry: entry(tableKey("readings"), encoded(8), revision(2, 7))}}, revision(2, 7), true)
		Expect(knownToken()).To(Equal(mooring.Token(8)), "a table of the next era")
	})
})

var _ = Describe("The era in which the system first started", func() {
	firstEra := func(firstStart bool, startedBefore time.Duration) ledger.Era {
		GinkgoHelper()
		w := &watcher{
			store: newEraStore(), protocol: fakeProtocol{}, clusterState: newClusterState(fairway.NewActiveConfig()), admissions: newAdmissionSet(admissionSetConfig{}),
			logs: quietLogs(), changeLog: newChangeLog(), memory: &memory{}, onChange: func() {}, missing: make(map[fairway.ServerID]bool),
			sources: newFeedSources("own", noDelay), firstStart: firstStart, startedAt: bootTimeNow().Add(-startedBefore),
		}
		Expect(w.scan(context.Background())).To(Succeed())
		return w.clusterState.knownFirstEra()
	}

	It("is known to a host that starts with the system and reads the store before any keys can be granted", func() {
		Expect(firstEra(true, 0)).To(Equal(ledger.Era(1)))
	})

	It("is not known to a host that starts later, or reads the store later", func() {
		Expect(firstEra(false, 0)).To(BeZero())
		Expect(firstEra(true, firstReadTimeout)).To(BeZero())
	})
})

var _ = Describe("A host of this build beside one of the build before, which knows no era", func() {
	numberOf := func(r ledger.Revision, err error) ledger.Revision {
		GinkgoHelper()
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	at := numberOf(ledger.NewRevision(3, 40))

	It("sends it the revisions that the store counts", func() {
		l := newChangeLog()
		l.reset([]ledger.Entry{{Key: "a", Revision: at}}, at, true)
		reply, err := l.Changes(context.Background(), &signal.ChangesRequest{After: 39, WaitMillis: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Revision).To(Equal(uint64(40)))
		reply, err = l.Changes(context.Background(), &signal.ChangesRequest{After: 40, WaitMillis: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Snapshot).To(BeFalse())
		Expect(reply.Changes).To(BeEmpty())
	})

	It("sends a host of this build that has missed a restore a snapshot", func() {
		l := newChangeLog()
		l.reset([]ledger.Entry{{Key: "a", Revision: at}}, at, true)
		reply, err := l.Changes(context.Background(), &signal.ChangesRequest{After: 90, Era: 2, WaitMillis: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Snapshot).To(BeTrue())
		Expect(reply.Era).To(Equal(uint32(3)))
	})

	It("does not use it as a feeder", func() {
		l := newChangeLog()
		l.reset(nil, 40, true)
		f := &feedClient{}
		address := serveFeed(l)
		DeferCleanup(func() { f.closeConn(address) })
		_, err := f.changes(context.Background(), peerSource{address: address, wait: true}, at)
		Expect(err).To(MatchError(errOlderFeed))
	})

	It("ends its terms at its word, by the revisions of the present era", func() {
		e, _ := newTestElection(newFakeStore())
		e.clusterState.setPlacer(placerRecord{revision: at})
		s := &termsServer{election: e}
		_, err := s.EndTerms(context.Background(), &signal.EndTermsRequest{Before: 41})
		Expect(err).NotTo(HaveOccurred())
		Expect(e.endedBefore).To(Equal(at + 1))
	})
})
