package main

import (
	"fmt"
	"sync"
	"time"

	"hornbeamwinch.example/platform/platformtest"
)

// server is a backend server behind a proxy.
type server struct {
	process *platformtest.BackendServer
	id      string
	service string
	proxy   *faultProxy
	running bool
	// drainingSince is when the store accepted its announcement that it drains; zero
	// if it does not drain.
	drainingSince time.Time
}

// servers has all backend servers of a run, including those that have stopped.
type servers struct {
	testbed *testbed
	store   *platformtest.Store

	mu  sync.Mutex
	all []*server
	n   int
	// closed is whether no more servers may come back.
	closed bool
}

// start starts a server under a new id.
func (s *servers) start(service string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	id := fmt.Sprintf("%s-%d", service, s.n)
	var proxy *faultProxy
	var proxyErr error
	backend, err := platformtest.StartBackendServer(platformtest.BackendServerConfig{
		Store: s.store, ID: id, Service: service, Domain: fmt.Sprintf("domain-%d", s.n%domains), Slots: 4,
		Divided: service == platformtest.DividedService, WorkTime: 15 * time.Millisecond,
		AdvertisedAddress: func(address string) string {
			if proxy, proxyErr = newFaultProxy(id, address); proxyErr != nil {
				return address
			}
			return proxy.address()
		},
		Crash: s.crashConfig(func() *faultProxy { return proxy }),
	})
	if err != nil {
		return err
	}
	if proxyErr != nil {
		return proxyErr
	}
	s.all = append(s.all, &server{process: backend, id: id, service: service, proxy: proxy, running: true})
	return nil
}

// pick returns one of the servers that are running and not draining, or nil if all have
// crashed.
func (s *servers) pick(target int) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates []*server
	for _, srv := range s.all {
		if srv.running && srv.drainingSince.IsZero() {
			candidates = append(candidates, srv)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[target%len(candidates)]
}

// kill kills a server and closes its proxy.
func (s *servers) kill(srv *server) {
	s.mu.Lock()
	srv.running = false
	s.mu.Unlock()
	srv.process.Kill()
	srv.proxy.close()
}

// restart kills a server and starts its next incarnation, under the same id and at the
// same address, which registers after a while.
func (s *servers) restart(srv *server, registerAfter time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !srv.running {
		// It was killed meanwhile, or has crashed and comes back by itself.
		return nil
	}
	next, err := srv.process.Restart(registerAfter)
	srv.running = false
	if err != nil {
		return err
	}
	s.all = append(s.all, &server{process: next, id: srv.id, service: srv.service, proxy: srv.proxy, running: true})
	return nil
}

// drain makes a server announce in the store that it drains.
func (s *servers) drain(srv *server) {
	srv.process.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	srv.drainingSince = time.Now()
}

// rewrite has the running servers register again, and removes the registrations of the
// others.
func (s *servers) rewrite() {
	running := make(map[string]bool)
	for _, srv := range s.list() {
		if srv.running {
			running[srv.id] = true
			srv.process.Register()
		}
	}
	for _, srv := range s.list() {
		if !running[srv.id] {
			srv.process.Deregister()
		}
	}
}

// list returns copies of all servers in their current state.
func (s *servers) list() []server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var copies []server
	for _, srv := range s.all {
		copies = append(copies, *srv)
	}
	return copies
}

// holders returns the ids of the running servers that hold a key.
func (s *servers) holders(key int) []string {
	var ids []string
	for _, srv := range s.list() {
		if srv.running && srv.service == platformtest.DividedService && srv.process.Holds(key) {
			ids = append(ids, srv.id)
		}
	}
	return ids
}

// close kills all servers.
func (s *servers) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, srv := range s.list() {
		srv.process.Kill()
		srv.proxy.close()
	}
}
