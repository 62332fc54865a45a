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
	"hornbeamwinch.example/quay"
	"hornbeamwinch.example/roster"
	"hornbeamwinch.example/signal"
)

const (
	// probeWorkers is the maximum number of concurrent probes.
	probeWorkers = 16
	// probeTimeout bounds one probe.
	probeTimeout = 250 * time.Millisecond
	// maxProbeResponseBytes is the maximum size of the response to a probe.
	maxProbeResponseBytes = 1 << 20
	// maxProbeHeadBytes is the maximum size of the head of that response.
	maxProbeHeadBytes = 64 << 10
)

// probeState is the result of the probes of one backend server that is assigned
// to this host.
type probeState struct {
	// probing is set while a probe is queued or running.
	probing bool
	// instance and clockMS are from the last response that contained an
	// instance. It arrived at clockReadAt.
	instance    string
	clockMS     int64
	clockReadAt time.Time
	condition   berth.Condition
	// lastAlive is when the server was last ready or draining.
	lastAlive time.Time
	// released is the newest table version whose grants the server has
	// accepted, by which it released all other shards.
	released berth.Version
}

// prober probes the backend servers that the table assigns to this host and
// renews their grants. A fixed pool of workers processes a queue of servers;
// the mutex protects the probe states and is not held during a probe.
type prober struct {
	d      *Daemon
	client *http.Client
	queue  chan berth.Server

	// assigned contains the servers of this host under assignedTable. Both are
	// accessed only from the goroutine of run.
	assigned      []berth.Server
	assignedTable *berth.Table

	mu     sync.Mutex
	states map[berth.ServerID]*probeState
	// hotKeysReportedAt is when hotKeyReports last returned the hot keys.
	hotKeysReportedAt time.Time
}

func newProber(d *Daemon) *prober {
	return &prober{
		d: d,
		client: &http.Client{
			Timeout:   probeTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: false, MaxResponseHeaderBytes: maxProbeHeadBytes},
		},
		queue:  make(chan berth.Server, probeWorkers),
		states: make(map[berth.ServerID]*probeState),
	}
}

// run queues the assigned servers for a probe in each interval, until ctx is
// done.
func (p *prober) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range probeWorkers {
		workers.Go(func() { p.loop(ctx) })
	}
	ticker := time.NewTicker(p.d.settings.Timing.ProbeIntervalMS.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.enqueue(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	workers.Wait()
	p.client.CloseIdleConnections()
}

// loop probes queued servers until ctx is done.
func (p *prober) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case server := <-p.queue:
			p.probe(ctx, server)
		}
	}
}

func (p *prober) enqueue(ctx context.Context) {
	table := p.d.gate.View().Table
	if table == nil {
		return
	}
	p.updateAssigned(table)
	for _, server := range p.assigned {
		if !p.startProbe(server.ID) {
			continue
		}
		select {
		case p.queue <- server:
		case <-ctx.Done():
			return
		}
	}
}

// updateAssigned determines the servers of this host. It does so only if the
// hosts or servers of the table have changed, because it ranks every host for
// every server.
func (p *prober) updateAssigned(table *berth.Table) {
	before := p.assignedTable
	p.assignedTable = table
	if before != nil && slices.Equal(before.Hosts, table.Hosts) && slices.Equal(before.Servers, table.Servers) {
		return
	}
	p.assigned = nil
	ids := make(map[berth.ServerID]bool)
	for _, server := range table.Servers {
		if slices.Contains(table.Probers(server.ID), p.d.settings.Host.ID) {
			p.assigned = append(p.assigned, server)
			ids[server.ID] = true
		}
	}
	p.removeUnassigned(ids)
}

// startProbe marks a server as being probed. It returns false if it already is.
func (p *prober) startProbe(id berth.ServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.states[id]
	if !known {
		// A newly assigned server gets half the usual time to respond, because
		// another host has probably found it unresponsive already.
		assumedAge := p.d.settings.Timing.SuspectAfterMS.Duration() / 2
		state = &probeState{lastAlive: time.Now().Add(-assumedAge)}
		p.states[id] = state
	}
	if state.probing {
		return false
	}
	state.probing = true
	return true
}

