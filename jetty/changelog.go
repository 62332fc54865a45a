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

// minCompressBytes is the size in bytes from which values are compressed. Tables, which
// change often, shrink to a sixth.
const minCompressBytes = 4 << 10

// maxRemovals is the number of removals that are kept for other hosts. A host
// that may have missed more gets all keys that exist.
const maxRemovals = 512

// changeLog keeps the latest change of each key of the store for the other hosts of
// the failure domain. Earlier changes of a key are not kept: nobody needs them,
// and a host that catches up over a slow link could not read them all. It
// implements signal.FeedServer.
type changeLog struct {
	signal.UnimplementedFeedServer

	mu     sync.Mutex
	latest map[string]ledger.Change
	// compressed has the values of large entries in compressed form.
	compressed map[string][]byte
	// removals counts the removals among them. Those before floor are not
	// known.
	removals          int
	compactedRevision ledger.Revision
	// revision is the one up to which the store is known.
	revision ledger.Revision
	// storeAnsweredAt is when the store last answered.
	storeAnsweredAt time.Time
	// updatedAt is when the store or a feeder last told something.
	updatedAt time.Time
	direct    bool
	changed   chan struct{}
}

func newChangeLog() *changeLog {
	return &changeLog{
		latest: make(map[string]ledger.Change), compressed: make(map[string][]byte), changed: make(chan struct{}),
	}
}

// reset takes all entries that existed at a revision.
func (m *changeLog) reset(entries []ledger.Entry, revision ledger.Revision, direct bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latest = make(map[string]ledger.Change, len(entries))
	m.compressed = make(map[string][]byte)
	for _, e := range entries {
		m.latest[e.Key] = ledger.Change{Entry: e}
	}
	m.removals, m.compactedRevision, m.revision = 0, revision, revision
	m.recordAnswer(direct)
	m.notifyWaiters()
}

// add takes changes that follow the last ones.
func (m *changeLog) add(changes []ledger.Change, revision ledger.Revision, direct bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range changes {
		if m.latest[c.Key].Removed {
			m.removals--
		}
		if c.Removed {
			m.removals++
		}
		m.latest[c.Key] = c
		delete(m.compressed, c.Key)
	}
	if m.removals > maxRemovals {
		m.compactRemovals()
	}
	m.revision = max(m.revision, revision)
	m.recordAnswer(direct)
	if len(changes) > 0 {
		m.notifyWaiters()
	}
}

// compactRemovals forgets the older half of the removals.
func (m *changeLog) compactRemovals() {
	var removed []ledger.Change
	for _, c := range m.latest {
		if c.Removed {
			removed = append(removed, c)
		}
	}
	slices.SortFunc(removed, byRevision)
	for _, c := range removed[:len(removed)/2] {
		delete(m.latest, c.Key)
		m.compactedRevision = c.Revision
		m.removals--
	}
}

func byRevision(a, b ledger.Change) int {
	return cmp.Compare(a.Revision, b.Revision)
}

func (m *changeLog) recordAnswer(direct bool) {
	m.direct = direct
	m.updatedAt = time.Now()
	if direct {
		m.storeAnsweredAt = m.updatedAt
	}
}

// lastUpdate returns when the store, or a feeder that it answers, last told
// something.
func (m *changeLog) lastUpdate() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updatedAt
}

func (m *changeLog) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// storeContact reports whether this host follows the store itself, and when the
// store last answered it.
func (m *changeLog) storeContact() (direct bool, answeredAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.direct, m.storeAnsweredAt
}

// Changes implements signal.FeedServer.
func (m *changeLog) Changes(ctx context.Context, r *signal.ChangesRequest) (*signal.ChangesReply, error) {
	timeout := time.After(time.Duration(r.WaitMillis) * time.Millisecond)
	for {
		reply, changed := m.reply(ledger.Revision(r.After))
		if len(reply.Changes) > 0 || reply.Snapshot || !reply.Direct {
			return reply, nil
		}
		select {
		case <-changed:
		case <-timeout:
			// The age may have grown while waiting.
			reply, _ = m.reply(ledger.Revision(r.After))
			return reply, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (m *changeLog) reply(after ledger.Revision) (*signal.ChangesReply, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &signal.ChangesReply{
		Revision:  uint64(max(m.revision, after)),
		AgeMillis: uint32(time.Since(m.storeAnsweredAt).Milliseconds()),
		Direct:    m.direct,
		Snapshot:  after < m.compactedRevision,
	}
	var changes []ledger.Change
	for _, c := range m.latest {
		if reply.Snapshot && !c.Removed || !reply.Snapshot && c.Revision > after {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, byRevision)
	for _, c := range changes {
		sc := &signal.StoreChange{Key: c.Key, Value: c.Value, Revision: uint64(c.Revision), Removed: c.Removed}
		if len(c.Value) >= minCompressBytes {
			sc.Value, sc.Compressed = m.compress(c), true
		}
		reply.Changes = append(reply.Changes, sc)
	}
	return reply, m.changed
}

// compress returns the compressed value of a change. It is made once for all hosts.
func (m *changeLog) compress(c ledger.Change) []byte {
	data, ok := m.compressed[c.Key]
	if !ok {
		var b bytes.Buffer
		// The level is valid, and writes to a bytes.Buffer cannot fail.
		w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		_, _ = w.Write(c.Value)
		_ = w.Close()
		data = b.Bytes()
		m.compressed[c.Key] = data
	}
	return data
}

// decompress returns the value of a change.
func decompress(c *signal.StoreChange) ([]byte, error) {
	if !c.Compressed {
		return c.Value, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(c.Value))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxPeerMessageBytes))
}
