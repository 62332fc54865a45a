// Soak runs entry hosts as separate processes against stand-ins of the
// platform, injects faults drawn from a seed, and checks what callers and
// backend servers see.
//
// The hosts are real processes of hornbeamwinchd. The store and the backend
// servers are stand-ins in this process; each host reaches the store, and all
// hosts reach each server, through a proxy that delays, resets, silences or
// refuses connections. Hosts are stopped, paused, killed and told to reload by
// signals. The schedule of faults depends on the seed alone; how they fall
// together with the requests does not.
//
// # Usage
//
//	soak --daemon bin/hornbeamwinchd --seed 7 --for 30s --log-dir /tmp/soak
//	soak --daemon bin/hornbeamwinchd --seeds 50
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
	Daemon    string        `long:"daemon" default:"bin/hornbeamwinchd" description:"program of the entry hosts"`
	Seed      uint64        `long:"seed" description:"seed of the schedule; 0 draws one"`
	Seeds     int           `long:"seeds" default:"1" description:"number of seeds to run, counting up from the first"`
	For       time.Duration `long:"for" default:"20s" description:"time in which faults are injected"`
	Processes int           `long:"processes" default:"5" description:"number of entry hosts"`
	Callers   int           `long:"callers" default:"8" description:"number of callers"`
	LogDir    string        `long:"log-dir" description:"where logs are kept; a directory that is removed if not given"`
	Verbose   bool          `long:"verbose" description:"print the timeline of seeds without a violation, too"`
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
	// The proxies log each connection.
	logrus.SetLevel(logrus.PanicLevel)
	failed := 0
	for seed := o.Seed; seed < o.Seed+uint64(o.Seeds); seed++ {
		violations, err := soak(o, seed)
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

// soak runs one seed and returns the number of violations.
func soak(o options, seed uint64) (int, error) {
	dir, keep := o.LogDir, o.LogDir != ""
	if !keep {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	w, err := newWorld(worldConfig{Daemon: o.Daemon, Hosts: o.Processes, Callers: o.Callers, Dir: dir, Seed: seed})
	if err != nil {
		return 0, err
	}
	defer w.close()
	if err := w.settle(); err != nil {
		return 0, err
	}
	w.inject(newSchedule(seed, o.For, o.Processes))
	w.finish()
	found := w.judge.violations()
	if len(found) > 0 || o.Verbose {
		fmt.Printf("seed %d\n", seed)
		w.judge.print(os.Stdout)
	}
	fmt.Printf("seed %d: %s, %d violations\n", seed, w.judge.summary(), len(found))
	return len(found), nil
}
