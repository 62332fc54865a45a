package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
)

// listener serves HTTP until it is told to end.
type listener struct {
	server *http.Server
	ended  chan error
}

// serve runs server at address until the process is told to end. It then lets
// running requests finish.
func serve(server *http.Server, address string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server.Addr = address
	l := &listener{server: server, ended: make(chan error, 1)}
	go l.run()
	select {
	case err := <-l.ended:
		return err
	case <-ctx.Done():
		return server.Shutdown(context.Background())
	}
}

// run serves and reports why it ended.
func (l *listener) run() {
	l.ended <- l.server.ListenAndServe()
}
