// Hornbeamwinch is the operators' command line client. It calls the admin API of
// an entry host; any host will do.
//
// # Usage
//
//	hornbeamwinch rules check rules.txt
//	hornbeamwinch rules apply rules.txt --base 7 --by "Ana Silva"
//	hornbeamwinch status
//	hornbeamwinch explain tank_readings tank-71
//	hornbeamwinch explain --platform --key 71 --admin 10.1.0.15:7621 tanks.example /readings/71
//	hornbeamwinch domain abandon mvd_c --by "Ana Silva" --reason "hall burnt"
//	hornbeamwinch drain mvd_a_tank_readings_1 --by "Ana Silva"
//	hornbeamwinch crashing-requests list --admin 10.1.0.15:7621
//	hornbeamwinch trace 9c41d07be2a35f68 host-1.log host-2.log
//
// Exit codes: 0 success; 1 failure; 2 usage error; 3 refused because the rules
// are invalid or have changed, or because the operator did not confirm; 4 rules
// accepted but not in force on every entry host in time.
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

// globalOptions are the flags that all commands have.
type globalOptions struct {
	Admin string `long:"admin" env:"HORNBEAMWINCH_ADMIN" default:"127.0.0.1:7301" description:"admin address of an entry host"`
	JSON  bool   `long:"json" description:"print JSON instead of tables"`
}

// options are the global flags and the commands.
type options struct {
	globalOptions
	Rules    rulesCommands            `command:"rules" description:"check, apply and read the rules file"`
	Status   statusCommand            `command:"status" description:"show the state of entry hosts and backend servers"`
	Explain  explainCommand           `command:"explain" description:"show which failure domain and server own a key, or where a request would go, and why"`
	Domain   domainCommands           `command:"domain" description:"commands for a whole failure domain"`
	Drain    drainCommand             `command:"drain" description:"move all work off a backend server"`
	Trace    traceCommand             `command:"trace" description:"show from logs how a request was handled and why it ended so"`
	Crashing crashingRequestsCommands `command:"crashing-requests" description:"see and clear the requests that crash backend servers"`
	Undrain  undrainCommand           `command:"undrain" description:"end the drain of a backend server"`
}

type rulesCommands struct {
	Check   rulesCheckCommand   `command:"check" description:"check a rules file without applying it"`
	Apply   rulesApplyCommand   `command:"apply" description:"apply a rules file and wait until it is in force"`
	Diff    rulesDiffCommand    `command:"diff" description:"compare a rules file with the accepted rules"`
	Show    rulesShowCommand    `command:"show" description:"print the accepted rules"`
	History rulesHistoryCommand `command:"history" description:"list the accepted revisions"`
}

type domainCommands struct {
	Abandon domainAbandonCommand `command:"abandon" description:"give up single ownership: let other domains serve a lost domain's keys without proof that it stopped"`
}

// global points to the parsed global flags.
var global *globalOptions

func main() {
	var o options
	global = &o.globalOptions
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

// exitCode returns the exit code of the process for an error of a command.
func exitCode(err error) int {
	var usageErr *flags.Error
	var commandErr *commandError
	switch {
	case errors.As(err, &usageErr):
		return exitUsage
	case errors.As(err, &commandErr):
		return commandErr.code
	default:
		return exitFailed
	}
}

// commandError is an error that sets the exit code of the process.
type commandError struct {
	code int
	err  error
}

// Error implements the error interface.
func (e *commandError) Error() string {
	return e.err.Error()
}

// Unwrap returns the underlying error.
func (e *commandError) Unwrap() error {
	return e.err
}
