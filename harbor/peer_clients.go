package harbor

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"hornbeamwinch.example/signal"
)

const (
	// maxPeerReconnectDelay is the maximum delay before a lost connection to a
	// peer is dialed again, and the minimum time allowed for an attempt.
	maxPeerReconnectDelay = 500 * time.Millisecond
	// peerKeepaliveInterval and peerKeepaliveTimeout bound how long a
	// connection stays in use that has stopped working without being closed.
	peerKeepaliveInterval = 10 * time.Second
	peerKeepaliveTimeout  = 1 * time.Second
)

// peerClients holds one connection to each entry host that was called. A
// connection on which a call has timed out is replaced, because it may be
// permanently unresponsive. It is safe for concurrent use.
type peerClients struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeerClients() *peerClients {
	return &peerClients{conns: make(map[string]*grpc.ClientConn)}
}

// client returns a client for the host at address. A new connection is dialed
// in the background.
func (p *peerClients) client(address string) (signal.PeersClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return signal.NewPeersClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(sendRecorder{}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  20 * time.Millisecond,
				Multiplier: 1.6,
				MaxDelay:   maxPeerReconnectDelay,
			},
			MinConnectTimeout: maxPeerReconnectDelay,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    peerKeepaliveInterval,
			Timeout: peerKeepaliveTimeout,
		}),
	)
	if err != nil {
		return nil, newError("dial peer", KindPeer, err)
	}
	p.conns[address] = conn
	return signal.NewPeersClient(conn), nil
}

// closeConn closes the connection to address, so that the next call opens a new
// one.
func (p *peerClients) closeConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// close closes all connections.
func (p *peerClients) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// follow calls Follow on the host at address. If ctx is done by the time the
// call fails, it closes the connection so that the next call opens a new one.
func (p *peerClients) follow(ctx context.Context, address string, r *signal.FollowRequest) (*signal.FollowReply, error) {
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Follow(ctx, r)
	if err == nil {
		return reply, nil
	}
	if ctx.Err() != nil {
		p.closeConn(address)
	}
	return nil, newError("follow", KindPeer, err)
}

// refusesConnections reports whether a connection to address is refused, which
// means that no process listens there. It returns false for timeouts and other
// errors.
func refusesConnections(ctx context.Context, address string) bool {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// conn returns the connection to address, or nil.
func (p *peerClients) conn(address string) *grpc.ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[address]
}
