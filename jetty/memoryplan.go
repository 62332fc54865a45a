package jetty

const (
	// memoryLimitFraction is the part of the memory that is set as the soft limit of the Go runtime, above which
	// it collects garbage more often.
	memoryLimitFraction = 0.7
	// programBytes is what the program file takes, as far as it is read.
	programBytes = 16 << 20
	// bodyMemoryFraction is the part of the memory that requests may take: their heads and
	// bodies, and responses until their callers have read them.
	bodyMemoryFraction = 0.4
	// otherMemoryMB is what the rest of a small host takes, in MiB, and smallHostBudgetMB the room that it
	// offers if it has as much besides: for a body of 64 MiB and the part for small ones.
	otherMemoryMB     = 60
	smallHostBudgetMB = 73.6
	// connectionMemoryFraction is the part of the memory for the heap of callers' connections.
	connectionMemoryFraction = 0.2
	// connectionHeapBytes is what a connection of a caller takes besides its request: two goroutines, and
	// the buffers of net/http.
	connectionHeapBytes = 24 << 10
	// connectionUnsentBytes is what the kernel holds for a connection of a caller that has read a part of a response.
	connectionUnsentBytes = 16 << 10
	// backlogFraction is the part of the sockets' memory for connections that wait to be accepted.
	backlogFraction = 0.125
	// minCallerConnections and minBacklog are the least bounds, for hosts whose settings leave less.
	minCallerConnections = 64
	minBacklog           = 64
	// sideConnections bounds the connections to the address for health checks, and to that for operators,
	// and those to either that wait to be accepted.
	sideConnections = 64
	sideAddresses   = 2
)

// memoryPlan divides the memory of a host, so that all parts together stay within it:
//
//   - the Go runtime, up to its soft limit: the requests, the heap of callers' connections, and the rest;
//   - the program file;
//   - sockets, the rest: what callers' connections have not read or not sent, and connections that wait to be accepted.
//
// What the kernel holds beyond that for a request, as long as it is served, counts as a part of the request.
// The zero value is that of a host whose memory is not known, which has no bounds.
type memoryPlan struct {
	// requests is the budget of the requests, in bytes.
	requests int64
	// callerConnections bounds the connections of callers, and backlog those that wait to be accepted.
	callerConnections int
	backlog           int
}

// newMemoryPlan returns the plan of a host with some memory, in MiB; 0 means unknown.
func newMemoryPlan(memoryMB int) memoryPlan {
	if memoryMB == 0 {
		return memoryPlan{}
	}
	const mib = 1 << 20
	total := float64(memoryMB) * mib
	sockets := total*(1-memoryLimitFraction) - programBytes
	unread := queuedBytes(callerReceiveBytes)
	backlog := max(int(backlogFraction*sockets)/unread, minBacklog)
	sockets -= float64((backlog + sideAddresses*2*sideConnections) * unread)
	return memoryPlan{
		requests:          int64(max(bodyMemoryFraction*float64(memoryMB), min(float64(memoryMB-otherMemoryMB), smallHostBudgetMB)) * mib),
		callerConnections: max(min(int(connectionMemoryFraction*total)/connectionHeapBytes, int(sockets)/(unread+connectionUnsentBytes)), minCallerConnections),
		backlog:           backlog,
	}
}
