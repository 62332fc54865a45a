package jetty

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/mooring"
	"hornbeamwinch.example/signal"
)

const (
	// endTermsTimeout bounds a call to an earlier placer, which answers when its
	// longest order in flight has ended.
	endTermsTimeout = releaseTimeout + 100*time.Millisecond
	// endTermsRetryDelay is the pause before a failed call is repeated.
	endTermsRetryDelay = 200 * time.Millisecond
	// maxListedPlacers bounds the stored list of placers.
	maxListedPlacers = 6
)

// placerListKey is the key of the stored list of placers. It has no lease, so it
// outlives the placer.
const placerListKey = internalPrefix + "placers"

// placerList is the stored list of the hosts that may still send orders as the
// placer: the present placer, and earlier ones whose terms have not been confirmed
// to have ended.
type placerList struct {
	// Addresses are the hosts' peer addresses, the latest first.
	Addresses []string `json:"addresses"`
	// Incomplete reports whether earlier hosts were left out, or whether the
	// stored list could not be decoded. Then the responses of the listed hosts do
	// not prove that all terms have ended.
	Incomplete bool `json:"incomplete,omitempty"`
}

// readPlacers reads the stored list and its revision. A list that cannot be
// decoded is replaced by an incomplete one.
func readPlacers(ctx context.Context, store ledger.TxnStore, logs *logs) (placerList, ledger.Revision, error) {
	e, err := store.Get(ctx, placerListKey)
	if ledger.IsKind(err, ledger.KindNotFound) {
		return placerList{}, 0, nil
	}
	if err != nil {
		return placerList{}, 0, err
	}
	var list placerList
	if err := json.Unmarshal(e.Value, &list); err != nil {
		logs.recordUnreadable(UnreadableRecord{Key: placerListKey, Err: err})
		list = placerList{Incomplete: true}
	}
	return list, e.Revision, nil
}

func (l placerList) encode() ([]byte, error) {
	return json.Marshal(l)
}

func (l placerList) empty() bool {
	return len(l.Addresses) == 0 && !l.Incomplete
}

// without returns the list without an address. A host is not its own
// predecessor: it ends its own earlier term itself, and an earlier process at the
// same address has exited.
func (l placerList) without(address string) placerList {
	l.Addresses = slices.DeleteFunc(slices.Clone(l.Addresses), func(a string) bool { return a == address })
	return l
}

// with returns the list with an address in front. The oldest addresses beyond
// maxListedPlacers are left out.
func (l placerList) with(address string) placerList {
	l.Addresses = append([]string{address}, l.Addresses...)
	if len(l.Addresses) > maxListedPlacers {
		l.Addresses = l.Addresses[:maxListedPlacers]
		l.Incomplete = true
	}
	return l
}

// merge returns the list with the hosts of another one.
func (l placerList) merge(other placerList) placerList {
	l.Addresses = slices.Clone(l.Addresses)
	for _, address := range other.Addresses {
		if !slices.Contains(l.Addresses, address) {
			l.Addresses = append(l.Addresses, address)
		}
	}
	l.Incomplete = l.Incomplete || other.Incomplete
	return l
}

// takeover ends the terms of earlier placers by calling their hosts. The term of a
// host that cannot be reached has ended when its orders are too old to be sent;
// see orderGracePeriod.
type takeover struct {
	term *term
	// ended receives the instant at which all earlier terms were confirmed to
	// have ended.
	ended chan<- mooring.Instant
	logs  *logs
}

// run calls the earlier placers until all have answered or can no longer have
// orders in flight. Then it removes them from the stored list.
func (t *takeover) run(ctx context.Context) {
	if t.term.predecessors.empty() {
		return
	}
	until := t.term.predecessorUntil()
	callCtx, cancel := context.WithTimeout(ctx, until.Sub(bootTimeNow()))
	defer cancel()
	if t.endPredecessors(callCtx) {
		at := bootTimeNow()
		t.logs.earlierPlacersEnded(t.term.predecessors.Addresses, at.Sub(t.term.began))
		t.ended <- at
	} else {
		<-callCtx.Done()
	}
	if ctx.Err() == nil {
		t.pruneList(ctx)
	}
}

// endPredecessors calls every earlier placer and reports whether all have
// confirmed that their terms have ended.
func (t *takeover) endPredecessors(ctx context.Context) bool {
	if t.term.predecessors.Incomplete {
		return false
	}
	var calls sync.WaitGroup
	var unanswered atomic.Int64
	for _, address := range t.term.predecessors.Addresses {
		c := &endTermsCall{address: address, before: t.term.revision, logs: t.logs, unanswered: &unanswered}
		calls.Go(func() { c.run(ctx) })
	}
	calls.Wait()
	return unanswered.Load() == 0
}

// pruneList removes the ended placers from the stored list.
func (t *takeover) pruneList(ctx context.Context) {
	list, err := placerList{}.with(t.term.address).encode()
	if err == nil {
		_, err = t.term.store.Commit(ctx, t.term.fence.guard(ledger.Txn{
			Expect: []ledger.Expectation{{Key: placerKey, Revision: t.term.revision}},
			Put:    []ledger.Write{{Key: placerListKey, Value: list}},
		}))
	}
	if err != nil {
		// Placers that have ended stay in the list. The next placer waits for
		// orderGracePeriod if one of them does not answer.
		t.logs.operationFailed("prune stored list of placers", err)
	}
}

// endTermsCall ends the terms of one host that began before a revision, by a call
// to that host.
type endTermsCall struct {
	address string
	before  ledger.Revision
	logs    *logs
	// unanswered counts the hosts that have not answered in time.
	unanswered *atomic.Int64
}

// run repeats the call until it succeeds or ctx is done.
func (c *endTermsCall) run(ctx context.Context) {
	for {
		err := c.call(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			c.unanswered.Add(1)
			c.logs.operationFailed("end terms of "+c.address, err)
			return
		}
		pause(ctx, endTermsRetryDelay)
	}
}

func (c *endTermsCall) call(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, endTermsTimeout)
	defer cancel()
	conn, err := dialPeer(c.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = signal.NewTermsClient(conn).EndTerms(ctx, &signal.EndTermsRequest{Before: c.before.Number(), Era: uint32(c.before.Era())}, grpc.WaitForReady(true))
	return err
}

// termsServer serves the calls of later placers, which end the terms of this
// host. It implements signal.TermsServer.
type termsServer struct {
	signal.UnimplementedTermsServer

	election *election
}

// EndTerms implements signal.TermsServer.
func (s *termsServer) EndTerms(ctx context.Context, r *signal.EndTermsRequest) (*signal.EndTermsReply, error) {
	era := ledger.Era(r.Era)
	if era == 0 {
		era = s.election.clusterState.currentPlacer().revision.Era()
	}
	before, err := ledger.NewRevision(era, r.Before)
	if err != nil {
		return nil, err
	}
	if err := s.election.endTermsBefore(ctx, before); err != nil {
		return nil, err
	}
	return &signal.EndTermsReply{}, nil
}
