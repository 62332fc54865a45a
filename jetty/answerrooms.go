package jetty

import "sync"

// unreservedBytes is how much of a response is read before it is passed on if there is no room for it.
const unreservedBytes = 16 << 10

// answerRooms has the memory of the responses to a request, until the caller has read the one that counts.
type answerRooms struct {
	mu    sync.Mutex
	rooms []*bodyReservation
	ended bool
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
