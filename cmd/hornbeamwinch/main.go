// Hornbeamwinch is the operators' client. It talks to the admin address of any
// entry host.
//
// # Usage
//
//	hornbeamwinch rules check rules.txt
//	hornbeamwinch rules apply rules.txt --base 7 --by "Ana Silva"
//	hornbeamwinch status
//	hornbeamwinch explain tank_readings tank-71
//	hornbeamwinch domain abandon mvd_c --by "Ana Silva" --reason "hall burnt"
//	hornbeamwinch drain mvd_a_tank_readings_1 --by "Ana Silva"
//	hornbeamwinch trace 9c41d07be2a35f68 host-1.log host-2.log
//
// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused because the rules are
// faulty or have changed, 4 accepted but not in force everywhere in time.
//
// Shell completion for bash:
//
//	complete -C hornbeamwinch-completion hornbeamwinch
//
// where hornbeamwinch-completion is a script that runs
// GO_FLAGS_COMPLETION=1 hornbeamwinch "$@".
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed     = 1
	exitUsage      = 2
	exitRefused    = 3
	exitNotInForce = 4
)

// globals are the flags of every command.
type globals struct {
	Admin string `long:"admin" env:"HORNBEAMWINCH_ADMIN" default:"127.0.0.1:7301" description:"admin address of an entry host"`
	JSON  bool   `long:"json" description:"print JSON instead of tables"`
}

// options holds the commands.
type options struct {
	globals
	Rules   rulesCommands  `command:"rules" description:"check, apply and read the rules file"`
	Status  statusCommand  `command:"status" description:"show every entry host's view"`
	Explain explainCommand `command:"explain" description:"say where requests for a key go, and why"`
	Domain  domainCommands `command:"domain" description:"orders about a whole failure domain"`
	Drain   drainCommand   `command:"drain" description:"move all work off a backend server"`
	Trace   traceCommand   `command:"trace" description:"say from logs what became of a request, and why"`
	Undrain undrainCommand `command:"undrain" description:"let a drained backend server work again"`
}

// rulesCommands are the commands about the rules file.
type rulesCommands struct {
	Check   rulesCheckCommand   `command:"check" description:"check a rules file without applying it"`
	Apply   rulesApplyCommand   `command:"apply" description:"apply a rules file and wait until it is in force"`
	Diff    rulesDiffCommand    `command:"diff" description:"compare a rules file with the accepted rules"`
	Show    rulesShowCommand    `command:"show" description:"print the accepted rules"`
	History rulesHistoryCommand `command:"history" description:"list the accepted revisions"`
}

// domainCommands are the orders about a whole failure domain.
type domainCommands struct {
	Abandon domainAbandonCommand `command:"abandon" description:"give up single ownership: let others serve a lost domain's keys without proof"`
}

// shared are the global flags, for the commands.
var shared *globals

func main() {
	var o options
	shared = &o.globals
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.Parse()
	if err == nil {
		return
	}
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var usage *flags.Error
	var failure *commandError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &failure):
		return failure.code
	default:
		return exitFailed
	}
}

// commandError is an error with an exit code.
type commandError struct {
	code int
	err  error
}

// Error implements the error interface.
func (e *commandError) Error() string {
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *commandError) Unwrap() error {
	return e.err
}
