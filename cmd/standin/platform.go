package main

import (
	"net/http"
	"time"

	"hornbeamwinch.example/drydock"
)

// platformCommand runs a fake of the platform's key-value service.
type platformCommand struct {
	Listen  string        `long:"listen" default:"127.0.0.1:7000" description:"address to serve at"`
	ListLag time.Duration `long:"list-lag" default:"0s" description:"delay until a change of the list of backend servers is visible"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	platform := drydock.NewPlatform(drydock.PlatformConfig{ListLag: c.ListLag})
	server := &http.Server{Handler: platform, ReadHeaderTimeout: 10 * time.Second}
	return serve(server, c.Listen)
}
