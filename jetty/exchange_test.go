package jetty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// exchangeServer is a backend server whose handler is set for each test.
type exchangeServer struct {
	id      fairway.ServerID
	server  *httptest.Server
	arrived atomic.Int64
	// left counts the requests whose connection closed while they were at work.
	left atomic.Int64
}

// exchangeBench has a forwarder and its servers.
type exchangeBench struct {
	f       *forwarder
	service *fairway.Service
	n       atomic.Int64
	servers map[fairway.ServerID]*exchangeServer
}

func newExchangeBench(extra float64) *exchangeBench {
	b := &exchangeBench{service: &fairway.Service{Name: "readings"}, servers: make(map[fairway.ServerID]*exchangeServer)}
	b.f = &forwarder{
		headers: fakeProtocol{}.Headers(), upstream: newUpstream(requestConnections, nil), drain: newDrain(), logs: quietLogs(), metrics: newMetrics(),
		clusterState: newClusterState(fairway.NewActiveConfig()), reach: alwaysReaching{},
		admissions: newAdmissionSet(admissionSetConfig{
			Host: "host-0", ReassignmentDelay: time.Second,
			Budget: sluice.RetryBudgetConfig{Window: 10 * time.Second, Extra: extra},
		}),
	}
	b.f.admissions.hosts = 1
	// The host's sweep.
	done := make(chan struct{})
	DeferCleanup(func() { close(done) })
	go func() {
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			for _, adm := range b.f.admissions.all() {
				adm.reevaluate()
			}
		}
	}()
	return b
}

// serve adds a server. Servers with more slots than others are not preferred; the
// order of preference is fixed by the host's name.
func (b *exchangeBench) serve(id fairway.ServerID, slots int, handler func(w http.ResponseWriter, r *http.Request)) *exchangeServer {
	GinkgoHelper()
	s := &exchangeServer{id: id}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		handler(w, r)
		if r.Context().Err() != nil {
			s.left.Add(1)
		}
	}))
	DeferCleanup(s.server.Close)
	DeferCleanup(s.server.CloseClientConnections)
	b.servers[id] = s
	endpoint := fairway.Endpoint{ID: id, Service: "readings", Address: strings.TrimPrefix(s.server.URL, "http://"), Incarnation: 1, Slots: slots}
	b.f.clusterState.servers.Store(b.f.clusterState.catalog().Apply([]fairway.Endpoint{endpoint}, nil))
	return s
}

func (b *exchangeBench) admission() *admission {
	return b.f.admissions.get(b.service, b.f.clusterState.catalog())
}

func (b *exchangeBench) request(attempts int, timeout time.Duration) *request {
	id := fmt.Sprintf("request-%d", b.n.Add(1))
	now := time.Now()
	return &request{
		id:      id,
		route:   &fairway.Route{Name: "list", Repeat: fairway.RepeatAllowed, MaxAttempts: attempts, Objective: timeout},
		service: b.service, arrived: now, deadline: now.Add(timeout),
		outgoingRequest: outgoingRequest{Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}}},
	}
}

// timedResult is a result and when it came.
type timedResult struct {
	result
	after time.Duration
}

func (b *exchangeBench) send(ctx context.Context, r *request) <-chan timedResult {
	results := make(chan timedResult, 1)
	start := time.Now()
	go func() {
		res := b.f.forward(ctx, r)
		results <- timedResult{result: res, after: time.Since(start)}
	}()
	return results
}

// expectNothingLeft checks that no admission slot and, apart from the idle ones,
// no connection is in use.
func (b *exchangeBench) expectNothingLeft() {
	GinkgoHelper()
	Eventually(func() int { return b.admission().usage().InFlight }).Should(BeZero(), "admission slots in use")
	Eventually(b.connectionsInUse).Should(BeZero(), "connections in use")
}

func (b *exchangeBench) connectionsInUse() int {
	b.f.upstream.mu.Lock()
	defer b.f.upstream.mu.Unlock()
	n := 0
	for _, p := range b.f.upstream.pools {
		n += p.open - len(p.idle)
	}
	return n
}

func answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Signed", "y")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// work answers after a time, unless the connection closes before.
func work(d time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			answer(w, http.StatusOK, "done")
		case <-r.Context().Done():
		}
	}
}

// byArrival uses the first handler for the first request that any server gets, and
// so on; the last one is used for all others.
func byArrival(handlers ...func(w http.ResponseWriter, r *http.Request)) func(w http.ResponseWriter, r *http.Request) {
	var n atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		handlers[min(int(n.Add(1)), len(handlers))-1](w, r)
	}
}

func abort(after time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(after):
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
}

