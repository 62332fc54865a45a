// Rig plays the scripts of the second review: it starts the system's own processes, beside
// stand-ins for the platform's store, workers and clients, and checks one rule.
//
// # Usage
//
//	rig CASE RECORD
//
// The variable TROUBLE=0 leaves the disruption out. Rig exits with 1 if the rule was broken, with
// 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	const arguments = 3
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitFailed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		killStarted()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	var code int
	switch os.Args[1] {
	case "beats":
		code = playBeats(rec, trouble)
	case "departed":
		code = playDeparted(rec, trouble)
	case "crowd":
		code = playCrowd(rec, trouble)
	case "restore":
		code = playRestore(rec, trouble)
	default:
		code = exitFailed
	}
	killStarted()
	rec.write("exit code %d", code)
	os.Exit(code)
}
