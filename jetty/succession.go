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
	// endTermsRetry is the pause before the question is repeated.
	endTermsRetry = 200 * time.Millisecond
	// maxListedPlacers bounds the stored list of placers.
	maxListedPlacers = 6
)

// placersKey is the store's key of the list of placers. It is not tied to a
// lease.
const placersKey = ownPrefix + "placers"

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
	e, err := store.Get(ctx, placersKey)
	if ledger.IsKind(err, ledger.KindNotFound) {
		return placerList{}, 0, nil
	}
	if err != nil {
		return placerList{}, 0, err
	}
	var list placerList
	if err := json.Unmarshal(e.Value, &list); err != nil {
		logs.unreadable(Unreadable{Key: placersKey, Err: err})
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

// succession ends the terms of earlier placers. What cannot be asked has ended
// once its orders have.
type succession struct {
	term  *term
	ended chan<- mooring.Instant
	logs  *logs
}

// run asks the earlier placers until all have answered or cannot have orders
// under way any more.
func (s *succession) run(ctx context.Context) {
	if s.term.earlier.empty() {
		return
	}
	until := s.term.predecessorUntil()
	actx, cancel := context.WithTimeout(ctx, until.Sub(bootNow()))
	defer cancel()
	if s.askAll(actx) {
		at := bootNow()
		s.logs.succeeded(s.term.earlier.Addresses, at.Sub(s.term.began))
		s.ended <- at
	} else {
		<-actx.Done()
	}
	if ctx.Err() == nil {
		s.shorten(ctx)
	}
}

// askAll reports whether every earlier placer has said that it has ended.
func (s *succession) askAll(ctx context.Context) bool {
	if s.term.earlier.Incomplete {
		return false
	}
	var calls sync.WaitGroup
	var silent atomic.Int64
	for _, address := range s.term.earlier.Addresses {
		c := &endTermsCall{address: address, before: s.term.revision, logs: s.logs, silent: &silent}
		calls.Go(func() { c.run(ctx) })
	}
	calls.Wait()
	return silent.Load() == 0
}

// shorten removes the ended placers from the stored list.
func (s *succession) shorten(ctx context.Context) {
	list, err := placerList{}.with(s.term.address).encode()
	if err == nil {
		_, err = s.term.store.Commit(ctx, ledger.Txn{
			Expect: []ledger.Expectation{{Key: placerKey, Revision: s.term.revision}},
			Put:    []ledger.Write{{Key: placersKey, Value: list}},
		})
	}
	if err != nil {
		// The next placer asks in vain, and waits.
		s.logs.failure("shorten list of placers", err)
	}
}

// endTermsCall asks one host to end its earlier terms.
type endTermsCall struct {
	address string
	before  ledger.Revision
	logs    *logs
	silent  *atomic.Int64
}

// run repeats the question until it is answered or ctx is done.
func (c *endTermsCall) run(ctx context.Context) {
	for {
		err := c.ask(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			c.silent.Add(1)
			c.logs.failure("end terms of "+c.address, err)
			return
		}
		pause(ctx, endTermsRetry)
	}
}

func (c *endTermsCall) ask(ctx context.Context) error {
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

// terms serves the questions of later placers. It implements
// signal.TermsServer.
type terms struct {
	signal.UnimplementedTermsServer

	placer *placer
}

// EndTerms implements signal.TermsServer.
func (t *terms) EndTerms(ctx context.Context, r *signal.EndTermsRequest) (*signal.EndTermsReply, error) {
	if err := t.placer.endBefore(ctx, ledger.Revision(r.Before)); err != nil {
		return nil, err
	}
	return &signal.EndTermsReply{}, nil
}
