package jetty

import (
	"errors"
	"io"
)

// errNoRoom means that the host has no memory for a body.
var errNoRoom = errors.New("no memory for the body")

// bodyReader reads a request body, for which it reserves room in a budget first.
type bodyReader struct {
	reader io.Reader
	budget *bodyBudget
	// length is that of the body, or negative if it is not known.
	length int64
	// limit is the largest length that is allowed; 0 means any.
	limit int64
	// reservation is the room of the body, to be released whether read fails or not.
	reservation *bodyReservation
}

// read returns the body.
func (b *bodyReader) read() ([]byte, error) {
	size := b.length
	if size < 0 || b.limit == 0 && !b.budget.isLimited() {
		size = initialBodyBytes
	}
	var ok bool
	if b.reservation, ok = b.budget.reserve(size); !ok {
		return nil, errNoRoom
	}
	body := make([]byte, 0, size)
	for {
		n, err := b.reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b.fit(body), nil
		case err != nil:
			return nil, err
		case int64(len(body)) == b.length:
			return body, nil
		}
		if len(body) == cap(body) {
			if body, err = b.grow(body); err != nil {
				return nil, err
			}
		}
	}
}

// grow moves a body into a buffer of twice the size. If the budget could never hold the largest buffer
// and half of it, the body moves into the largest one while the budget can hold that beside its own.
func (b *bodyReader) grow(body []byte) ([]byte, error) {
	size := 2 * int64(cap(body))
	if b.limit > 0 {
		// One byte more than the limit shows that it is exceeded.
		size = min(size, b.limit+1)
		if room := b.budget.largest(); room > 0 && room < b.limit+b.limit/2 && room < b.limit+1+size {
			size = b.limit + 1
		}
	}
	if !b.reservation.grow(size) {
		return nil, errNoRoom
	}
	return append(make([]byte, 0, size), body...), nil
}

// fit moves a body into a buffer of its size if its own is far larger and there is room.
func (b *bodyReader) fit(body []byte) []byte {
	if cap(body) < 4*len(body) || cap(body) <= smallBodyBytes || !b.reservation.moveInto(int64(len(body))) {
		return body
	}
	return append(make([]byte, 0, len(body)), body...)
}
