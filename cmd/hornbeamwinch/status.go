package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"hornbeamwinch.example/harbor"
	"hornbeamwinch.example/jetty"
)

// statusCommand shows the state of the entry hosts and of the backend servers.
type statusCommand struct{}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var fleet harbor.Fleet
	err := call(http.MethodGet, "/v1/fleet", nil, &fleet)
	if errors.Is(err, errNoEndpoint) {
		return c.showPlatformHost()
	}
	if err != nil {
		return err
	}
	if printJSON(fleet) {
		return nil
	}
	rows := make([]string, 0, len(fleet.Hosts))
	for _, host := range fleet.Hosts {
		rows = append(rows, hostRow(host))
	}
	printTable("DOMAIN\tHOST\tSTATE\tPLACER\tEPOCH\tVERSION\tRULES\tIN FLIGHT", rows)
	fmt.Println()
	printTable("DOMAIN\tSERVER\tSERVICE\tSTATE\tCHECKS GRANTS\tSHARDS\tMOVING\tWARDENS", serverRows(fleet))
	return nil
}

// showPlatformHost shows the state of an entry host on the users' platform, and the failure
// domains that are evacuated as far as it knows.
func (c *statusCommand) showPlatformHost() error {
	var s jetty.Status
	if err := call(http.MethodGet, "/status", nil, &s); err != nil {
		return err
	}
	if printJSON(s) {
		return nil
	}
	printTable("DOMAIN\tHOST\tREADY\tPLACER\tCONFIG\tSERVERS",
		[]string{fmt.Sprintf("%s\t%s\t%t\t%t\t%d\t%d", s.Domain, s.Host, s.Ready, s.Placer, s.Version, s.Servers)})
	fmt.Println()
	rows := make([]string, 0, len(s.Evacuated))
	for _, d := range s.Evacuated {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%d", d.Domain, d.Since.Format(time.RFC3339), d.Servers, d.Requests))
	}
	printTable("EVACUATED\tSINCE\tSERVERS\tREQUESTS", rows)
	return nil
}

func hostRow(host harbor.FleetHost) string {
	if host.Status == nil {
		return fmt.Sprintf("%s\t%s\tno answer\t\t\t\t\t", host.Domain, host.ID)
	}
	s := host.Status
	state := "serving"
	switch {
	case !s.Ready:
		state = "not ready"
	case !s.Confirmed:
		state = "unconfirmed"
	}
	placer := ""
	if s.Placer {
		placer = "yes"
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d",
		host.Domain, host.ID, state, placer, s.Epoch, s.Version, s.Rules.Host, s.InFlight)
}

// serverRows returns a row for each backend server. The state of a server comes
// from the host that has the newest table of its failure domain.
func serverRows(fleet harbor.Fleet) []string {
	var rows []string
	for i, host := range fleet.Hosts {
		if host.Status == nil || !hasNewestTable(fleet, i) {
			continue
		}
		for _, server := range host.Status.Servers {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%t\t%d\t%d\t%v",
				host.Domain, server.ID, server.Service, server.State, server.ChecksGrants,
				server.Shards, server.Moving, server.Probers))
		}
	}
	return rows
}

// hasNewestTable reports whether host i has the newest table of its failure
// domain. Of several hosts, only the first one counts.
func hasNewestTable(fleet harbor.Fleet, i int) bool {
	own := fleet.Hosts[i]
	for j, other := range fleet.Hosts {
		if other.Status == nil || other.Domain != own.Domain {
			continue
		}
		if other.Status.Version > own.Status.Version || (other.Status.Version == own.Status.Version && j < i) {
			return false
		}
	}
	return true
}
