package jetty

import (
	"bytes"
	"errors"
	"net"
)

const (
	// headFieldBytes is the memory of a header field besides its text: its entries in the map that
	// net/http parses and in the copies that are forwarded.
	headFieldBytes = 512
	// headTextCopies is how often the text of a head is held.
	headTextCopies = 2
)

var errHeadRoom = errors.New("no memory for the head of a request")

// callerHead reserves the memory of a head as its bytes arrive. Bytes that are read together with the
// request before are not counted; they fit into the buffer of net/http.
type callerHead struct {
	room *bodyReservation
	// whole is set at the empty line that ends the head.
	whole bool
	// begun means that a line has ended, and inLine that the present one has text.
	begun, inLine bool
}

// add reserves the memory for the next bytes of a head. It returns an error that has net/http close the
// connection without a response.
func (h *callerHead) add(data []byte) error {
	fields, text := 0, 0
	for len(data) > 0 && !h.whole {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.inLine = h.inLine || !bytes.Equal(data, []byte("\r"))
			text += len(data)
			break
		}
		h.inLine = h.inLine || len(bytes.TrimSuffix(data[:end], []byte("\r"))) > 0
		h.whole = h.begun && !h.inLine
		h.begun, h.inLine = true, false
		fields++
		text += end + 1
		data = data[end+1:]
	}
	if !h.room.extend(int64(fields*headFieldBytes + text*headTextCopies)) {
		return &net.OpError{Op: "read", Err: errHeadRoom}
	}
	return nil
}

// atLeast reserves memory up to some bytes. It returns false if there is none.
func (h *callerHead) atLeast(size int64) bool {
	return h.room == nil || h.room.bytes >= size || h.room.extend(size-h.room.bytes)
}

// end gives the memory back and begins the next head.
func (h *callerHead) end() {
	h.room.release()
	*h = callerHead{room: h.room}
}
