package jetty

import "sync"

const (
	// unreservedBytes is how much of a response is read before it is passed on if there is no room for it.
	unreservedBytes = 16 << 10
	// copyBytes is the buffer with which net/http passes on the rest.
	copyBytes = 32 << 10
	// exchangeBytes is what the goroutines of a request take.
	exchangeBytes = 16 << 10
	// forwardBytes is what a request takes while it is forwarded, besides its head and body and a response
	// that has room of its own: goroutines, and a response that is passed on as it comes, in both sockets too.
	forwardBytes = exchangeBytes + unreservedBytes + copyBytes + 2*serverReceiveBytes + unsentBytes + maxSegmentBytes
)

// answerRooms has the memory of the responses to a request, until the caller has read the one that counts.
type answerRooms struct {
	mu    sync.Mutex
	rooms []*bodyReservation
	// forward is set once there is room to forward the request.
	forward bool
	ended   bool
}

// reserve takes room for a response of a length, which is negative if it is not known. It returns nil if
// there is none, or if the request has ended.
func (a *answerRooms) reserve(budget *bodyBudget, length int64) *bodyReservation {
	if length < 0 || length > maxBufferedBytes {
		length = maxBufferedBytes + 1
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return nil
	}
	room := &bodyReservation{budget: budget}
	if !room.extend(length) {
		return nil
	}
	a.rooms = append(a.rooms, room)
	return room
}

// reserveForward takes the room without which a request must not be sent, since it could not be
// answered, unless the request has it. It reports false if there is none.
func (a *answerRooms) reserveForward(budget *bodyBudget) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.forward {
		return true
	}
	room := &bodyReservation{budget: budget, reused: true}
	if a.ended || !room.extendAny(forwardBytes) {
		return false
	}
	a.rooms, a.forward = append(a.rooms, room), true
	return true
}

// end gives the memory back.
func (a *answerRooms) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	for _, room := range a.rooms {
		room.release()
	}
	a.rooms = nil
}
