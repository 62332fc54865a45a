package drydock

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/ledger"
)

// EmbeddedConfig holds the parameters of an [Embedded] deployment.
type EmbeddedConfig struct {
	// Fleet describes the deployment. Its PlatformAddress is set by
	// [StartEmbedded].
	Fleet FleetConfig
	// WorkTime is how long a request takes at a backend server.
	WorkTime time.Duration
	// ContentBytes is the size of the content that backend servers serve.
	ContentBytes int
}

// Embedded is a deployment that runs inside the current process: the platform,
// entry hosts and backend servers, each with listeners on the loopback interface.
type Embedded struct {
	Platform *Platform
	Fleet    *Fleet
	// RulesActivationTime is the time from the acceptance of the first rules
	// until they were in force in every failure domain.
	RulesActivationTime time.Duration

	cfg      EmbeddedConfig
	daemons  []*harbor.Daemon
	backends []*runningBackend
	servers  []*http.Server
	group    sync.WaitGroup
}

// runningBackend is a backend server with its entry in the platform's list and
// its HTTP server.
type runningBackend struct {
	entry   ledger.Backend
	backend *Backend
	server  *http.Server
}

// embeddedStartTimeout bounds the time until the first rules are in force.
const embeddedStartTimeout = 20 * time.Second

// StartEmbedded starts a deployment and waits until its rules are in force.
func StartEmbedded(ctx context.Context, cfg EmbeddedConfig) (*Embedded, error) {
	e := &Embedded{cfg: cfg, Platform: NewPlatform(PlatformConfig{})}
	if err := e.start(ctx); err != nil {
		e.Stop()
		return nil, err
	}
	return e, nil
}

func (e *Embedded) start(ctx context.Context) error {
	address, err := e.serve(&http.Server{Handler: e.Platform}, "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.cfg.Fleet.PlatformAddress = address
	if e.Fleet, err = NewFleet(e.cfg.Fleet); err != nil {
		return err
	}
	for _, entry := range e.Fleet.Backends {
		if err := e.startBackend(entry); err != nil {
			return err
		}
	}
	e.Platform.SetBackends(e.Fleet.Backends)
	for _, settings := range e.Fleet.Hosts {
		if err := e.startDaemon(ctx, settings); err != nil {
			return err
		}
	}
	return e.applyRules(ctx)
}

func (e *Embedded) startBackend(entry ledger.Backend) error {
	backend := NewBackend(BackendConfig{
		ID:           entry.ID,
		Service:      berth.ServiceID(entry.Service),
		Slots:        int(entry.Slots),
		Connections:  int(entry.Connections),
		WorkTime:     e.cfg.WorkTime,
		ChecksGrants: entry.ChecksGrants,
		Content:      make([]byte, e.cfg.ContentBytes),
	})
	server := backend.Server()
	if _, err := e.serve(server, entry.Address); err != nil {
		return err
	}
	e.backends = append(e.backends, &runningBackend{entry: entry, backend: backend, server: server})
	return nil
}

func (e *Embedded) startDaemon(ctx context.Context, settings *charter.Settings) error {
	daemon, err := harbor.New(harbor.Config{Settings: settings, Logger: harbor.DiscardLogger()})
	if err != nil {
		return err
	}
	if err := daemon.Start(ctx); err != nil {
		return err
	}
	e.daemons = append(e.daemons, daemon)
	return nil
}

// serve starts server at address and returns the address that it listens on.
func (e *Embedded) serve(server *http.Server, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	e.servers = append(e.servers, server)
	e.launch(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// launch runs f in a goroutine. Stop waits for it to return.
func (e *Embedded) launch(f func()) {
	e.group.Go(f)
}

func (e *Embedded) applyRules(ctx context.Context) error {
	admin := e.Fleet.Hosts[0].Host.AdminAddress
	record, err := ApplyRules(ctx, admin, e.Fleet.Rules(), "embedded deployment")
	if err != nil {
		return err
	}
	began := time.Now()
	err = WaitFor(ctx, "the rules to be in force in every failure domain", embeddedStartTimeout, func() bool {
		for _, daemon := range e.daemons {
			if !Converged(daemon.Status(ctx), harbor.RulesStatus{Opened: record.Revision}) {
				return false
			}
		}
		return true
	})
	e.RulesActivationTime = time.Since(began)
	return err
}

// Stop stops the entry hosts concurrently, then closes the backend servers and
// the platform and waits for their goroutines. It may be called more than once.
func (e *Embedded) Stop() {
	var group sync.WaitGroup
	for _, daemon := range e.daemons {
		group.Go(func() { _ = daemon.Stop(context.Background()) })
	}
	group.Wait()
	e.daemons = nil
	for _, server := range e.servers {
		_ = server.Close()
	}
	e.group.Wait()
}
