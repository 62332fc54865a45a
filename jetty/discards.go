package jetty

import (
	"context"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

const (
	// discardBytesPerSecond is how fast a host reads bodies that it does not use, for all callers together, and
	// discardBurstBytes how much of them at once: a whole body of the largest size.
	discardBytesPerSecond = 8 << 20
	discardBurstBytes     = 64 << 20
	// discardPieceBytes is how much is read of one body before others have their turn.
	discardPieceBytes = 64 << 10
)

// discards reads bodies that are not used. Callers that read a response only once they have sent all would
// lose it otherwise. Together they take a bounded part of the host's time. A nil discards has no bound.
type discards struct {
	limiter *rate.Limiter
}

func newDiscards() *discards {
	return &discards{limiter: rate.NewLimiter(discardBytesPerSecond, discardBurstBytes)}
}

// discard reads a body to its end. It returns earlier if the caller leaves, at a deadline, or once it is clear
// that the body does not have its turn before.
func (d *discards) discard(hr *http.Request, deadline time.Time) {
	ctx, cancel := context.WithDeadline(hr.Context(), deadline)
	defer cancel()
	for left := hr.ContentLength; left != 0; {
		piece := int64(discardPieceBytes)
		if left > 0 {
			piece = min(piece, left)
			left -= piece
		}
		if d != nil && d.limiter.WaitN(ctx, int(piece)) != nil {
			// net/http waits a moment before it closes the connection, so that the caller can read the response.
			return
		}
		if _, err := io.CopyN(io.Discard, hr.Body, piece); err != nil {
			return
		}
	}
}
