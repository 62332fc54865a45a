package jetty

const (
	// fileDescriptors is the part of a process's descriptors that the platform reserves for files.
	fileDescriptors = 200
	// serverDescriptorFraction is the part of the rest that is kept for connections to and from backend
	// servers, other hosts and the store, and for the addresses that are not for callers.
	serverDescriptorFraction = 0.45
	// peerDescriptorFraction is the part of the rest for connections that other hosts have opened.
	peerDescriptorFraction = 0.15
)

// connLimits bounds the connections that are opened to a host, by address; 0 means no bound.
type connLimits struct {
	callers int
	side    int
	peers   int
}

// newConnLimits returns the bounds of a host with some descriptors and memory, in MiB; 0 means unknown.
func newConnLimits(maxFDs, memoryMB int) connLimits {
	l := connLimits{side: sideConnections, callers: newMemoryPlan(memoryMB).callerConnections}
	if maxFDs == 0 {
		return l
	}
	free := float64(max(maxFDs-fileDescriptors, 0))
	byFDs := max(int((1-serverDescriptorFraction)*free), minCallerConnections)
	if l.callers == 0 || byFDs < l.callers {
		l.callers = byFDs
	}
	l.side = min(sideConnections, max(int(free)/16, 4))
	l.peers = max(int(peerDescriptorFraction*free), minCallerConnections)
	return l
}
