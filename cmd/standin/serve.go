package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
)

// serve runs server at address until the process is told to end. It then lets
// running requests finish.
func serve(server *http.Server, address string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server.Addr = address
	ended := make(chan error, 1)
	go func() { ended <- server.ListenAndServe() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	err := server.Shutdown(context.Background())
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
