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
	path    *link
	up      bool
	// leftAt is when the store took its word that it leaves.
	leftAt time.Time
}

// servers are all backend servers that ever ran.
type servers struct {
	store *platformtest.Store

	mu  sync.Mutex
	all []*server
	n   int
}

// start starts a server; an empty id draws a new one.
func (s *servers) start(service, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == "" {
		s.n++
		id = fmt.Sprintf("%s-%d", service, s.n)
	}
	var path *link
	var linkErr error
	w, err := platformtest.StartBackendServer(platformtest.BackendServerConfig{
		Store: s.store, ID: id, Service: service, Domain: fmt.Sprintf("domain-%d", s.n%domains), Slots: 4,
		Divided: service == platformtest.DividedService, WorkTime: 15 * time.Millisecond,
		AdvertisedAddress: func(address string) string {
			if path, linkErr = newLink(id, address); linkErr != nil {
				return address
			}
			return path.address()
		},
	})
	if err != nil {
		return err
	}
	if linkErr != nil {
		return linkErr
	}
	s.all = append(s.all, &server{process: w, id: id, service: service, path: path, up: true})
	return nil
}

// pick returns one of the servers that are up and do not leave.
func (s *servers) pick(target int) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*server
	for _, v := range s.all {
		if v.up && v.leftAt.IsZero() {
			found = append(found, v)
		}
	}
	return found[target%len(found)]
}

// kill ends a server.
func (s *servers) kill(v *server) {
	s.mu.Lock()
	v.up = false
	s.mu.Unlock()
	v.process.Kill()
	v.path.close()
}

// drain lets a server announce that it leaves.
func (s *servers) drain(v *server) {
	v.process.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	v.leftAt = time.Now()
}

// list returns the servers as they are now.
func (s *servers) list() []server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var copies []server
	for _, v := range s.all {
		copies = append(copies, *v)
	}
	return copies
}

// holders returns the servers that are up and hold a key.
func (s *servers) holders(key int) []string {
	var ids []string
	for _, v := range s.list() {
		if v.up && v.service == platformtest.DividedService && v.process.Holds(key) {
			ids = append(ids, v.id)
		}
	}
	return ids
}

// close ends all servers.
func (s *servers) close() {
	for _, v := range s.list() {
		v.process.Kill()
		v.path.close()
	}
}
