package harbor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/roster"
	"hornbeamwinch.example/signal"
)

const (
	wardenWorkers = 16
	// probeTimeout bounds one probe.
	probeTimeout = 250 * time.Millisecond
	// maxProbeAnswer bounds the answer to a probe, in bytes.
	maxProbeAnswer = 1 << 20
)

// ward is the state of one backend server assigned to this host.
type ward struct {
	busy     bool
	instance string
	clockMS  int64
	// answeredAt is when the answer with clockMS arrived.
	answeredAt time.Time
	condition  berth.Condition
	lastAlive  time.Time
	released   berth.Version
}

// warden probes the backend servers that the table assigns to this host and
// renews their grants. A fixed pool of workers serves a queue of servers; the
// mutex guards the table of wards and is not held during a probe.
type warden struct {
	d      *Daemon
	client *http.Client
	queue  chan berth.Server

	// assigned are the servers of this host under the table assignedFor. Only
	// run uses them.
	assigned    []berth.Server
	assignedFor *berth.Table

	mu    sync.Mutex
	wards map[berth.ServerID]*ward
	hotAt time.Time
}

func newWarden(d *Daemon) *warden {
	return &warden{
		d: d,
		client: &http.Client{
			Timeout:   probeTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: false},
		},
		queue: make(chan berth.Server, wardenWorkers),
		wards: make(map[berth.ServerID]*ward),
	}
}

// run queues the assigned servers for a probe in each interval.
func (w *warden) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range wardenWorkers {
		workers.Go(func() { w.loop(ctx) })
	}
	ticker := time.NewTicker(w.d.settings.Timing.ProbeIntervalMS.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		w.enqueue(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	workers.Wait()
	w.client.CloseIdleConnections()
}

// loop probes queued servers until ctx ends.
func (w *warden) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case server := <-w.queue:
			w.probe(ctx, server)
		}
	}
}

func (w *warden) enqueue(ctx context.Context) {
	table := w.d.gate.View().Table
	if table == nil {
		return
	}
	w.assign(table)
	for _, server := range w.assigned {
		if !w.begin(server.ID) {
			continue
		}
		select {
		case w.queue <- server:
		case <-ctx.Done():
			return
		}
	}
}

// assign chooses the servers of this host. The choice is kept until the hosts
// or servers of the table change, because it ranks every host for every server.
func (w *warden) assign(table *berth.Table) {
	before := w.assignedFor
	w.assignedFor = table
	if before != nil && slices.Equal(before.Hosts, table.Hosts) && slices.Equal(before.Servers, table.Servers) {
		return
	}
	w.assigned = nil
	ids := make(map[berth.ServerID]bool)
	for _, server := range table.Servers {
		if slices.Contains(table.Probers(server.ID), w.d.settings.Host.ID) {
			w.assigned = append(w.assigned, server)
			ids[server.ID] = true
		}
	}
	w.forget(ids)
}

// begin marks a server as being probed, unless it already is.
func (w *warden) begin(id berth.ServerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	state, known := w.wards[id]
	if !known {
		// A new ward gets half the usual time to answer, because another host
		// has probably found it silent already.
		credit := w.d.settings.Timing.SuspectAfterMS.Duration() / 2
		state = &ward{lastAlive: time.Now().Add(-credit)}
		w.wards[id] = state
	}
	if state.busy {
		return false
	}
	state.busy = true
	return true
}

func (w *warden) forget(assigned map[berth.ServerID]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.wards {
		if !assigned[id] {
			delete(w.wards, id)
		}
	}
}