// removeUnassigned removes the states of servers that are not assigned to this
// host any more.
func (p *prober) removeUnassigned(assigned map[berth.ServerID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.states {
		if !assigned[id] {
			delete(p.states, id)
		}
	}
}

// probe requests the status of one server. If the server checks grants and this
// host may dispatch requests, the same request renews the grants.
func (p *prober) probe(ctx context.Context, server berth.Server) {
	view := p.d.gate.View()
	p.mu.Lock()
	var before probeState
	if state := p.states[server.ID]; state != nil {
		before = *state
	}
	p.mu.Unlock()

	validFor := p.validFor(view, before)
	grants := server.ChecksGrants && view.MayDispatch && before.instance != "" && validFor > 0
	var status ServerStatus
	var err error
	if grants {
		request := p.grantRequest(view.Table, server.ID, before, validFor)
		status, err = p.call(ctx, http.MethodPost, server.Address, "/grants", request)
	} else {
		status, err = p.call(ctx, http.MethodGet, server.Address, "/health", nil)
	}
	released := berth.Version(0)
	if grants && err == nil {
		released = view.Table.Version
	}
	if p.recordResult(server.ID, status, err, released) {
		p.d.tableSync.syncNow()
	}
}

// validFor returns how long after the server's last received clock value a
// grant may be valid: its TTL, but not beyond this host's route lease. Hence no
// grant of a table outlasts the route leases under that table.
func (p *prober) validFor(view roster.View, before probeState) time.Duration {
	ttl := p.d.settings.Timing.GrantTTLMS.Duration()
	return min(ttl, view.LeaseEnd.Sub(before.clockReadAt))
}

func (p *prober) grantRequest(table *berth.Table, id berth.ServerID, before probeState, validFor time.Duration) *GrantRequest {
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

var errHTTPStatus = errors.New("backend server responded with an HTTP status other than 200")

// call sends a request to a backend server and decodes the status in its
// response.
func (p *prober) call(ctx context.Context, method, address, path string, body any) (ServerStatus, error) {
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
	response, err := p.client.Do(r)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	if !quay.IsFinalStatus(response.StatusCode) {
		// The body is not read, so that the connection is closed.
		return status, quay.ErrInvalidStatus
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxProbeResponseBytes)).Decode(&status)
	if err != nil {
		return status, err
	}
	if response.StatusCode != http.StatusOK {
		return status, errHTTPStatus
	}
	return status, nil
}

// recordResult records the result of a probe. It reports whether the server's
// condition or released version has changed, which the placer should receive
// without delay.
func (p *prober) recordResult(id berth.ServerID, status ServerStatus, err error, released berth.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.states[id]
	if !known {
		return false
	}
	state.probing = false
	before := *state
	if status.Instance != "" {
		state.instance = status.Instance
		state.clockMS = status.ClockMS
		state.clockReadAt = time.Now()
	}
	state.condition = p.condition(state, status, err)
	if released > state.released {
		state.released = released
	}
	return state.condition != before.condition || state.released != before.released
}

// condition returns the condition of a server after a probe. A response in which
// the server states that it is ready or draining counts with any HTTP status, for
// instance if the server has rejected the grants. A server that states neither,
// such as one that is still starting, counts as unresponsive after the same time
// as one that does not respond.
func (p *prober) condition(state *probeState, status ServerStatus, err error) berth.Condition {
	now := time.Now()
	responded := err == nil || errors.Is(err, errHTTPStatus)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return berth.ConditionConnectionRefused
	case responded && status.State == ServerStateDraining:
		state.lastAlive = now
		return berth.ConditionDraining
	case responded && status.State == ServerStateReady:
		state.lastAlive = now
		return berth.ConditionAlive
	case now.Sub(state.lastAlive) >= p.d.settings.Timing.SuspectAfterMS.Duration():
		return berth.ConditionUnresponsive
	default:
		return state.condition
	}
}

// reports returns the conditions of the servers that this host has probed.
func (p *prober) reports() []*signal.ServerReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports := make([]*signal.ServerReport, 0, len(p.states))
	for id, state := range p.states {
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
