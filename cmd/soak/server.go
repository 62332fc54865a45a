package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"hornbeamwinch.example/platform/platformtest"
)

// server is a backend server behind a proxy.
type server struct {
	worker  *platformtest.Worker
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

// Services of the configuration.
const (
	keyed   = "gauges"
	unkeyed = "billing"
)

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
	w, err := platformtest.StartWorker(platformtest.WorkerConfig{
		Store: s.store, ID: id, Service: service, Zone: fmt.Sprintf("zone-%d", s.n%zones), Slots: 4,
		Sharded: service == keyed, Work: 15 * time.Millisecond,
		Via: func(address string) string {
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
	s.all = append(s.all, &server{worker: w, id: id, service: service, path: path, up: true})
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
	v.worker.Kill()
	v.path.close()
}

// drain lets a server announce that it leaves.
func (s *servers) drain(v *server) {
	v.worker.Drain()
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
		if v.up && v.service == keyed && v.worker.Holds(key) {
			ids = append(ids, v.id)
		}
	}
	return ids
}

// close ends all servers.
func (s *servers) close() {
	for _, v := range s.list() {
		v.worker.Kill()
		v.path.close()
	}
}

// configText returns version n of the configuration. Each version has a route
// of its own that replaces the one of the version before.
func configText(n int) []byte {
	text := `{"version":"rN","limits":{"max_header_bytes":8192,"max_body_bytes":1048576,"header_timeout_s":2.5,"idle_timeout_s":12},
"listeners":[{"host":"soak.example","rules":[
 {"name":"pay","type":"unsafe","target_latency_s":0.6,"priority":1,"match":{"prefix":"/pay/"},"action":{"service":"billing","timeout_s":1.5,"max_attempts":2}},
 {"name":"read","type":"safe","target_latency_s":0.4,"priority":2,"match":{"prefix":"/read/"},"action":{"service":"gauges","timeout_s":1.25,"max_attempts":3}},
 {"name":"vN","type":"safe","target_latency_s":0.4,"priority":2,"match":{"prefix":"/vN/"},"action":{"service":"billing","timeout_s":1.25,"max_attempts":3}}]}],
"clusters":[
 {"name":"gauges","health_check_path":"/healthz","max_connections":90,"protocol":"h1","sharded":true,"warmup_s":1,"grants":"call"},
 {"name":"billing","health_check_path":"/healthz","max_connections":90,"protocol":"h1"}]}`
	return []byte(strings.NewReplacer("rN", fmt.Sprintf("r%d", n), "vN", fmt.Sprintf("v%d", n)).Replace(text))
}
