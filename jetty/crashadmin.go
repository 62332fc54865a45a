package jetty

import (
	"encoding/hex"
	"net/http"

	"github.com/gin-gonic/gin"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

// CrashingRequest is a request under which servers have ended, as operators see it.
type CrashingRequest struct {
	// Fingerprint is the one in the log line request_suspected.
	Fingerprint string              `json:"fingerprint"`
	AnyCaller   bool                `json:"any_caller"`
	Service     fairway.ServiceName `json:"service"`
	// Rejected is set if the request is not sent to servers of some version any more.
	Rejected bool            `json:"rejected"`
	Crashes  []CrashedServer `json:"crashes"`
}

// CrashedServer is a server that has ended under a [CrashingRequest].
type CrashedServer struct {
	Server  fairway.ServerID        `json:"server"`
	Version fairway.SoftwareVersion `json:"version"`
	Alone   bool                    `json:"alone"`
}

// requests returns what is known, for operators.
func (c *crashes) requests() []CrashingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	records, _ := c.table.ChangedSince(0, c.table.Len())
	known := []CrashingRequest{}
	for _, r := range records {
		if len(r.Crashes) == 0 {
			continue
		}
		request := CrashingRequest{
			Fingerprint: hex.EncodeToString(r.Fingerprint[:]), AnyCaller: r.AnyCaller, Service: r.Service, Rejected: c.table.IsCertain(r),
		}
		for _, crash := range r.Crashes {
			request.Crashes = append(request.Crashes, CrashedServer{Server: crash.Instance.Server, Version: crash.Version, Alone: crash.Alone})
		}
		known = append(known, request)
	}
	return known
}

// clear clears a request on an operator's order. It reports whether servers had ended
// under it.
func (c *crashes) clear(f sluice.Fingerprint) bool {
	c.mu.Lock()
	cleared := c.table.ClearAll(monotonicNow(), f)
	c.update()
	c.mu.Unlock()
	if cleared {
		c.logs.requestCleared(f)
		if c.onChange != nil {
			c.onChange()
		}
	}
	return cleared
}

func (h *Host) listCrashingRequests(g *gin.Context) {
	g.JSON(http.StatusOK, h.crashes.requests())
}

// clearCrashingRequest clears a request. The other hosts learn of it as they do of a
// response.
func (h *Host) clearCrashingRequest(g *gin.Context) {
	var f sluice.Fingerprint
	data, err := hex.DecodeString(g.Param("fingerprint"))
	switch {
	case err != nil || !decodeFingerprint(data, &f):
		g.JSON(http.StatusBadRequest, gin.H{"error": "the fingerprint is not a hexadecimal number of 32 digits"})
	case !h.crashes.clear(f):
		g.JSON(http.StatusNotFound, gin.H{"error": "no server has ended under a request with this fingerprint"})
	default:
		g.JSON(http.StatusOK, gin.H{})
	}
}
