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
	// feedCallMargin is added to it before the feeder counts as silent.
	feedCallMargin = 250 * time.Millisecond
	// feedMaxAge bounds the time since the store last answered the feeder. A
	// feeder that was cut off from the store is left in time for a change of
	// the configuration to come into force.
	feedMaxAge = 1600 * time.Millisecond
	// feederBackoff is how long a feeder that has failed is not asked.
	feederBackoff = 3 * time.Second
	// feedBatchDelay lets changes in quick succession be fetched by one call.
	feedBatchDelay = 15 * time.Millisecond
)

var (
	errNotDirect = errors.New("the feeder does not follow the store itself")
	errStaleFeed = errors.New("the store has not answered the feeder for too long")
)

// feedClient follows the store through another entry host of the failure domain,
// which saves the price of a watch for each host.
type feedClient struct {
	conn         *grpc.ClientConn
	feeder       string
	failedFeeder string
	backoffUntil time.Time
}

// usable reports whether a feeder may be asked.
func (f *feedClient) usable(feeder string) bool {
	return feeder != "" && (feeder != f.failedFeeder || time.Now().After(f.backoffUntil))
}

// feedUpdate is what a feeder told.
type feedUpdate struct {
	changes  []ledger.Change
	revision ledger.Revision
	// snapshot says that the changes are all keys that exist.
	snapshot bool
}

// changes asks the feeder for the changes after a revision. After an error the
// store is to be asked.
func (f *feedClient) changes(ctx context.Context, feeder string, after ledger.Revision) (feedUpdate, error) {
	told, err := f.ask(ctx, feeder, after)
	if err != nil {
		f.failedFeeder, f.backoffUntil = feeder, time.Now().Add(feederBackoff)
		f.closeConn()
	}
	return told, err
}

func (f *feedClient) ask(ctx context.Context, feeder string, after ledger.Revision) (feedUpdate, error) {
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
		After: uint64(after), WaitMillis: uint32(feedPollTimeout.Milliseconds()),
	})
	switch {
	case err != nil:
		return feedUpdate{}, err
	case !reply.Direct:
		return feedUpdate{}, errNotDirect
	case time.Duration(reply.AgeMillis)*time.Millisecond > feedMaxAge:
		return feedUpdate{}, errStaleFeed
	}
	told := feedUpdate{
		changes:  make([]ledger.Change, 0, len(reply.Changes)),
		revision: ledger.Revision(reply.Revision),
		snapshot: reply.Snapshot,
	}
	for _, c := range reply.Changes {
		value, err := decompress(c)
		if err != nil {
			return feedUpdate{}, err
		}
		told.changes = append(told.changes, ledger.Change{
			Entry:   ledger.Entry{Key: c.Key, Value: value, Revision: ledger.Revision(c.Revision)},
			Removed: c.Removed,
		})
	}
	return told, nil
}

func (f *feedClient) closeConn() {
	if f.conn != nil {
		// Closing twice is the only error that it can report.
		_ = f.conn.Close()
		f.conn = nil
	}
}
