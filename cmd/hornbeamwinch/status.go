package main

import (
	"fmt"
	"net/http"

	"hornbeamwinch.example/harbor"
)

// statusCommand shows every entry host's view.
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
	table("DOMAIN\tHOST\tSTATE\tPLACER\tEPOCH\tVERSION\tRULES\tIN FLIGHT", rows)
	fmt.Println()
	table("DOMAIN\tSERVER\tSERVICE\tSTATE\tCHECKS GRANTS\tSHARDS\tMOVING\tWARDENS", serverRows(fleet))
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

// serverRows lists the backend servers of each failure domain as the host with
// the newest table sees them.
func serverRows(fleet harbor.Fleet) []string {
	var rows []string
	for i, host := range fleet.Hosts {
		if host.Status == nil || !newestOfDomain(fleet, i) {
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

// newestOfDomain reports whether host i is the first with the newest table of
// its failure domain.
func newestOfDomain(fleet harbor.Fleet, i int) bool {
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
