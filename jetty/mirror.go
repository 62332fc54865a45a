package jetty

import (
	"context"
	"sync"
	"time"

	"hornbeamwinch.example/ledger"
	"hornbeamwinch.example/signal"
)

// mirrorHistory is the number of changes that are kept for other hosts. A host
// that has missed more reads the store.
const mirrorHistory = 1024

// mirror keeps the latest changes of the store for the other hosts of the
// failure domain. It implements signal.FeedServer.
type mirror struct {
	signal.UnimplementedFeedServer

	mu      sync.Mutex
	history []ledger.Change
	// floor is the revision after which history is complete, and revision the
	// one up to which it is known.
	floor    ledger.Revision
	revision ledger.Revision
	// answeredAt is when the store last answered.
	answeredAt time.Time
	direct     bool
	changed    chan struct{}
}

func newMirror() *mirror {
	return &mirror{changed: make(chan struct{})}
}

// reset forgets the history: what is known up to revision came from a scan.
func (m *mirror) reset(revision ledger.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.floor, m.revision = nil, revision, revision
	m.note()
}

// add takes changes that follow the last ones.
func (m *mirror) add(changes []ledger.Change, revision ledger.Revision, direct bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = append(m.history, changes...)
	if over := len(m.history) - mirrorHistory; over > 0 {
		m.floor = m.history[over-1].Revision
		m.history = append([]ledger.Change(nil), m.history[over:]...)
	}
	m.revision = max(m.revision, revision)
	m.direct = direct
	if direct {
		m.answeredAt = time.Now()
	}
	if len(changes) > 0 {
		m.note()
	}
}

func (m *mirror) note() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changes implements signal.FeedServer.
func (m *mirror) Changes(ctx context.Context, r *signal.ChangesRequest) (*signal.ChangesReply, error) {
	timeout := time.After(time.Duration(r.WaitMillis) * time.Millisecond)
	for {
		reply, changed := m.reply(ledger.Revision(r.After))
		if len(reply.Changes) > 0 || reply.Compacted || !reply.Direct {
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

func (m *mirror) reply(after ledger.Revision) (*signal.ChangesReply, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reply := &signal.ChangesReply{
		Revision:  uint64(max(m.revision, after)),
		AgeMillis: uint32(time.Since(m.answeredAt).Milliseconds()),
		Direct:    m.direct,
		Compacted: after < m.floor,
	}
	if reply.Compacted {
		return reply, m.changed
	}
	for _, c := range m.history {
		if c.Revision > after {
			reply.Changes = append(reply.Changes, &signal.StoreChange{
				Key: c.Key, Value: c.Value, Revision: uint64(c.Revision), Removed: c.Removed,
			})
		}
	}
	return reply, m.changed
}