// probe asks one server for its status, with its grants if it checks them.
func (w *warden) probe(ctx context.Context, server berth.Server) {
	view := w.d.gate.View()
	w.mu.Lock()
	var before ward
	if state := w.wards[server.ID]; state != nil {
		before = *state
	}
	w.mu.Unlock()

	validFor := w.validFor(view, before)
	grants := server.ChecksGrants && view.MayDispatch && before.instance != "" && validFor > 0
	var status ServerStatus
	var err error
	if grants {
		request := w.grantRequest(view.Table, server.ID, before, validFor)
		status, err = w.call(ctx, http.MethodPost, server.Address, "/grants", request)
	} else {
		status, err = w.call(ctx, http.MethodGet, server.Address, "/health", nil)
	}
	released := berth.Version(0)
	if grants && err == nil {
		released = view.Table.Version
	}
	if w.finish(server.ID, status, err, released) {
		w.d.follower.poke()
	}
}

// validFor returns how long after the server's last known clock value a grant
// may last: its time to live, but not beyond this host's route lease. Hence no
// grant of a table outlives the leases under it.
func (w *warden) validFor(view roster.View, before ward) time.Duration {
	ttl := w.d.settings.Timing.GrantTTLMS.Duration()
	return min(ttl, view.LeaseEnd.Sub(before.answeredAt))
}

func (w *warden) grantRequest(table *berth.Table, id berth.ServerID, before ward, validFor time.Duration) *GrantRequest {
	request := &GrantRequest{
		Instance:     before.instance,
		Epoch:        table.Epoch,
		Version:      table.Version,
		ValidUntilMS: before.clockMS + validFor.Milliseconds(),
		Shards:       []GrantShard{},
	}
	for i := range table.Services {
		service := &table.Services[i]
		for n, shard := range service.Shards {
			if shard.Placed() && shard.Owner == id {
				request.Shards = append(request.Shards, GrantShard{
					Service: service.Service,
					Shard:   berth.ShardID(n),
					Token:   shard.Token.String(),
				})
			}
		}
	}
	return request
}

var errStatus = errors.New("server answered with an error status")

func (w *warden) call(ctx context.Context, method, address, path string, body any) (ServerStatus, error) {
	var status ServerStatus
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return status, err
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return status, err
	}
	answer, err := w.client.Do(r)
	if err != nil {
		return status, err
	}
	defer func() { _ = answer.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(answer.Body, maxProbeAnswer)).Decode(&status)
	if err != nil {
		return status, err
	}
	if answer.StatusCode != http.StatusOK {
		return status, errStatus
	}
	return status, nil
}

// finish records the result of a probe. It reports whether the server's
// condition or its release changed, so that the placer should know at once.
func (w *warden) finish(id berth.ServerID, status ServerStatus, err error, released berth.Version) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	state, known := w.wards[id]
	if !known {
		return false
	}
	state.busy = false
	before := *state
	if status.Instance != "" {
		state.instance = status.Instance
		state.clockMS = status.ClockMS
		state.answeredAt = time.Now()
	}
	state.condition = w.condition(state, status, err)
	if released > state.released {
		state.released = released
	}
	return state.condition != before.condition || state.released != before.released
}

// condition judges a probe. A server that answers with an error status or is
// still starting counts as silent, after the same time.
func (w *warden) condition(state *ward, status ServerStatus, err error) berth.Condition {
	now := time.Now()
	answered := err == nil || errors.Is(err, errStatus)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return berth.ConditionConnectionRefused
	case answered && status.State == ServerStateDraining:
		state.lastAlive = now
		return berth.ConditionDraining
	case answered && status.State == ServerStateReady:
		state.lastAlive = now
		return berth.ConditionAlive
	case now.Sub(state.lastAlive) >= w.d.settings.Timing.SuspectAfterMS.Duration():
		return berth.ConditionUnresponsive
	default:
		return state.condition
	}
}

// reports returns what this host knows of its servers.
func (w *warden) reports() []*signal.ServerReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	reports := make([]*signal.ServerReport, 0, len(w.wards))
	for id, state := range w.wards {
		if state.condition == 0 {
			continue
		}
		reports = append(reports, &signal.ServerReport{
			Server:          string(id),
			Condition:       uint32(state.condition),
			ReleasedVersion: uint64(state.released),
		})
	}
	return reports
}
