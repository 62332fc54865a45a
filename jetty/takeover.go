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
	// endTermsTimeout bounds the question to an earlier placer, which waits for
	// the longest order under way.
	endTermsTimeout = releaseTimeout + 100*time.Millisecond
	// endTermsRetryDelay is the pause before the question is repeated.
	endTermsRetryDelay = 200 * time.Millisecond
	// maxListedPlacers bounds the stored list of placers.
	maxListedPlacers = 6
)

// placerListKey is the store's key of the list of placers. It is not tied to a
// lease.
const placerListKey = internalPrefix + "placers"

// placerList is the stored list of the hosts whose terms may still send orders:
// the placer, and earlier ones that are not known to have ended.
type placerList struct {
	// Addresses are the hosts' peer addresses, the latest first.
	Addresses []string `json:"addresses"`
	// Incomplete says that earlier ones were left out, so that asking the listed
	// ones proves nothing.
	Incomplete bool `json:"incomplete,omitempty"`
}

// readPlacers reads the stored list and its revision. A list that cannot be
// decoded counts as incomplete.
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
// predecessor: it ends its own earlier term itself, and an earlier process with
// its address has ended.
func (l placerList) without(address string) placerList {
	l.Addresses = slices.DeleteFunc(slices.Clone(l.Addresses), func(a string) bool { return a == address })
	return l
}

// with returns the list with an address in front.
func (l placerList) with(address string) placerList {
	l.Addresses = append([]string{address}, l.Addresses...)
	if len(l.Addresses) > maxListedPlacers {
		l.Addresses = l.Addresses[:maxListedPlacers]
		l.Incomplete = true
	}
	return l
}

// takeover ends the terms of earlier placers. What cannot be asked has ended
// once its orders have.
type takeover struct {
	term  *term
	ended chan<- mooring.Instant
	logs  *logs
}

// run asks the earlier placers until all have answered or cannot have orders
// under way any more.
func (s *takeover) run(ctx context.Context) {
	if s.term.predecessors.empty() {
		return
	}
	until := s.term.predecessorUntil()
	actx, cancel := context.WithTimeout(ctx, until.Sub(bootTimeNow()))
	defer cancel()
	if s.endPredecessors(actx) {
		at := bootTimeNow()
		s.logs.earlierPlacersEnded(s.term.predecessors.Addresses, at.Sub(s.term.began))
		s.ended <- at
	} else {
		<-actx.Done()
	}
	if ctx.Err() == nil {
		s.pruneList(ctx)
	}
}

// endPredecessors reports whether every earlier placer has said that it has ended.
func (s *takeover) endPredecessors(ctx context.Context) bool {
	if s.term.predecessors.Incomplete {
		return false
	}
	var calls sync.WaitGroup
	var silent atomic.Int64
	for _, address := range s.term.predecessors.Addresses {
		c := &endTermsCall{address: address, before: s.term.revision, logs: s.logs, unanswered: &silent}
		calls.Go(func() { c.run(ctx) })
	}
	calls.Wait()
	return silent.Load() == 0
}

// pruneList removes the ended placers from the stored list.
func (s *takeover) pruneList(ctx context.Context) {
	list, err := placerList{}.with(s.term.address).encode()
	if err == nil {
		_, err = s.term.store.Commit(ctx, ledger.Txn{
			Expect: []ledger.Expectation{{Key: placerKey, Revision: s.term.revision}},
			Put:    []ledger.Write{{Key: placerListKey, Value: list}},
		})
	}
	if err != nil {
		// The next placer asks in vain, and waits.
		s.logs.operationFailed("shorten list of placers", err)
	}
}

// endTermsCall asks one host to end its earlier terms.
type endTermsCall struct {
	address    string
	before     ledger.Revision
	logs       *logs
	unanswered *atomic.Int64
}

// run repeats the question until it is answered or ctx is done.
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
	_, err = signal.NewTermsClient(conn).EndTerms(ctx, &signal.EndTermsRequest{Before: uint64(c.before)}, grpc.WaitForReady(true))
	return err
}

// termsServer serves the questions of later placers. It implements
// signal.TermsServer.
type termsServer struct {
	signal.UnimplementedTermsServer

	election *election
}

// EndTerms implements signal.TermsServer.
func (t *termsServer) EndTerms(ctx context.Context, r *signal.EndTermsRequest) (*signal.EndTermsReply, error) {
	if err := t.election.endTermsBefore(ctx, ledger.Revision(r.Before)); err != nil {
		return nil, err
	}
	return &signal.EndTermsReply{}, nil
}
