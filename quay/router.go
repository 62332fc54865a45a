package quay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/roster"
)

const (
	// maxHops is the maximum number of times that a request may be forwarded
	// between entry hosts.
	maxHops = 3
	// maxAttempts bounds the attempts that one host makes for one request.
	maxAttempts = 6
	// maxMoveWait is how long a request waits on this host for the move of a
	// shard to finish before it is refused.
	maxMoveWait = 400 * time.Millisecond
	// retryAfterMove and the following are the delays after which a caller
	// should retry.
	retryAfterMove     = 1 * time.Second
	retryAfterOverload = 1 * time.Second
	retryAfterOutage   = 3 * time.Second
)

// RouterConfig holds the parameters of a [Router].
type RouterConfig struct {
	Host      berth.HostID
	Domain    berth.DomainID
	Gate      *roster.Gate
	Services  []ServiceConfig
	Claims    *Claims
	Forwarder Forwarder
	Directory Directory
	// FrontSetSize is the number of entry hosts that connect to one backend
	// server; zero means all entry hosts of the failure domain.
	FrontSetSize int
	Metrics      tally.Scope
	Decisions    DecisionLog
	// Home returns the failure domain that serves a key under the newest rules,
	// and false if no rule matches.
	Home func(service berth.ServiceID, key string) (berth.DomainID, bool)
}

// Decision is a routing decision, as it is logged.
type Decision struct {
	RequestID string
	Service   berth.ServiceID
	Key       string
	Shard     berth.ShardID
	Divided   bool
	Token     berth.Token
	Server    berth.ServerID
	Host      berth.HostID
	Version   berth.Version
	Attempt   int
	Step      string
	Reason    Reason
}

// DecisionLog logs routing decisions.
type DecisionLog interface {
	LogDecision(d Decision)
}

// Router routes the requests of one entry host. It is safe for concurrent use.
type Router struct {
	cfg          RouterConfig
	services     map[berth.ServiceID]ServiceConfig
	backends     *backends
	retryBudgets map[berth.ServiceID]*RetryBudget
	hotKeys      map[berth.ServiceID]*HotKeys
}

// hotKeyCapacity is the number of keys counted for each service.
const hotKeyCapacity = 256

// NewRouter returns a router that admits requests through cfg.Gate. Its backend
// servers are set by [Router.UpdateTable].
func NewRouter(cfg RouterConfig) *Router {
	r := &Router{
		cfg:          cfg,
		services:     make(map[berth.ServiceID]ServiceConfig, len(cfg.Services)),
		retryBudgets: make(map[berth.ServiceID]*RetryBudget, len(cfg.Services)),
		hotKeys:      make(map[berth.ServiceID]*HotKeys, len(cfg.Services)),
	}
	for _, service := range cfg.Services {
		r.services[service.ID] = service
		r.retryBudgets[service.ID] = NewRetryBudget()
		r.hotKeys[service.ID] = NewHotKeys(hotKeyCapacity, time.Now())
	}
	r.backends = &backends{
		host:         cfg.Host,
		frontSetSize: cfg.FrontSetSize,
		services:     r.services,
		byID:         make(map[berth.ServerID]*backend),
	}
	return r
}

// Service returns the parameters of a service.
func (r *Router) Service(id berth.ServiceID) (ServiceConfig, bool) {
	service, ok := r.services[id]
	return service, ok
}

// HotKeys returns the rates of the busiest keys of a divided service since the
// last call.
func (r *Router) HotKeys(service berth.ServiceID) []berth.HotKeyLoad {
	return r.hotKeys[service].Take(time.Now())
}

// UpdateTable replaces the backend servers and this host's shares by those of
// table.
func (r *Router) UpdateTable(table *berth.Table) {
	r.backends.update(table)
}

// WithinShares reports whether the number of this host's requests at each server
// is within its share of the server's slots, under the table of the last
// [Router.UpdateTable].
func (r *Router) WithinShares() bool {
	return r.backends.withinShares()
}

// Route forwards request to a backend server and passes the response to sink. It
// returns the final outcome.
func (r *Router) Route(ctx context.Context, request *Request, sink Sink) Outcome {
	service, exists := r.services[request.Service]
	if !exists {
		return Invalid{Status: statusNotFound, Reason: ReasonUnknownService}
	}
	ctx, cancel := context.WithTimeout(ctx, service.Timeout)
	defer cancel()
	routed := &routedRequest{
		router:       r,
		ctx:          ctx,
		request:      request,
		service:      service,
		sink:         &countingSink{Sink: sink},
		triedServers: make(map[berth.ServerID]bool),
		triedHosts:   make(map[berth.HostID]bool),
		atMostOnce:   service.Repeat == RepeatNever && !isSafeMethod(request.Method),
	}
	if routed.atMostOnce && request.IdempotencyKey() == "" {
		return Invalid{Status: statusBadRequest, Reason: ReasonNoIdempotencyKey}
	}
	if service.Divided && request.Hops == 0 {
		r.hotKeys[service.ID].Add(request.Key)
	}
	outcome := routed.run()
	routed.closeClaim(outcome)
	r.recordOutcome(request.Service, outcome)
	return outcome
}

// recordOutcome counts an outcome in the metrics and in the retry budget.
func (r *Router) recordOutcome(service berth.ServiceID, outcome Outcome) {
	scope := r.cfg.Metrics.Tagged(map[string]string{"service": string(service)})
	switch o := outcome.(type) {
	case Whole:
		r.retryBudgets[service].Deposit()
		scope.Counter("answers_whole").Inc(1)
	case Refused:
		scope.Tagged(map[string]string{"reason": string(o.Reason)}).Counter("refused_not_run").Inc(1)
	case Unknown:
		scope.Tagged(map[string]string{"reason": string(o.Reason)}).Counter("outcome_unknown").Inc(1)
	case Truncated:
		scope.Counter("answers_cut").Inc(1)
	case Invalid:
		scope.Counter("invalid").Inc(1)
	}
}

// pickLessLoaded returns the less loaded of two candidates chosen at random.
func pickLessLoaded(candidates []*backend) *backend {
	first := candidates[rand.IntN(len(candidates))]
	second := candidates[rand.IntN(len(candidates))]
	if second.limiter.Load() < first.limiter.Load() {
		return second
	}
	return first
}

func isSafeMethod(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

const (
	statusBadRequest = 400
	statusNotFound   = 404
)
