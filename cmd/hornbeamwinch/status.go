package main

import (
	"fmt"
	"net/http"

	"hornbeamwinch.example/harbor"
)

// statusCommand shows the state of the entry hosts and of the backend servers.
type statusCommand struct{}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var fleet harbor.Fleet
	if err := call(http.MethodGet, "/v1/fleet", nil, &fleet); err != nil {
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
