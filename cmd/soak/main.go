// Soak is a randomized fault injection test of the entry host daemon. It runs
// entry hosts as separate processes against a fake platform, injects faults
// drawn from a seed, and checks the responses that callers receive and the
// executions that backend servers record.
//
// The hosts are processes of hornbeamwinchd. The store and the backend servers are
// fakes in this process. Each host connects to the store, and all hosts connect to
// each server, through a proxy that can delay, reset, stall or refuse connections.
// Hosts are stopped, paused, killed and reloaded by signals. The schedule of
// faults depends on the seed alone, but their timing relative to the requests
// differs from run to run. Every third seed has planned faults only, with requests
// that take long. Every fourth seed has one or two requests that crash servers and
// come again all the time.
//
// # Usage
//
//	soak --daemon bin/hornbeamwinchd --seed 7 --for 30s --log-dir /tmp/soak
//	soak --daemon bin/hornbeamwinchd --seeds 50
//	soak --daemon bin/hornbeamwinchd --seeds 50 --planned
//	soak --daemon bin/hornbeamwinchd --seeds 50 --restores
//	soak --daemon bin/hornbeamwinchd --seeds 50 --crashing-requests
//
// It prints the timeline and each violation, and exits with 1 if there was one.
// With --log-dir, the logs of the hosts are kept.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"
)

// options are the command line flags.
type options struct {
	Daemon    string        `long:"daemon" default:"bin/hornbeamwinchd" description:"path of the hornbeamwinchd program"`
	Seed      uint64        `long:"seed" description:"seed of the schedule; 0 stands for a random seed"`
	Seeds     int           `long:"seeds" default:"1" description:"number of consecutive seeds to run, from the given one on"`
	For       time.Duration `long:"for" default:"20s" description:"how long faults are injected for each seed"`
	Processes int           `long:"processes" default:"5" description:"number of entry hosts"`
	Callers   int           `long:"callers" default:"8" description:"number of callers"`
	Planned   bool          `long:"planned" description:"inject planned faults only for each seed, not only for every third one"`
	Restores  bool          `long:"restores" description:"have the store come back from older copies in each seed"`
	Crashing  bool          `long:"crashing-requests" description:"send requests that crash servers in each seed, not only in every fourth one"`
	LogDir    string        `long:"log-dir" description:"directory in which logs are kept; if not given, they are removed"`
	Verbose   bool          `long:"verbose" description:"also print the timeline of seeds without a violation"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64N(1_000_000)
	}
	// The proxies would log every connection.
	logrus.SetLevel(logrus.PanicLevel)
	failed := 0
	for seed := o.Seed; seed < o.Seed+uint64(o.Seeds); seed++ {
		violations, err := runSeed(o, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			os.Exit(2)
		}
		if violations > 0 {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with a violation\n", o.Seeds, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// runSeed runs the schedule of one seed and returns the number of violations.
func runSeed(o options, seed uint64) (int, error) {
	dir, keep := o.LogDir, o.LogDir != ""
	if !keep {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	m := mixOf(seed)
	switch {
	case o.Restores:
		m = mixRestores
	case o.Planned:
		m = mixPlanned
	}
	tb, err := newTestbed(testbedConfig{Daemon: o.Daemon, Hosts: o.Processes, Callers: o.Callers, Dir: dir, Seed: seed, Mix: m, Crashing: crashingOf(seed, o.Crashing)})
	if err != nil {
		return 0, err
	}
	defer tb.close()
	if err := tb.startTraffic(); err != nil {
		return 0, err
	}
	tb.runSchedule(newSchedule(seed, m, o.For, o.Processes))
	tb.finish()
	violations := tb.checker.violations()
	if len(violations) > 0 || o.Verbose {
		fmt.Printf("seed %d\n", seed)
		tb.checker.print(os.Stdout)
	}
	fmt.Printf("seed %d: %s, %d violations\n", seed, tb.checker.summary(), len(violations))
	return len(violations), nil
}
