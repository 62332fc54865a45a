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
	// maxHops is the number of times a request may be forwarded.
	maxHops = 3
	// maxAttempts bounds the attempts for one request on one host.
	maxAttempts = 6
	// moveWait is how long a request waits on this host for a move in
	// progress to finish before it is refused.
	moveWait = 400 * time.Millisecond
	// retryAfterMove and the following are the times after which a refused
	// caller should come back.
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
	// server; zero means all of the failure domain.
	FrontSetSize int
	Metrics      tally.Scope
	Decisions    DecisionLog
	// Home returns the failure domain of a key under the newest rules.
	Home func(service berth.ServiceID, key string) (berth.DomainID, bool)
}

// Decision is one routing decision, for the log.
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

// DecisionLog takes routing decisions.
type DecisionLog interface {
	LogDecision(d Decision)
}

// Router routes the requests of one entry host. It is safe for concurrent use.
type Router struct {
	cfg      RouterConfig
	services map[berth.ServiceID]ServiceConfig
	backends *backends
	budgets  map[berth.ServiceID]*RetryBudget
	hot      map[berth.ServiceID]*HotKeys
}

// hotKeyCapacity is the number of keys counted for each service.
const hotKeyCapacity = 256

// NewRouter returns a router that follows the table of cfg.Gate.
func NewRouter(cfg RouterConfig) *Router {
	r := &Router{
		cfg:      cfg,
		services: make(map[berth.ServiceID]ServiceConfig, len(cfg.Services)),
		budgets:  make(map[berth.ServiceID]*RetryBudget, len(cfg.Services)),
		hot:      make(map[berth.ServiceID]*HotKeys, len(cfg.Services)),
	}
	for _, service := range cfg.Services {
		r.services[service.ID] = service
		r.budgets[service.ID] = NewRetryBudget()
		r.hot[service.ID] = NewHotKeys(hotKeyCapacity, time.Now())
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
	return r.hot[service].Take(time.Now())
}

// UpdateTable adopts the servers and shares of a table.
func (r *Router) UpdateTable(table *berth.Table) {
	r.backends.update(table)
}

// WithinShares reports whether this host keeps within its shares of the
// servers' slots under the table it was last given.
func (r *Router) WithinShares() bool {
	return r.backends.withinShares()
}

// Route brings request to a backend server and its answer to sink. The
// returned outcome is final.
func (r *Router) Route(ctx context.Context, request *Request, sink Sink) Outcome {
	service, known := r.services[request.Service]
	if !known {
		return Invalid{Status: statusNotFound, Reason: ReasonUnknownService}
	}
	ctx, cancel := context.WithTimeout(ctx, service.Timeout)
	defer cancel()
	j := &journey{
		router:  r,
		ctx:     ctx,
		request: request,
		service: service,
		sink:    &countingSink{Sink: sink},
		tried:   make(map[berth.ServerID]bool),
		peers:   make(map[berth.HostID]bool),
		once:    service.Repeat == RepeatNever && !isSafeMethod(request.Method),
	}
	if j.once && request.IdempotencyKey() == "" {
		return Invalid{Status: statusBadRequest, Reason: ReasonNoIdempotencyKey}
	}
	if service.Divided && request.Hops == 0 {
		r.hot[service.ID].Add(request.Key)
	}
	outcome := j.run()
	j.settleClaim(outcome)
	r.count(request.Service, outcome)
	return outcome
}

// count records an outcome in the metrics and the retry budget.
func (r *Router) count(service berth.ServiceID, outcome Outcome) {
	scope := r.cfg.Metrics.Tagged(map[string]string{"service": string(service)})
	switch o := outcome.(type) {
	case Whole:
		r.budgets[service].Deposit()
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

// pickTwo returns the less loaded of two candidates chosen at random.
func pickTwo(candidates []*backend) *backend {
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
