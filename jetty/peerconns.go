package jetty

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/keepalive"
)

const (
	// relayKeepAlive is the timeout of keep-alive probes of the connections for
	// relays. It also bounds how long sent data may be unacknowledged.
	relayKeepAlive = time.Second
	// relayConnectTimeout bounds the opening of a connection to a peer, and
	// relayMaxBackoff the pause after a failure.
	relayConnectTimeout = 300 * time.Millisecond
	relayMaxBackoff     = time.Second
	// relayBufferBytes is the size of the read buffer of such a connection. A host of a large
	// failure domain has one for each other host. Write buffers are shared.
	relayBufferBytes = 8 << 10
)

// dialHangLimited opens a connection to a peer that ends if the peer's machine does not
// acknowledge anything. A suspended process does not end it.
func dialHangLimited(ctx context.Context, address string) (net.Conn, error) {
	nc, err := dialTCP(ctx, address)
	if err == nil {
		limitHangs(nc)
	}
	return nc, err
}

// peerConns keeps the connections to the peers to which requests are passed on.
type peerConns struct {
	mu    sync.Mutex
	conns map[peerAddress]*grpc.ClientConn
}

func newPeerConns() *peerConns {
	return &peerConns{conns: make(map[peerAddress]*grpc.ClientConn)}
}

// get returns the connection to a peer, which connects when it is first used.
func (p *peerConns) get(peer peerAddress) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[peer]; conn != nil {
		return conn, nil
	}
	conn, err := dialPeer(string(peer),
		grpc.WithContextDialer(dialHangLimited),
		grpc.WithReadBufferSize(relayBufferBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: relayKeepAlive}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: relayMaxBackoff},
			MinConnectTimeout: relayConnectTimeout,
		}))
	if err != nil {
		return nil, err
	}
	p.conns[peer] = conn
	return conn, nil
}

// close closes all connections.
func (p *peerConns) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		// This fails only if the connection is closed already.
		_ = conn.Close()
	}
	clear(p.conns)
}
