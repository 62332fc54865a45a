package jetty

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"hornbeamwinch.example/fairway"
	"hornbeamwinch.example/sluice"
)

const (
	// speedChange is the ratio of two speeds of a server from which a change is logged.
	speedChange = 1.5
	// maxSpeedLines bounds the changes that are logged at a time.
	maxSpeedLines = 20
)

// ServerStatus is a server as this host sees it, for operators.
type ServerStatus struct {
	Server      fairway.ServerID    `json:"server"`
	Incarnation fairway.Incarnation `json:"incarnation"`
	InFlight    int                 `json:"in_flight"`
	Speed       float64             `json:"speed,omitempty"`
	Load        *ToldLoad           `json:"load,omitempty"`
}

// ToldLoad is the load that a server last told.
type ToldLoad struct {
	Running int         `json:"running"`
	Waiting int         `json:"waiting"`
	Slots   int         `json:"slots"`
	Pace    sluice.Pace `json:"pace"`
	AgeMS   int64       `json:"age_ms"`
}

// serverStatuses returns the state of the servers by service.
func (s *admissionSet) serverStatuses() map[fairway.ServiceName][]ServerStatus {
	services := make(map[fairway.ServiceName][]ServerStatus)
	for name, a := range s.all() {
		listed := []ServerStatus{}
		for _, known := range a.serverStatuses() {
			status := ServerStatus{
				Server: known.Server.Server, Incarnation: known.Server.Incarnation, InFlight: known.InFlight, Speed: known.Speed,
			}
			if l := known.Load; l != nil {
				status.Load = &ToldLoad{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace, AgeMS: known.LoadAge.Milliseconds()}
			}
			listed = append(listed, status)
		}
		services[name] = listed
	}
	return services
}

func (h *Host) listServers(g *gin.Context) {
	g.JSON(http.StatusOK, h.admissions.serverStatuses())
}

// speedLog logs the speeds of servers that have changed. It is used by one goroutine.
type speedLog struct {
	logs *logs
	// logged has the speed that was last logged of each server, or 1.
	logged map[sluice.ServerInstance]float64
}

func newSpeedLog(l *logs) *speedLog {
	return &speedLog{logs: l, logged: make(map[sluice.ServerInstance]float64)}
}

// update logs up to maxSpeedLines changes. The others are logged by a later call if they
// last. Servers that are gone are forgotten.
func (l *speedLog) update(admissions map[fairway.ServiceName]*admission) {
	lines := 0
	former := l.logged
	l.logged = make(map[sluice.ServerInstance]float64)
	for service, a := range admissions {
		for _, s := range a.serverStatuses() {
			before, known := former[s.Server]
			if !known {
				before = 1
			}
			if s.Speed == 0 {
				continue
			}
			if max(s.Speed/before, before/s.Speed) >= speedChange && lines < maxSpeedLines {
				lines++
				l.logs.serverSpeed(s.Server, service, before, s.Speed)
				before = s.Speed
			}
			l.logged[s.Server] = before
		}
	}
}