var _ = Describe("An exchange with several servers", func() {
	large := strings.Repeat("x", 2*maxBufferedBytes)

	It("frees the connection of a large response without a signature", func() {
		b := newExchangeBench(100)
		b.serve("s", 20, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(len(large)))
			_, _ = w.Write([]byte(large))
		})
		for range 3 {
			res := <-b.send(context.Background(), b.request(1, time.Second))
			GinkgoWriter.Printf("result %#v after %v\n", res.result, res.after)
		}
		Expect(b.servers["s"].arrived.Load()).To(BeEquivalentTo(3), "requests that were sent")
		b.expectNothingLeft()
	})

	It("frees the connection of a large server error that is retried", func() {
		b := newExchangeBench(100)
		h := byArrival(func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusInternalServerError, large) }, work(0))
		b.serve("s", 20, h)
		b.serve("t", 20, h)
		res := <-b.send(context.Background(), b.request(2, time.Second))
		Expect(res.result.(backendResponse).status).To(Equal(http.StatusOK))
		b.expectNothingLeft()
	})

	It("frees the connection of a large response that comes second", func() {
		b := newExchangeBench(100)
		slow := func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(600 * time.Millisecond)
			answer(w, http.StatusOK, large)
		}
		h := byArrival(slow, work(100*time.Millisecond))
		b.serve("s", 20, h)
		b.serve("t", 20, h)
		res := <-b.send(context.Background(), b.request(2, time.Second))
		resp := res.result.(backendResponse)
		Expect(resp.status).To(Equal(http.StatusOK))
		if resp.remaining != nil {
			// On a slow machine the large response may come first. It is the caller's.
			resp.finish(false)
		}
		b.expectNothingLeft()
	})

	It("does not count a second attempt as overdue when the first one fails", func() {
		b := newExchangeBench(100)
		var second atomic.Pointer[string]
		note := func(id string) func(w http.ResponseWriter, r *http.Request) {
			return func(w http.ResponseWriter, r *http.Request) {
				second.Store(&id)
				work(300*time.Millisecond)(w, r)
			}
		}
		var n atomic.Int64
		for _, id := range []fairway.ServerID{"s", "t", "u"} {
			b.serve(id, 20, func(w http.ResponseWriter, r *http.Request) {
				switch n.Add(1) {
				case 1:
					abort(550*time.Millisecond)(w, r)
				case 2:
					note(string(id))(w, r)
				default:
					work(300*time.Millisecond)(w, r)
				}
			})
		}
		results := b.send(context.Background(), b.request(3, time.Second))
		// At 450 ms the second server is asked; at 550 ms the first fails.
		time.Sleep(620 * time.Millisecond)
		far := instantOf(time.Now().Add(time.Minute))
		r := &sluice.Request{ID: 1 << 40, Deadline: far, SoftDeadline: far}
		for other := range b.servers {
			if string(other) != *second.Load() {
				r.Tried = append(r.Tried, other)
			}
		}
		adm := b.admission()
		adm.mu.Lock()
		decision := adm.controller.Admit(monotonicNow(), r)
		adm.controller.Cancel(r.ID)
		adm.mu.Unlock()
		GinkgoWriter.Printf("arrivals %d, decision on a request for the second server %#v\n", n.Load(), decision)
		// It has been at work for less than 200 ms, and has failed nothing.
		Expect(decision).To(BeAssignableToTypeOf(sluice.Dispatch{}))
		Expect((<-results).result.(backendResponse).status).To(Equal(http.StatusOK))
	})

	It("serves other requests at a server with a slow request whose route allows one attempt", func() {
		b := newExchangeBench(100)
		b.serve("s", 20, byArrival(work(1500*time.Millisecond), work(0)))
		slow := b.send(context.Background(), b.request(1, 2*time.Second))
		time.Sleep(1100 * time.Millisecond)
		other := <-b.send(context.Background(), b.request(1, 2*time.Second))
		GinkgoWriter.Printf("other %#v after %v\n", other.result, other.after)
		Expect(other.result).To(BeAssignableToTypeOf(backendResponse{}))
		Expect(other.after).To(BeNumerically("<", 200*time.Millisecond))
		Expect((<-slow).result).To(BeAssignableToTypeOf(backendResponse{}))
	})

	It("serves other requests at a server with the last attempt of a slow request", func() {
		b := newExchangeBench(100)
		reject := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		h := byArrival(reject, work(1500*time.Millisecond), work(0))
		b.serve("s", 20, h)
		b.serve("t", 20, h)
		slow := b.send(context.Background(), b.request(2, 2*time.Second))
		time.Sleep(1100 * time.Millisecond)
		usable := 0
		adm := b.admission()
		far := instantOf(time.Now().Add(time.Minute))
		for _, tried := range []fairway.ServerID{"s", "t"} {
			r := &sluice.Request{ID: 1 << 40, Deadline: far, SoftDeadline: far, Tried: []fairway.ServerID{tried}}
			adm.mu.Lock()
			if d, ok := adm.controller.Admit(monotonicNow(), r).(sluice.Dispatch); ok {
				usable++
				adm.controller.Finish(monotonicNow(), sluice.ServerInstanceOf(d.Server), sluice.OutcomeCanceled, 0, 0)
			}
			adm.controller.Cancel(r.ID)
			adm.mu.Unlock()
		}
		Expect(usable).To(Equal(2), "servers that get further requests")
		Expect((<-slow).result).To(BeAssignableToTypeOf(backendResponse{}))
	})

	It("uses a server again soon after one request was lost there", func() {
		b := newExchangeBench(100)
		b.serve("s", 20, byArrival(work(time.Hour), work(0)))
		lost := b.send(context.Background(), b.request(2, 4*time.Second))
		// Overdue after 1.8 s; the server's first backoff is 250 ms.
		time.Sleep(2200 * time.Millisecond)
		other := <-b.send(context.Background(), b.request(2, 4*time.Second))
		GinkgoWriter.Printf("other %#v after %v\n", other.result, other.after)
		Expect(other.result).To(BeAssignableToTypeOf(backendResponse{}))
		Expect(other.after).To(BeNumerically("<", 300*time.Millisecond))
		<-lost
	})

	It("asks another server once the budget of retries allows it", func() {
		b := newExchangeBench(0)
		b.f.admissions.cfg.Budget.Ratio = 1
		h := byArrival(work(time.Hour), work(0))
		b.serve("s", 20, h)
		b.serve("t", 20, h)
		b.admission().retryBudget.RecordRequest(monotonicNow()) // 0.75 * 2 - 0 = 1.5
		Expect(b.admission().allowRetry()).To(BeFalse())
		results := b.send(context.Background(), b.request(2, 2*time.Second))
		Eventually(func() int64 { return b.servers["s"].arrived.Load() + b.servers["t"].arrived.Load() }).Should(BeEquivalentTo(1))
		// The budget is used up when the request is overdue, at 0.9 s, and is not
		// used up from 1 s on.
		for b.admission().allowRetry() {
		}
		time.Sleep(time.Second)
		for range 20 {
			b.admission().recordArrival("list", nil)
		}
		res := <-results
		GinkgoWriter.Printf("result %#v after %v\n", res.result, res.after)
		Expect(res.result).To(BeAssignableToTypeOf(backendResponse{}))
	})

	It("ends both attempts when the caller leaves", func() {
		b := newExchangeBench(100)
		s, t := b.serve("s", 20, work(time.Minute)), b.serve("t", 20, work(time.Minute))
		ctx, cancel := context.WithCancel(context.Background())
		results := b.send(ctx, b.request(2, time.Second))
		Eventually(func() bool { return s.arrived.Load() == 1 && t.arrived.Load() == 1 }).Should(BeTrue())
		cancel()
		Expect((<-results).result).To(Equal(callerLeft{}))
		Eventually(func() bool { return s.left.Load() == 1 && t.left.Load() == 1 }).WithTimeout(300 * time.Millisecond).Should(BeTrue())
		b.expectNothingLeft()
	})

	It("answers once for both attempts when the drain ends", func() {
		b := newExchangeBench(100)
		s, t := b.serve("s", 20, work(time.Minute)), b.serve("t", 20, work(time.Minute))
		results := b.send(context.Background(), b.request(2, time.Second))
		Eventually(func() bool { return s.arrived.Load() == 1 && t.arrived.Load() == 1 }).Should(BeTrue())
		b.f.drain.begin(time.Now())
		b.f.drain.end()
		Expect((<-results).result).To(Equal(gatewayError{status: http.StatusBadGateway, reason: reasonHostStopping}))
		b.expectNothingLeft()
	})

	It("passes on a server error when the other attempt ends without a response", func() {
		b := newExchangeBench(100)
		h := byArrival(work(time.Minute), func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusInternalServerError, "broken") })
		b.serve("s", 20, h)
		b.serve("t", 20, h)
		res := <-b.send(context.Background(), b.request(2, time.Second))
		Expect(res.result.(backendResponse).status).To(Equal(http.StatusInternalServerError))
		b.expectNothingLeft()
	})

	It("does not promise that a request has not run when the second server rejects it", func() {
		b := newExchangeBench(100)
		reject := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		h := byArrival(abort(700*time.Millisecond), reject)
		b.serve("s", 20, h)
		b.serve("t", 20, h)
		res := <-b.send(context.Background(), b.request(2, time.Second))
		Expect(res.result).To(BeAssignableToTypeOf(gatewayError{}))
		b.expectNothingLeft()
	})

	// stress sends many requests to servers that behave at random. If stop is set, the
	// drain begins and ends in the middle.
	stress := func(seed uint64, stop bool) {
		b := newExchangeBench(1e9)
		goroutines := runtime.NumGoroutine()
		random := rand.New(rand.NewPCG(seed, 2))
		var mu sync.Mutex
		var ran sync.Map
		var hedged atomic.Int64
		var working sync.Map
		behave := func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			kind, pause := random.IntN(12), time.Duration(random.IntN(60))*time.Millisecond
			if random.IntN(3) == 0 {
				pause += 200 * time.Millisecond
			}
			mu.Unlock()
			id := r.Header.Get("Id")
			if kind == 0 {
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			n, _ := ran.LoadOrStore(id, new(atomic.Int64))
			n.(*atomic.Int64).Add(1)
			at, _ := working.LoadOrStore(id, new(atomic.Int64))
			if at.(*atomic.Int64).Add(1) > 1 {
				hedged.Add(1)
			}
			defer at.(*atomic.Int64).Add(-1)
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
			switch kind {
			case 1:
				panic(http.ErrAbortHandler)
			case 2:
				answer(w, http.StatusInternalServerError, "broken")
			case 3:
				answer(w, http.StatusOK, large)
			default:
				answer(w, http.StatusOK, id)
			}
		}
		for _, id := range []fairway.ServerID{"a", "b", "c", "d"} {
			b.serve(id, 400, behave)
		}
		b.f.upstream.minConnections = 1000
		var callers sync.WaitGroup
		counts := make(map[string]int)
		var wrong []string
		for caller := range 24 {
			callers.Go(func() {
				own := rand.New(rand.NewPCG(uint64(caller), seed))
				for range 30 {
					repeat := own.IntN(4) > 0
					r := b.request(1+own.IntN(3), time.Duration(250+own.IntN(200))*time.Millisecond)
					if !repeat {
						r.route.Repeat = fairway.RepeatNever
					}
					ctx, cancel := context.WithCancel(context.Background())
					if own.IntN(6) == 0 {
						time.AfterFunc(time.Duration(own.IntN(400))*time.Millisecond, cancel)
					}
					res := b.f.forward(ctx, r)
					cancel()
					times := int64(0)
					if n, ok := ran.Load(r.id); ok {
						times = n.(*atomic.Int64).Load()
					}
					kind := fmt.Sprintf("%T", res)
					if resp, ok := res.(backendResponse); ok {
						switch {
						case resp.remaining != nil:
							resp.finish(false)
							kind = "large"
						case resp.status == http.StatusOK && string(resp.body) != r.id:
							kind = "foreign"
						}
					}
					_, refused := res.(refusal)
					mu.Lock()
					counts[kind]++
					switch {
					case refused && times > 0:
						wrong = append(wrong, fmt.Sprintf("%s was said not to have run: %#v", r.id, res))
					case !repeat && times > 1, times > int64(r.route.MaxAttempts):
						wrong = append(wrong, fmt.Sprintf("%s ran %d times", r.id, times))
					case kind == "foreign":
						wrong = append(wrong, r.id+" got another answer")
					}
					mu.Unlock()
				}
			})
		}
		if stop {
			time.Sleep(time.Second)
			b.f.drain.begin(time.Now().Add(300 * time.Millisecond))
			time.Sleep(300 * time.Millisecond)
			b.f.drain.end()
		}
		callers.Wait()
		GinkgoWriter.Printf("results %v, at two servers at once %d\n", counts, hedged.Load())
		Expect(wrong).To(BeEmpty())
		b.expectNothingLeft()
		b.f.upstream.update(fairway.NewCatalog(nil), nil, 1)
		for _, s := range b.servers {
			s.server.CloseClientConnections()
		}
		// The servers' own listeners and the sweep stay.
		Eventually(runtime.NumGoroutine).WithTimeout(5*time.Second).Should(BeNumerically("<=", goroutines+4), "goroutines left")
	}

	for seed := range uint64(3) {
		It(fmt.Sprintf("keeps its slots, connections and promises under random behaviour (seed %d)", seed), func() { stress(seed, false) })
		It(fmt.Sprintf("keeps them when the drain begins and ends meanwhile (seed %d)", seed), func() { stress(seed, true) })
	}
})
