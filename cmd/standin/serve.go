package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
)

// httpRunner runs an HTTP server in a goroutine.
type httpRunner struct {
	server *http.Server
	// done receives the error with which the server ended.
	done chan error
}

// serve runs server at address until the process receives SIGINT or SIGTERM. It
// then waits for running requests to finish.
func serve(server *http.Server, address string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server.Addr = address
	r := &httpRunner{server: server, done: make(chan error, 1)}
	go r.run()
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return server.Shutdown(context.Background())
	}
}

// run serves until the server ends and sends the error to done.
func (r *httpRunner) run() {
	r.done <- r.server.ListenAndServe()
}
