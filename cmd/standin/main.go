// Standin runs fakes of the router's environment: the platform's key-value
// service, a backend server, or callers. Its demo command runs a complete
// deployment with traffic in one process. The measure command measures the costs
// that docs/CAPACITY.md lists, and the experiment command compares placement
// policies in a simulation.
//
// # Usage
//
//	standin demo
//	standin experiment --plot policy.png
//	standin platform --listen 127.0.0.1:7000
//	standin backend --listen 127.0.0.1:8001 --id w1 --service tank_readings
//	standin caller --host 127.0.0.1:7101 --service tank_readings
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

// options declares the commands for the flag parser.
type options struct {
	Platform   platformCommand   `command:"platform" description:"run the platform's key-value service"`
	Backend    backendCommand    `command:"backend" description:"run one backend server"`
	Caller     callerCommand     `command:"caller" description:"send requests and print the outcomes"`
	Demo       demoCommand       `command:"demo" description:"run a complete deployment with traffic in one process"`
	Measure    measureCommand    `command:"measure" description:"measure the costs listed in docs/CAPACITY.md"`
	Experiment experimentCommand `command:"experiment" description:"compare placement policies"`
}

func main() {
	if _, err := flags.Parse(&options{}); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
