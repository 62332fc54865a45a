package main

import (
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/drydock"
)

// backendCommand runs a fake backend server.
type backendCommand struct {
	Listen       string        `long:"listen" required:"true" description:"address to serve at"`
	ID           string        `long:"id" required:"true" description:"id of the server"`
	Service      string        `long:"service" required:"true" description:"service of the server"`
	Slots        int           `long:"slots" default:"6" description:"requests run at the same time"`
	Connections  int           `long:"connections" default:"130" description:"stated connection limit; not enforced"`
	WorkTime     time.Duration `long:"work-time" default:"2ms" description:"time a request takes"`
	ColdStart    time.Duration `long:"cold-start" default:"0s" description:"time until the server is ready"`
	ChecksGrants bool          `long:"checks-grants" description:"refuse requests without a valid grant"`
	ContentBytes int           `long:"content-bytes" default:"262144" description:"size of downloads"`
}

// Execute implements flags.Commander.
func (c *backendCommand) Execute([]string) error {
	backend := drydock.NewBackend(drydock.BackendConfig{
		ID:           c.ID,
		Service:      berth.ServiceID(c.Service),
		Slots:        c.Slots,
		Connections:  c.Connections,
		WorkTime:     c.WorkTime,
		ColdStart:    c.ColdStart,
		ChecksGrants: c.ChecksGrants,
		Content:      make([]byte, c.ContentBytes),
	})
	return serve(backend.Server(), c.Listen)
}
