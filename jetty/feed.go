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
	// feedWait is how long a call to the feeder waits for a change.
	feedWait = 400 * time.Millisecond
	// feedSlack is added to it before the feeder counts as silent.
	feedSlack = 250 * time.Millisecond
	// feedMaxAge bounds the time since the store last answered the feeder. A
	// feeder that was cut off from the store is left in time for a change of
	// the configuration to come into force.
	feedMaxAge = 1600 * time.Millisecond
	// feedAvoid is how long a feeder that has failed is not asked.
	feedAvoid = 3 * time.Second
	// feedPause lets changes in quick succession be fetched by one call.
	feedPause = 15 * time.Millisecond
)

var (
	errNotDirect = errors.New("the feeder does not follow the store itself")
	errStaleFeed = errors.New("the store has not answered the feeder for too long")
)

// feed follows the store through another entry host of the failure domain,
// which saves the price of a watch for each host.
type feed struct {
	conn  *grpc.ClientConn
	from  string
	avoid string
	until time.Time
}

// usable reports whether a feeder may be asked.
func (f *feed) usable(feeder string) bool {
	return feeder != "" && (feeder != f.avoid || time.Now().After(f.until))
}

// fed is what a feeder told.
type fed struct {
	changes  []ledger.Change
	revision ledger.Revision
	// snapshot says that the changes are all keys that exist.
	snapshot bool
}

// changes asks the feeder for the changes after a revision. After an error the
// store is to be asked.
func (f *feed) changes(ctx context.Context, feeder string, after ledger.Revision) (fed, error) {
	told, err := f.ask(ctx, feeder, after)
	if err != nil {
		f.avoid, f.until = feeder, time.Now().Add(feedAvoid)
		f.hangUp()
	}
	return told, err
}

func (f *feed) ask(ctx context.Context, feeder string, after ledger.Revision) (fed, error) {
	if f.conn == nil || f.from != feeder {
		f.hangUp()
		conn, err := dialPeer(feeder)
		if err != nil {
			return fed{}, err
		}
		f.conn, f.from = conn, feeder
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	reply, err := signal.NewFeedClient(f.conn).Changes(ctx, &signal.ChangesRequest{
		After: uint64(after), WaitMillis: uint32(feedWait.Milliseconds()),
	})
	switch {
	case err != nil:
		return fed{}, err
	case !reply.Direct:
		return fed{}, errNotDirect
	case time.Duration(reply.AgeMillis)*time.Millisecond > feedMaxAge:
		return fed{}, errStaleFeed
	}
	told := fed{
		changes:  make([]ledger.Change, 0, len(reply.Changes)),
		revision: ledger.Revision(reply.Revision),
		snapshot: reply.Snapshot,
	}
	for _, c := range reply.Changes {
		value, err := unpack(c)
		if err != nil {
			return fed{}, err
		}
		told.changes = append(told.changes, ledger.Change{
			Entry:   ledger.Entry{Key: c.Key, Value: value, Revision: ledger.Revision(c.Revision)},
			Removed: c.Removed,
		})
	}
	return told, nil
}

func (f *feed) hangUp() {
	if f.conn != nil {
		// Closing twice is the only error that it can report.
		_ = f.conn.Close()
		f.conn = nil
	}
}
