package jetty

import (
	"context"
	"errors"
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
	// feedMaxAge bounds the time since the store last answered the feeder. It is
	// short enough for other hosts to stop using a feeder that has lost the store
	// before a change of the configuration must be in force.
	feedMaxAge = 1600 * time.Millisecond
	// feederBackoff is how long a feeder is not used after a failed call.
	feederBackoff = 3 * time.Second
	// feedBatchDelay is the pause between two calls, so that one call returns
	// changes in quick succession.
	feedBatchDelay = 15 * time.Millisecond
)

var (
	errNotDirect = errors.New("feeder does not watch the store itself")
	errStaleFeed = errors.New("feeder has had no response from the store for too long")
	errOlderFeed = errors.New("feeder does not know of the store's last restore")
)

// feedClient receives the store's changes from another entry host of the failure
// domain, the feeder. The store charges for each watch; hosts with a feeder need
// none of their own.
type feedClient struct {
	conn         *grpc.ClientConn
	feeder       string
	failedFeeder string
	backoffUntil time.Time
}

// usable reports whether a feeder exists and has not failed recently.
func (f *feedClient) usable(feeder string) bool {
	return feeder != "" && (feeder != f.failedFeeder || time.Now().After(f.backoffUntil))
}

// feedUpdate is the response of a feeder.
type feedUpdate struct {
	changes  []ledger.Change
	revision ledger.Revision
	// snapshot reports whether the changes are all entries that exist.
	snapshot bool
}

// changes requests the changes after a revision from the feeder. After an error
// the feeder is not usable for feederBackoff, and the caller has to use the
// store.
func (f *feedClient) changes(ctx context.Context, feeder string, after ledger.Revision) (feedUpdate, error) {
	update, err := f.fetch(ctx, feeder, after)
	if err != nil {
		f.failedFeeder, f.backoffUntil = feeder, time.Now().Add(feederBackoff)
		f.closeConn()
	}
	return update, err
}

func (f *feedClient) fetch(ctx context.Context, feeder string, after ledger.Revision) (feedUpdate, error) {
	if f.conn == nil || f.feeder != feeder {
		f.closeConn()
		conn, err := dialPeer(feeder)
		if err != nil {
			return feedUpdate{}, err
		}
		f.conn, f.feeder = conn, feeder
	}
	ctx, cancel := context.WithTimeout(ctx, feedPollTimeout+feedCallMargin)
	defer cancel()
	reply, err := signal.NewFeedClient(f.conn).Changes(ctx, &signal.ChangesRequest{
		After: after.Number(), Era: uint32(after.Era()), WaitMillis: uint32(feedPollTimeout.Milliseconds()),
	})
	era := ledger.Era(reply.GetEra())
	switch {
	case err != nil:
		return feedUpdate{}, err
	case !reply.Direct:
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
	update := feedUpdate{changes: make([]ledger.Change, 0, len(reply.Changes)), revision: revision, snapshot: reply.Snapshot}
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

func (f *feedClient) closeConn() {
	if f.conn != nil {
		// Close fails only if the connection is closed already.
		_ = f.conn.Close()
		f.conn = nil
	}
}
