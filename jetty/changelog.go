package jetty

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
)

// minCompressBytes is the size in bytes from which values are compressed.
// Tables, which change often, shrink to a sixth.
const minCompressBytes = 4 << 10

// maxRemovals is the number of removals that are kept for other hosts. A host
// that may have missed older ones receives a snapshot of all entries.
const maxRemovals = 512

// changeLog keeps the latest change of each key of the store and serves these
// changes to other hosts. Earlier changes of a key are
// not kept: no host needs them, and a host that catches up over a slow link could
// not receive them all. It implements signal.FeedServer.
type changeLog struct {
	signal.UnimplementedFeedServer

	mu     sync.Mutex
	latest map[string]ledger.Change
	// compressed caches the compressed values of large entries.
	compressed map[string][]byte
	// removals is the number of removals in latest. Removals up to
	// compactedRevision may have been dropped.
	removals          int
	compactedRevision ledger.Revision
	// revision is the one up to which changes are included.
	revision ledger.Revision
	// storeAnsweredAt is when the store last answered this host, or the host that its
	// changes come from.
	storeAnsweredAt time.Time
	// updatedAt is when the store or a feeder last answered this host.
	updatedAt time.Time
	// direct reports whether the last update came from the store itself. If not, hops is
	// the number of hosts in between, or 0 if it is not known.
	direct bool
	hops   int
	// failing reports whether a call to the store has failed since it last answered.
	failing bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newChangeLog() *changeLog {
	return &changeLog{
		latest: make(map[string]ledger.Change), compressed: make(map[string][]byte), changed: make(chan struct{}),
	}
}

// reset replaces the content by all entries that existed at a revision.
func (l *changeLog) reset(entries []ledger.Entry, revision ledger.Revision, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest = make(map[string]ledger.Change, len(entries))
	l.compressed = make(map[string][]byte)
	for _, e := range entries {
		l.latest[e.Key] = ledger.Change{Entry: e}
	}
	l.removals, l.compactedRevision, l.revision = 0, revision, revision
	l.recordResponse(direct)
	l.notifyWaiters()
}

// add appends changes that follow the last ones.
func (l *changeLog) add(changes []ledger.Change, revision ledger.Revision, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		if l.latest[c.Key].Removed {
			l.removals--
		}
		if c.Removed {
			l.removals++
		}
		l.latest[c.Key] = c
		delete(l.compressed, c.Key)
	}
	if l.removals > maxRemovals {
		l.compactRemovals()
	}
	l.revision = max(l.revision, revision)
	l.recordResponse(direct)
	if len(changes) > 0 {
		l.notifyWaiters()
	}
}

// compactRemovals drops the older half of the removals.
func (l *changeLog) compactRemovals() {
	var removed []ledger.Change
	for _, c := range l.latest {
		if c.Removed {
			removed = append(removed, c)
		}
	}
	slices.SortFunc(removed, byRevision)
	for _, c := range removed[:len(removed)/2] {
		delete(l.latest, c.Key)
		l.compactedRevision = c.Revision
		l.removals--
	}
}

func byRevision(a, b ledger.Change) int {
	return cmp.Compare(a.Revision, b.Revision)
}

func (l *changeLog) recordResponse(direct bool) {
	l.direct = direct
	l.updatedAt = time.Now()
	if direct {
		l.storeAnsweredAt, l.hops, l.failing = l.updatedAt, 0, false
	}
}

// recordFeed records that the update that follows comes from a feeder with a number of
// hosts between itself and the store, which answered the last of them some time ago.
func (l *changeLog) recordFeed(hops int, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.direct, l.hops, l.storeAnsweredAt = false, hops+1, time.Now().Add(-age)
}

// recordFailure records a failed call to the store.
func (l *changeLog) recordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = true
}

// lastUpdate returns when the store, or a feeder that it answers, last answered
// this host.
func (l *changeLog) lastUpdate() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.updatedAt
}

func (l *changeLog) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// storeContact reports whether this host watches the store itself and is answered, and
// when the store last answered it or the host that its changes come from.
func (l *changeLog) storeContact() (direct bool, answeredAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.direct && !l.failing, l.storeAnsweredAt
}

// Changes implements signal.FeedServer.
func (l *changeLog) Changes(ctx context.Context, r *signal.ChangesRequest) (*signal.ChangesReply, error) {
	timeout := time.After(time.Duration(r.WaitMillis) * time.Millisecond)
	after, err := l.requestedRevision(r)
	if err != nil {
		return nil, err
	}
	for {
		reply, changed := l.reply(after)
		if len(reply.Changes) > 0 || reply.Snapshot || !reply.Direct {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout:
			// The reply states the age of the data, which may have grown.
			reply, _ = l.reply(after)
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// requestedRevision returns the revision after which a host asks for changes.
func (l *changeLog) requestedRevision(r *signal.ChangesRequest) (ledger.Revision, error) {
	era := ledger.Era(r.Era)
	if era == 0 {
		l.mu.Lock()
		era = l.revision.Era()
		l.mu.Unlock()
	}
	return ledger.NewRevision(era, r.After)
}

// reply returns the changes after a revision. Those of a later era follow as a
// snapshot, since what an earlier one has lost is not known as removed.
func (l *changeLog) reply(after ledger.Revision) (*signal.ChangesReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &signal.ChangesReply{
		Revision:  l.revision.Number(),
		Era:       uint32(l.revision.Era()),
		AgeMillis: uint32(time.Since(l.storeAnsweredAt).Milliseconds()),
		Direct:    l.direct || l.hops > 0,
		Hops:      uint32(l.hops),
		Snapshot:  after < l.compactedRevision,
	}
	if after.Era() == l.revision.Era() {
		reply.Revision = max(l.revision, after).Number()
	}
	var changes []ledger.Change
	for _, c := range l.latest {
		if reply.Snapshot && !c.Removed || !reply.Snapshot && c.Revision > after {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, byRevision)
	for _, c := range changes {
		sc := &signal.StoreChange{Key: c.Key, Value: c.Value, Revision: c.Revision.Number(), Removed: c.Removed}
		if len(c.Value) >= minCompressBytes {
			sc.Value, sc.Compressed = l.compress(c), true
		}
		reply.Changes = append(reply.Changes, sc)
	}
	return reply, l.changed
}

// compress returns the compressed value of a change, from the cache if possible.
func (l *changeLog) compress(c ledger.Change) []byte {
	data, ok := l.compressed[c.Key]
	if !ok {
		data = compress(c.Value)
		l.compressed[c.Key] = data
	}
	return data
}

func compress(value []byte) []byte {
	var b bytes.Buffer
	// The level is valid, and writes to a bytes.Buffer cannot fail.
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

// decompressors has readers that are not in use. Each has tables of 40 KB.
var decompressors = sync.Pool{New: func() any { return new(gzip.Reader) }}

// compressionRatio is about that of tables.
const compressionRatio = 6

// decompress returns the value of a change, whether it is compressed or not.
func decompress(c *signal.StoreChange) ([]byte, error) {
	if !c.Compressed {
		return c.Value, nil
	}
	r := decompressors.Get().(*gzip.Reader)
	defer decompressors.Put(r)
	if err := r.Reset(bytes.NewReader(c.Value)); err != nil {
		return nil, err
	}
	value := bytes.NewBuffer(make([]byte, 0, min(compressionRatio*len(c.Value), maxPeerMessageBytes)+bytes.MinRead))
	_, err := value.ReadFrom(io.LimitReader(r, maxPeerMessageBytes))
	return value.Bytes(), err
}
