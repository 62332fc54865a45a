package jetty

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/grpc"

	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
)

const (
	// feedPollTimeout is how long a call to the feeder waits for a change.
	feedPollTimeout = 400 * time.Millisecond
	// feedCallMargin is the time beyond feedPollTimeout after which a call without
	// a response has failed.
	feedCallMargin = 250 * time.Millisecond
	// feedMaxAge bounds the time since the store last answered the feeder, or the host
	// that it gets its changes from. It is short enough for other hosts to stop using a
	// feeder that has lost the store before a change of the configuration must be in
	// force.
	feedMaxAge = 1600 * time.Millisecond
	// maxFeedHops is the number of hosts that there may be between the store and a feeder.
	maxFeedHops = 1
	// feedBatchDelay is the pause between two calls, so that one call returns
	// changes in quick succession.
	feedBatchDelay = 15 * time.Millisecond
)

var (
	errNotDirect = errors.New("feeder does not watch the store, or a host that does")
	errStaleFeed = errors.New("feeder has had no response from the store for too long")
	errOlderFeed = errors.New("feeder does not know of the store's last restore")
)

// feedClient receives the store's changes from other entry hosts, the feeders. The store
// charges for each watch; hosts with a feeder need none of their own.
type feedClient struct {
	conns map[string]*grpc.ClientConn
}

// feedUpdate is the response of a feeder.
type feedUpdate struct {
	changes  []ledger.Change
	revision ledger.Revision
	// snapshot reports whether the changes are all entries that exist.
	snapshot bool
	// hops is the number of hosts between the store and the feeder, and age the time since
	// the store answered the last of them.
	hops int
	age  time.Duration
}

// changes requests the changes after a revision from a feeder. After an error, the next
// call opens a new connection.
func (f *feedClient) changes(ctx context.Context, from peerSource, after ledger.Revision) (feedUpdate, error) {
	update, err := f.fetch(ctx, from, after)
	if err != nil {
		f.closeConn(from.address)
	}
	return update, err
}

func (f *feedClient) conn(address string) (*grpc.ClientConn, error) {
	if conn := f.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := dialPeer(address)
	if err != nil {
		return nil, err
	}
	if f.conns == nil {
		f.conns = make(map[string]*grpc.ClientConn)
	}
	f.conns[address] = conn
	return conn, nil
}

func (f *feedClient) fetch(ctx context.Context, from peerSource, after ledger.Revision) (feedUpdate, error) {
	conn, err := f.conn(from.address)
	if err != nil {
		return feedUpdate{}, err
	}
	var wait time.Duration
	if from.wait {
		wait = feedPollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedCallMargin)
	defer cancel()
	reply, err := signal.NewFeedClient(conn).Changes(ctx, &signal.ChangesRequest{
		After: after.Number(), Era: uint32(after.Era()), WaitMillis: uint32(wait.Milliseconds()),
	})
	if err != nil {
		return feedUpdate{}, err
	}
	return decodeChanges(reply, after)
}

// decodeChanges returns the changes after a revision in a reply, or the error for which they
// cannot be used.
func decodeChanges(reply *signal.ChangesReply, after ledger.Revision) (feedUpdate, error) {
	era := ledger.Era(reply.GetEra())
	switch {
	case !reply.Direct || reply.Hops > maxFeedHops:
		return feedUpdate{}, errNotDirect
	case time.Duration(reply.AgeMillis)*time.Millisecond > feedMaxAge:
		return feedUpdate{}, errStaleFeed
	case era < after.Era():
		return feedUpdate{}, errOlderFeed
	}
	revision, err := ledger.NewRevision(era, reply.Revision)
	if err != nil {
		return feedUpdate{}, err
	}
	update := feedUpdate{
		changes: make([]ledger.Change, 0, len(reply.Changes)), revision: revision, snapshot: reply.Snapshot,
		hops: int(reply.Hops), age: time.Duration(reply.AgeMillis) * time.Millisecond,
	}
	for _, c := range reply.Changes {
		value, err := decompress(c)
		if err != nil {
			return feedUpdate{}, err
		}
		changed, err := ledger.NewRevision(era, c.Revision)
		if err != nil {
			return feedUpdate{}, err
		}
		update.changes = append(update.changes, ledger.Change{
			Entry:   ledger.Entry{Key: c.Key, Value: value, Revision: changed},
			Removed: c.Removed,
		})
	}
	return update, nil
}

// closeConn closes the connection to a feeder, if there is one.
func (f *feedClient) closeConn(address string) {
	if conn := f.conns[address]; conn != nil {
		// Close fails only if the connection is closed already.
		_ = conn.Close()
		delete(f.conns, address)
	}
}

// closeExcept closes the connections to feeders that are not in use any more.
func (f *feedClient) closeExcept(addresses []string) {
	for address := range f.conns {
		if !slices.Contains(addresses, address) {
			f.closeConn(address)
		}
	}
}
