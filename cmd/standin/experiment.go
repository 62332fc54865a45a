package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"hornbeamwinch.example/berth"
	"hornbeamwinch.example/charter"
	"hornbeamwinch.example/drydock"
)

// experimentCommand compares placement policies in a simulation with a virtual
// clock.
type experimentCommand struct {
	Duration time.Duration `long:"duration" default:"180s" description:"virtual time of each run"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the loads"`
	Plot     string        `long:"plot" description:"PNG file for a plot of the measures"`
	JSON     bool          `long:"json" description:"print JSON instead of a table"`
}

// row holds the measures of one placement under one fault in one deployment.
type row struct {
	Deployment string           `json:"deployment"`
	Fault      string           `json:"fault"`
	Placement  string           `json:"placement"`
	Measures   drydock.Measures `json:"measures"`
}

// deploymentSize is the size of the compared service, which is divided by key, in
// one example deployment.
type deploymentSize struct {
	example string
	service berth.ServiceID
	servers int
	// rate is the load of the service in requests per second.
	rate float64
}

var deployments = []deploymentSize{
	{example: charter.ExampleTerminal, service: "tank_readings", servers: 20, rate: 4000},
	{example: charter.ExampleHiloChapin, service: "fit_profiles", servers: 16, rate: 2000},
}

// experimentKeys is the number of keys in each run.
const experimentKeys = 4000

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	var rows []row
	for _, size := range deployments {
		settings, err := charter.Example(size.example)
		if err != nil {
			return err
		}
		for _, fault := range drydock.Faults() {
			for _, name := range drydock.Placements() {
				rows = append(rows, row{
					Deployment: size.example, Fault: fault.Name, Placement: name,
					Measures: drydock.RunExperiment(c.config(size, settings, fault.Fault), name),
				})
			}
		}
	}
	if c.Plot != "" {
		if err := plotRows(rows, c.Plot); err != nil {
			return err
		}
	}
	return c.print(rows)
}

func (c *experimentCommand) config(size deploymentSize, settings *charter.Settings, fault drydock.Fault) drydock.ExperimentConfig {
	cfg := drydock.ExperimentConfig{
		Servers: size.servers, Keys: experimentKeys, Rate: size.rate,
		Fault: fault, Seed: c.Seed, Duration: c.Duration,
	}
	for _, service := range settings.Services {
		if service.ID == size.service {
			cfg.Shards = service.Shards
			cfg.Policy = service.Placement.Policy()
		}
	}
	return cfg
}

func (c *experimentCommand) print(rows []row) error {
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "deployment\tfault\tplacement\timbalance\tchurn (keys/1000)\tunavailable (key-s/1000)\tlongest (s)")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.1f\t%.2f\t%.2f\n", r.Deployment, r.Fault, r.Placement,
			r.Measures.Imbalance, r.Measures.Churn, r.Measures.Unavailable, r.Measures.Longest)
	}
	return w.Flush()
}
