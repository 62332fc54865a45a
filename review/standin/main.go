// Standin plays the cases of the review: it starts processes of the system, with the command
// of the deploy file, between stand-ins of the platform's store, workers and clients.
//
// # Usage
//
//	standin CASE FOLDER
//
// It runs in the repository's root and writes FOLDER/record.txt. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not be played. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotPlayed
)

// play is one run of a case.
type play struct {
	rec     *record
	dir     string
	trouble bool
	store   *store
	// mu guards hosts.
	mu      sync.Mutex
	hosts   []*host
	out     *os.File
	command []string
}

// cases returns true if the rule was broken.
var cases = map[string]func(*play) (bool, error){
	"late_rejection": (*play).lateRejection,
	"large_bodies":   (*play).largeBodies,
	"stop_downloads": (*play).stopWithDownloads,
	"stop_uploads":   (*play).stopWithUploads,
	"stop_reports":   (*play).stopWithReports,
}

func main() {
	broken, err := run()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not be played:", err)
		os.Exit(exitNotPlayed)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	default:
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	}
}

func run() (bool, error) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		return false, errors.New("usage: standin CASE FOLDER")
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() { _ = rec.file.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	command, err := deployCommand()
	if err != nil {
		return false, err
	}
	out, err := os.Create(filepath.Join(dir, "out.log"))
	if err != nil {
		return false, err
	}
	s, err := startStore()
	if err != nil {
		return false, err
	}
	p := &play{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: s, out: out, command: command}
	defer p.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		p.end()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotPlayed)
	}()
	broken, err := cases[os.Args[1]](p)
	rec.add("result: rule broken: %v, error: %v", broken, err)
	return broken, err
}

// deployCommand returns the words of the line run of the deploy file.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no line run")
}

// end kills the processes that were started.
func (p *play) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.kill()
	}
	if log := os.Getenv("KEEP_LOG"); log != "" {
		data, _ := os.ReadFile(p.out.Name())
		_ = os.WriteFile(log, data, 0o600)
	}
}

// startHosts starts machines and waits until they are ready.
func (p *play) startHosts(count int) error {
	for i := range count {
		h, err := newHost(hostConfig{Name: fmt.Sprintf("front-%d", i+1), Number: i, Zone: "zone-a", StoreAddress: p.store.address(), Dir: p.dir, Out: p.out})
		if err != nil {
			return err
		}
		if err := h.start(p.command); err != nil {
			return err
		}
		p.mu.Lock()
		p.hosts = append(p.hosts, h)
		p.mu.Unlock()
		if err := h.awaitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}
